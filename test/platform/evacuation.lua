-- Evacuation of an availability zone. Guards against new requests to the zone
-- from daemons that run when the order is given, start later, or lose the store
-- afterwards. Streams in flight are completed. A request that no other zone can
-- serve is refused at once and not run.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS = 3
local ROUNDS = 40
local REFUSED_MS = 500
local w = words.world(4, DAEMONS)
for i = 1, 2 do w:set_zone(i, "b") end
w:wait_joined()

-- Replicas 3 and 4 run in zone a. The daemons do, too, and prefer these.
local function runs_in_zone_a()
  return #w:runs(3) + #w:runs(4)
end

local function evacuated_zones_are(count)
  for _, daemon in pairs(w.daemons) do
    if words.metric(daemon, "zones_evacuated") ~= count then return false end
  end
  return true
end

local function wait_evacuated_zones(count, what)
  lib.wait_until(what, function() return evacuated_zones_are(count) end)
end

-- Send requests to the paths at the daemons in turn; returns how many were
-- served.
local function send_load(daemons, paths)
  local served = 0
  for round = 1, ROUNDS do
    local daemon = daemons[round % #daemons + 1]
    for _, path in ipairs(paths or {"/stream/a", "/book/a", "/scan/a"}) do
      local answer = words.call(daemon, path,
        {key = path ~= "/open/a" and "k1"})
      if answer.status == 200 then served = served + 1 end
    end
  end
  return served
end

lib.equal(send_load(w.daemons), 3 * ROUNDS, "served before the order")
lib.check(runs_in_zone_a() > 0, "nothing ran in the zone before the order")

-- Streams in flight when the order is given.
for i = 1, 4 do w:faults(i, {events = 30, pause_ms = 50}) end
local streams = {}
for i = 1, 8 do streams[i] = words.begin(w.daemons[i % DAEMONS + 1], "/stream/a") end
run.sleep(300)
w:put("op", "evacuate/a", run.decode("{}"))
wait_evacuated_zones(1, "the evacuation is known")
local before = runs_in_zone_a()
for i, stream in ipairs(streams) do
  lib.check(words.whole(stream:finish().body, 30), "stream %d", i)
end
for i = 1, 4 do w:faults(i, {}) end
lib.equal(send_load(w.daemons), 3 * ROUNDS, "served during the evacuation")
lib.equal(runs_in_zone_a(), before, "runs in the zone after the order")

-- A daemon that starts later, and daemons that lose the store.
w:daemon(4)
words.wait_ready(w.daemons[4])
lib.equal(send_load({w.daemons[4]}), 3 * ROUNDS, "served by the new daemon")
lib.fault(w.store.address, {down = true})
lib.equal(send_load({w.daemons[1], w.daemons[4]}, {"/open/a"}), ROUNDS,
  "served without the store")
lib.fault(w.store.address, {down = false})
lib.equal(runs_in_zone_a(), before, "runs in the zone without the store")

-- No zone is left: refused at once, with a Retry-After.
w:put("op", "evacuate/b", run.decode("{}"))
wait_evacuated_zones(2, "both evacuations are known")
local since = run.now()
local answer = words.call(w.daemons[1], "/book/a")
lib.equal(answer.status, 503, "a request that no zone serves")
lib.check(run.now() - since < REFUSED_MS, "refused after %d ms",
  run.now() - since)
lib.check(answer.headers["Retry-After"] ~= nil, "no Retry-After")
lib.equal(w:ran(answer.id), 0, "runs of a refused request")

w:put("op", "evacuate/a", nil)
w:put("op", "evacuate/b", nil)
wait_evacuated_zones(0, "both evacuations have ended")
lib.equal(send_load(w.daemons), 3 * ROUNDS, "served after the evacuations")
lib.check(runs_in_zone_a() > before, "nothing runs in the zone afterwards")
lib.say("ok")
