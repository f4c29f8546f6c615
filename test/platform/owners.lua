-- In a fleet that is too large for each daemon to be told of each prompt, the
-- owners of endpoints are told and asked: what one daemon had read at an
-- endpoint, another sends there too. An owner that stands still holds nobody up.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS = 11
local SUBJECTS = 6
local STILL = 4
-- Far below any objective of a stream; an answer is waited for 20 ms.
local SERVED_MS = 1000
local w = words.world(4, DAEMONS)

lib.wait_until("the daemons know of each other", function()
  for _, daemon in ipairs(w.daemons) do
    if words.metric(daemon, "entries") ~= DAEMONS then return false end
  end
  return true
end)

local function sum(name)
  local all = 0
  for _, daemon in ipairs(w.daemons) do
    all = all + words.metric(daemon, name)
  end
  return all
end

local function send(daemon, subject, own)
  local answer = words.call(daemon, "/stream/a",
    {headers = words.prompt(subject, own)})
  lib.equal(answer.status, 200, "a prompt")
  return w:endpoint_of(answer.id)
end

-- The tick that notices the size of the fleet.
run.sleep(400)
for subject = 1, SUBJECTS do
  local first = send(w.daemons[subject % DAEMONS + 1], subject, 2 * subject)
  -- Longer than the prompt is believed to be read.
  run.sleep(700)
  local second = send(w.daemons[(subject + 5) % DAEMONS + 1], subject,
    2 * subject + 1)
  lib.equal(second, first, "the endpoint of the second prompt")
end
lib.check(sum("owners_asked") > SUBJECTS, "nobody was asked")
lib.check(sum("owners_answered") >= 0.9 * sum("owners_asked"),
  "%d answers to %d questions", sum("owners_answered"), sum("owners_asked"))
lib.equal(sum("gossip_refused"), 0, "refused gossip")

-- Not the one that reads the store, nor the one that is asked here: what these
-- know would be missed for another reason.
local asker = w.daemons[1]
local still = {}
for i = 2, DAEMONS do
  if #still < STILL and words.metric(w.daemons[i], "following") == 1 then
    still[#still + 1] = w.daemons[i]
  end
end
local asked = words.metric(asker, "owners_asked")
for _, daemon in ipairs(still) do daemon:stop() end
for subject = 1, SUBJECTS do
  local since = run.now()
  send(asker, 100 + subject, 1000 + subject)
  lib.check(run.now() - since < SERVED_MS, "a prompt took %d ms",
    run.now() - since)
end
lib.check(words.metric(asker, "owners_asked") > asked,
  "nobody is asked while some stand still")
for _, daemon in ipairs(still) do daemon:continue() end
lib.say("ok")
