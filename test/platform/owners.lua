-- In a fleet that is too large to notify all daemons of each prompt, the owners
-- of endpoints are notified and queried: a prompt with the same prefix goes to
-- the same endpoint from another daemon. A stopped owner must not delay requests.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS = 11
local SUBJECTS = 6
local STOPPED = 4
-- Far below any objective of a stream; the timeout for a response is 20 ms.
local SERVED_MS = 1000
local w = words.world(4, DAEMONS)

lib.wait_until("all daemons are known to each other", function()
  for _, daemon in ipairs(w.daemons) do
    if words.metric(daemon, "entries") ~= DAEMONS then return false end
  end
  return true
end)

local function sum(name)
  local total = 0
  for _, daemon in ipairs(w.daemons) do
    total = total + words.metric(daemon, name)
  end
  return total
end

local function send(daemon, subject, own)
  local response = words.call(daemon, "/stream/a",
    {headers = words.prompt(subject, own)})
  lib.equal(response.status, 200, "a prompt")
  return w:endpoint_of(response.id)
end

-- The owners are used from the next tick on, which counts the peers.
run.sleep(400)
for subject = 1, SUBJECTS do
  local first = send(w.daemons[subject % DAEMONS + 1], subject, 2 * subject)
  -- Longer than the estimated prefill time of the prompt.
  run.sleep(700)
  local second = send(w.daemons[(subject + 5) % DAEMONS + 1], subject,
    2 * subject + 1)
  lib.equal(second, first, "the endpoint of the second prompt")
end
lib.check(sum("owners_asked") > SUBJECTS, "too few queries to owners")
lib.check(sum("owners_answered") >= 0.9 * sum("owners_asked"),
  "%d responses to %d queries", sum("owners_answered"), sum("owners_asked"))
lib.equal(sum("gossip_refused"), 0, "refused gossip datagrams")

-- Stops neither the daemon that reads the store nor the one that gets the
-- requests: the checks could fail without their data for another reason.
local entry = w.daemons[1]
local stopped = {}
for i = 2, DAEMONS do
  if #stopped < STOPPED and words.metric(w.daemons[i], "following") == 1 then
    stopped[#stopped + 1] = w.daemons[i]
  end
end
local queries = words.metric(entry, "owners_asked")
for _, daemon in ipairs(stopped) do daemon:stop() end
for subject = 1, SUBJECTS do
  local start = run.now()
  send(entry, 100 + subject, 1000 + subject)
  lib.check(run.now() - start < SERVED_MS, "a prompt took %d ms",
    run.now() - start)
end
lib.check(words.metric(entry, "owners_asked") > queries,
  "no queries while some daemons are stopped")
for _, daemon in ipairs(stopped) do daemon:continue() end
lib.say("ok")
