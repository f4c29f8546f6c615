-- Guards against what can go wrong with requests that wait for their place at an
-- endpoint: served late, sent for a caller that has left or without a valid key,
-- run although refused, or left without a response when the daemon stops, an
-- endpoint ends or load reports stop.
package.path = script_dir .. "/?.lua;" .. package.path
local load = require("admission_load")
local words, lib = load.words, load.lib
local OBJECTIVE_MS, WORK_MS, SLOTS, QUEUE, REPLICAS = 2000, 100, 2, 30, 2
local CAPACITY = REPLICAS * SLOTS * 1000 / WORK_MS
local FULL = {usual = 1.6 * CAPACITY}
local w = load.world({daemons = 2, replicas = REPLICAS, slots = SLOTS,
  queue = QUEUE, work_ms = WORK_MS, objective_ms = OBJECTIVE_MS,
  organisations = {"usual"}, keys = {usual = {"usual", "k1", "k2", "k3"}},
  environment = {"MOORTACK_LOG_RATE=10000"}})

-- Sends load until a condition holds. The result waits for the responses, and
-- checks that all of it is served or refused, but for what an endpoint that ended
-- had, and that nothing that was refused has run.
local function under_load(condition)
  local calls = load.send(w, condition, FULL, {1, 2})
  return function(lost)
    local results = load.results(calls, OBJECTIVE_MS)
    for _, r in pairs(results) do
      lib.check(r.other <= (lost or 0), "%d neither served nor refused", r.other)
    end
    load.check_refusals(w, results)
    return results
  end
end

-- Sends requests with the key until one waits, and then calls next with it until
-- that returns true.
local function with_waiting(key, next)
  local call, found
  local next_at = 0
  return under_load(function()
    if found then return next(found) end
    if call and call:look().done then
      call:finish()
      call = nil
    elseif call and load.waits(w.daemons[1], call.id) then
      found = call
    elseif not call and run.now() >= next_at then
      next_at = run.now() + 50
      call = words.begin(w.daemons[1], "/scan/a", {key = key})
    end
    return false
  end)
end

local function faults(more)
  local all = {work_ms = WORK_MS, slots = SLOTS, queue = QUEUE, events = 3,
    confidence_small = 5}
  for name, value in pairs(more or {}) do all[name] = value end
  for i = 1, REPLICAS do w:faults(i, all) end
end

-- With room at endpoints, the response of a small model is discarded for a larger
-- one's.
faults()
lib.equal(words.call(w.daemons[1], "/stream/a", {key = "usual"}).status, 200,
  "status of a stream")
lib.equal(load.sum(w, "escalated_total"), 1, "larger models asked")

-- Those that wait are served in time.
local finish
local until_ms = run.now() + 5000
local results = under_load(function() return run.now() > until_ms end)()
lib.check(load.sum(w, "admitted_after_wait_total") > 0, "nothing has waited")
local usual = results.usual
lib.check(usual.in_time >= 0.95 * usual.served, "%d of %d in time",
  usual.in_time, usual.served)
lib.check(usual.served >= 0.8 * CAPACITY * 5, "%d served", usual.served)

-- No larger model is asked that would have to wait.
local stream
finish = under_load(function()
  if stream and stream:look().done then
    stream:finish()
    stream = nil
  end
  stream = stream or words.begin(w.daemons[1], "/stream/a", {key = "usual"})
  return load.sum(w, "escalations_withheld_total") > 0
end)
finish()
stream:finish()

-- A caller leaves while its request waits: that reaches no endpoint.
-- One that got its place just before its caller left is no case.
local left_id
for _ = 1, 10 do
  local id
  finish = with_waiting("usual", function(call)
    id = call.id
    call:leave()
    return true
  end)
  finish()
  local ended = lib.wait_until("the end of a request", function()
    return load.log(w.daemons[1]):find("event=request id=" .. id .. " ", 1, true)
  end)
  local sent = load.log(w.daemons[1]):find("event=attempt id=" .. id .. " ", 1,
    true)
  lib.check(not sent or sent < ended, "a request is sent without its caller")
  if not sent then
    left_id = id
    break
  end
end
lib.check(left_id, "no caller has left while its request waited")
run.sleep(500)
for i = 1, REPLICAS do
  for _, arrival in ipairs(lib.http("GET", w.replicas[i].address,
      "/arrivals").json.arrivals) do
    lib.check(arrival[2] ~= left_id, "a request arrives without its caller")
  end
end

-- A key is revoked while a request with it waits: it does not run. Those that got
-- their place, or were refused, before the daemon knew are tried again.
local function revoke(key)
  local keys = w.organisations[1].api_keys
  for i = #keys, 1, -1 do
    if keys[i] == key then table.remove(keys, i) end
  end
  w:configure()
end

local revoked
for _, key in ipairs({"k1", "k2", "k3"}) do
  local call
  finish = with_waiting(key, function(waiting)
    if not call then revoke(key) end
    call = waiting
    return call:look().done
  end)
  finish()
  if not revoked and call:finish().status == 401 then
    revoked = call.id
    lib.equal(w:ran(revoked), 0, "runs of a request with a revoked key")
  end
end
lib.check(revoked, "no request waited as its key was revoked")

local function some_wait()
  return words.metric(w.daemons[1], "waiting") > 0
end

-- An endpoint ends while requests wait.
finish = under_load(some_wait)
w.replicas[2]:kill()
w:revive(2)
faults()
finish(SLOTS + QUEUE)

-- Load reports stop while requests wait: all is sent again, as if nothing was
-- known.
finish = under_load(some_wait)
faults({no_load = true})
lib.wait_until("nothing waits", function()
  return load.sum(w, "waiting") == 0 and load.sum(w, "services_crowded") == 0
end)
finish()
local waited = load.sum(w, "waited_total")
finish = under_load(function() return w:arrivals_after(1, 0) > 0 end)
finish()
lib.equal(load.sum(w, "waited_total"), waited, "waits without load reports")
faults()

-- The daemon is told to stop while requests wait: each is served, or refused
-- without having run.
finish = under_load(some_wait)
w.daemons[1]:signal("TERM")
finish()
lib.equal(w.daemons[1]:wait(), 0, "exit status")
lib.say("ok")
