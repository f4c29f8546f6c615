-- Endpoints answer with neither a length nor chunks, so that their answers end with
-- the connection, and some crash in the middle of one. Guards against taking the end
-- of such a connection for the end of a whole answer, and against not suspecting what
-- crashed the endpoint.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local REPLICAS, DAEMONS, ROUNDS = 8, 3, 24
local CRASHES, SENDS_MORE = 3, 3
local EVENTS = 20
local sound = {unframed = true, pause_ms = 10, events = EVENTS}
local w = words.world(REPLICAS, DAEMONS)
local function set_faults(faults)
  for i = 1, REPLICAS do w:faults(i, faults) end
end
set_faults(sound)
w:wait_joined()

local count = 0
local function prompt(part)
  count = count + 1
  return {["Moortack-Token-Count"] = "900,30",
    ["Moortack-Prefix-Hash"] = string.format("a1:100,%s:100,c%x:50", part, count)}
end

local function stream(part)
  return words.call(w.daemons[count % DAEMONS + 1], "/stream/a",
    {body = "request " .. count, headers = prompt(part)})
end

-- Whole answers are passed on as such.
for i = 1, 3 * DAEMONS do
  local answer = stream("b1")
  lib.equal(answer.status, 200, "status of a stream")
  lib.check(words.whole(answer.body, EVENTS), "not whole: %s", answer.body)
  local plain = words.call(w.daemons[i % DAEMONS + 1], "/scan/a")
  lib.equal(plain.status, 200, "status")
  lib.equal(plain.body, "done\n", "body")
end

-- A part crashes endpoints after whole events, then inside an event.
local function crash_by(part, faults)
  set_faults(faults)
  local crashes = w:watch_crashes(faults, 700)
  local cut = 0
  for _ = 1, ROUNDS do
    local answer = stream(part)
    if answer.status == 200 and not words.whole(answer.body, EVENTS) then
      cut = cut + 1
    end
    run.sleep(450) -- crashes at the same moment count once
    crashes.look()
  end
  lib.say("%s: ended=%d cut answers taken for whole=%d", part, crashes.ended, cut)
  lib.equal(cut, 0, "cut answers that looked whole")
  lib.check(crashes.ended <= CRASHES + SENDS_MORE, "%d endpoints ended",
    crashes.ended)
  run.sleep(1000)
  crashes.look()
end

local function with_crash(part, fields)
  local faults = {crash_parts = " " .. part .. " ", crash_events = 4}
  for k, v in pairs(sound) do faults[k] = v end
  for k, v in pairs(fields) do faults[k] = v end
  return faults
end

crash_by("bad1", with_crash("bad1", {}))
crash_by("bad2", with_crash("bad2", {crash_half = true}))

-- A plain answer that ends in the middle, since its endpoint crashes.
set_faults({unframed = true, unframed_crash = true, crash_ms = 30})
local answer = words.call(w.daemons[1], "/book/a")
lib.check(answer.status ~= 200, "half an answer with status 200: %s", answer.body)
lib.say("ok")
