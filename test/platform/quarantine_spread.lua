-- A fleet too large for each daemon to be told of all: a request that crashed three
-- endpoints, at different daemons, is refused by all within the bound, also by
-- daemons that start after all were lost, and while the store is away.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local REPLICAS, DAEMONS = 10, 11
local CRASHES, SENDS_MORE = 3, 3
-- The least bound of a deployment.
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
  run.sleep(400) -- a tick, which notices the size of the fleet
end

local ended = 0
local function endpoints_look()
  for i = 1, REPLICAS do
    if run.reap(w.replicas[i].pid) then
      ended = ended + 1
      w:revive(i, FAULTS)
    end
  end
end

-- Send until some daemon refuses; then all have to within the bound.
local function crash_and_spread(body, count)
  local from, sent = ended, 0
  repeat
    sent = sent + 1
    local answer = words.call(w.daemons[sent % DAEMONS + 1], "/stream/a",
      {body = body})
    lib.check(answer.status ~= 200, "an answer: %d", answer.status)
    run.sleep(150)
    endpoints_look()
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
    lib.equal(answer.status, 503, "refused")
    lib.check(tonumber(answer.headers["Retry-After"]) > 60, "come back after %s",
      answer.headers["Retry-After"])
  end
  run.sleep(100)
  endpoints_look()
  lib.equal(ended, before, "endpoints that ended")
end

wait_joined()
crash_and_spread("poison 1", 1)
lib.check(ended <= CRASHES + SENDS_MORE, "%d endpoints ended", ended)
all_refuse("poison 1")

-- All are lost at once, a moment later: its row has been written by then.
run.sleep(KNOWN_MS)
for _, daemon in ipairs(w.daemons) do daemon:kill() end
for i = 1, DAEMONS do w:daemon(i) end
for i = 1, DAEMONS do words.wait_ready(w.daemons[i]) end
all_refuse("poison 1")

-- The store is away.
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
endpoints_look()
lib.check(ended - from <= CRASHES + SENDS_MORE, "%d endpoints ended",
  ended - from)
wait_joined()
all_refuse("poison 2")
lib.say("ok")
