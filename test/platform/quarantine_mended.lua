-- A request that is refused since it crashes a version's endpoints is tried again
-- once that version is replaced, by one daemon, and is served by all from then on.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS = 2
local w = words.world(5, DAEMONS)
for i = 1, 5 do w:faults(i, {crash_on = "poison"}) end
w:wait_joined()

local function send(daemon)
  return words.call(daemon, "/scan/1", {body = "poison"}).status
end
lib.wait_until("it is refused", function()
  run.sleep(100)
  return send(w.daemons[1]) == 503 and send(w.daemons[2]) == 503
end)
for i = 6, 8 do w:replica(i, "v2") end
w:put("op", "rollout/lm", {service = "lm", to = "v2", duration_s = 10})
lib.wait_until("the roll-out is completed", function()
  for _ = 1, 5 do
    for _, daemon in ipairs(w.daemons) do words.call(daemon, "/book/1") end
  end
  return words.status(w, "completed")
end)
lib.equal(send(w.daemons[1]), 503, "while the old version is there")
for i = 1, 5 do w:put("servers", w.replicas[i].id, nil) end
lib.wait_until("it is served by all", function()
  run.sleep(100)
  local first, second = send(w.daemons[1]), send(w.daemons[2])
  return first == 200 and second == 200
end)
for i = 6, 8 do
  lib.equal(run.reap(w.replicas[i].pid), nil, "an endpoint that ended")
end
for _, daemon in ipairs(w.daemons) do
  lib.equal(words.metric(daemon, "quarantined"), 0, "requests refused")
end
lib.say("ok")
