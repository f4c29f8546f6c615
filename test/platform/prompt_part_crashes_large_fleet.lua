-- A fleet so large that crashes are reported only to the owners of digests, and
-- endpoints that crash some events after they began to answer. Guards against losing
-- what daemons know of a part that crashes endpoints while the store is unavailable,
-- a daemon is killed, or daemons stand still.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local Storms = require("storms")
local REPLICAS, DAEMONS = 12, 11
local w = words.world(REPLICAS, DAEMONS)
lib.wait_until("the daemons know of each other", function()
  return w:all_show("entries", DAEMONS)
end)
run.sleep(400) -- until the next tick, which updates the size of the fleet
local storms = Storms.new(w, {faults = {crash_parts = " bad1 bad2 bad3 ",
  crash_events = 2, pause_ms = 25, events = 30}, step_ms = 120})

storms:calm(0)
storms:check(1, {{part = "bad1", where = "middle"}})

-- The store is unavailable until the first endpoints are back.
local down = true
lib.fault(w.store.address, {down = true})
storms:check(2, {{part = "bad2", where = "middle"}}, function(ms)
  if down and ms > 1400 then
    down = false
    lib.fault(w.store.address, {down = false})
  end
end)

-- A daemon is killed when the storm begins, and two others stand still for a while.
local steps = {
  {0, function() w.daemons[3]:kill() end},
  {300, function() w.daemons[5]:stop(); w.daemons[8]:stop() end},
  {1500, function() w.daemons[5]:continue(); w.daemons[8]:continue() end},
  {2500, function() w:daemon(3) end},
}
storms:check(3, {{part = "bad3", where = "middle"}}, function(ms)
  while steps[1] and ms >= steps[1][1] do table.remove(steps, 1)[2]() end
end)
lib.say("ok")
