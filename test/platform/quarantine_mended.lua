-- A request is quarantined because it crashes a version's endpoints. Once that
-- version is replaced, one daemon has to run a trial of it, and all daemons have to
-- serve it from then on.
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
lib.wait_until("the request is refused", function()
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
lib.equal(send(w.daemons[1]), 503, "status while the old version is in use")
for i = 1, 5 do w:put("servers", w.replicas[i].id, nil) end
lib.wait_until("the request is served by all daemons", function()
  run.sleep(100)
  local first, second = send(w.daemons[1]), send(w.daemons[2])
  return first == 200 and second == 200
end)
for i = 6, 8 do
  lib.equal(run.reap(w.replicas[i].pid), nil,
    "exit of an endpoint of the new version")
end
for _, daemon in ipairs(w.daemons) do
  lib.equal(words.metric(daemon, "quarantined"), 0, "quarantined requests")
end
lib.say("ok")
