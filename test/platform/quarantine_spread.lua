-- A fleet so large that crashes are reported only to the owner of the request's
-- digest. A request crashes three endpoints, sent by different daemons. Guards
-- against a daemon that does not refuse it within the bound: also one that starts
-- after all daemons were killed, and while the store is unavailable.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local REPLICAS, DAEMONS = 10, 11
local CRASHES, SENDS_MORE = 3, 3
-- The smallest bound that a deployment may set.
local KNOWN_MS = 3000
local FAULTS = {crash_on = "poison"}
local w = words.world(REPLICAS, DAEMONS)
for i = 1, REPLICAS do w:faults(i, FAULTS) end

local function all(condition)
  for _, daemon in ipairs(w.daemons) do
    if not condition(daemon) then return false end
  end
  return true
end

local function wait_joined()
  lib.wait_until("the daemons know of each other", function()
    return all(function(daemon)
      return words.metric(daemon, "entries") == DAEMONS
    end)
  end)
  run.sleep(400) -- until the next tick, which updates the size of the fleet
end

local ended = 0
local function revive_crashed()
  for i = 1, REPLICAS do
    if run.reap(w.replicas[i].pid) then
      ended = ended + 1
      w:revive(i, FAULTS)
    end
  end
end

-- Send until the request has crashed enough endpoints; then all daemons have to
-- refuse it within the bound.
local function crash_and_spread(body, count)
  local from, sent = ended, 0
  repeat
    sent = sent + 1
    local answer = words.call(w.daemons[sent % DAEMONS + 1], "/stream/a",
      {body = body})
    lib.check(answer.status ~= 200, "status %d of a request that crashes endpoints",
      answer.status)
    run.sleep(150)
    revive_crashed()
  until ended - from >= CRASHES or sent > 2 * DAEMONS
  local since = run.now()
  lib.wait_until("all daemons refuse it", function()
    return all(function(daemon)
      return words.metric(daemon, "quarantined") == count
    end)
  end, KNOWN_MS)
  lib.say("%s: ended=%d sent=%d known after %d ms", body, ended - from, sent,
    run.now() - since)
end

local function all_refuse(body)
  local before = ended
  for _, daemon in ipairs(w.daemons) do
    local answer = words.call(daemon, "/stream/a", {body = body})
    lib.equal(answer.status, 503, "status of a quarantined request")
    lib.check(tonumber(answer.headers["Retry-After"]) > 60, "Retry-After: %s",
      answer.headers["Retry-After"])
  end
  run.sleep(100)
  revive_crashed()
  lib.equal(ended, before, "endpoints that crashed")
end

wait_joined()
crash_and_spread("poison 1", 1)
lib.check(ended <= CRASHES + SENDS_MORE, "%d endpoints crashed", ended)
all_refuse("poison 1")

-- All daemons are killed at once, after the request's row has been written.
run.sleep(KNOWN_MS)
for _, daemon in ipairs(w.daemons) do daemon:kill() end
for i = 1, DAEMONS do w:daemon(i) end
for i = 1, DAEMONS do words.wait_ready(w.daemons[i]) end
all_refuse("poison 1")

-- The store is unavailable.
wait_joined()
lib.fault(w.store.address, {down = true})
local from = ended
for i = 1, 3 do
  words.call(w.daemons[i * 3], "/stream/a", {body = "poison 2"})
  run.sleep(200)
end
lib.wait_until("all daemons refuse it", function()
  return all(function(daemon)
    return words.metric(daemon, "quarantined") == 2
  end)
end, KNOWN_MS)
lib.fault(w.store.address, {down = false})
revive_crashed()
lib.check(ended - from <= CRASHES + SENDS_MORE, "%d endpoints crashed",
  ended - from)
wait_joined()
all_refuse("poison 2")
lib.say("ok")
