-- An endpoint of a new version goes down with several requests in flight. That is
-- a single event and no reason to revert a version whose other responses are good.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local STREAMS_MAX = 400 -- as many as the endpoints have connections for
local w = words.world(2, 2)
local d = w.daemons

for i = 1, 2 do words.call(d[i], "/book/0") end
for i = 1, 2 do w:faults(i, {events = 200, pause_ms = 20}) end
for i = 3, 4 do
  w:replica(i, "v2")
  w:faults(i, {events = 200, pause_ms = 20})
end
w:put("op", "rollout/lm", {service = "lm", to = "v2", duration_s = 14})

-- No request goes to the new version in the first two seconds. Then streams are
-- started until several run on it, all of them at one endpoint.
run.sleep(2200)
local calls = {}
lib.wait_until("several streams run on the new version", function()
  for _ = 1, 10 do
    calls[#calls + 1] = words.begin(d[1 + #calls % 2], "/stream/s")
  end
  return #w:runs(3) + #w:runs(4) >= 5
end, 6000)
lib.check(#calls < STREAMS_MAX, "the share is too small: %d", #calls)
local crashing = #w:runs(3) > #w:runs(4) and 3 or 4
w.replicas[crashing]:kill()
w:put("servers", w.replicas[crashing].id, nil)
w.replicas[crashing] = nil
for _, call in ipairs(calls) do
  lib.check(words.whole(call:finish().body, 200), "a stream was truncated")
end
lib.wait_until("the roll-out is completed", function()
  for i = 1, 2 do
    for _ = 1, 5 do words.call(d[i], "/book/1") end
  end
  lib.check(not words.status(w, "reverted"), "a good version was reverted")
  return words.status(w, "completed")
end, 20000)
lib.say("ok")
