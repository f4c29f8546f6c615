-- Endpoints that cut, refuse, fail or stray: streams are resumed at their
-- offset, at most once is kept, and "not run" is true.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local w = words.world(2, 1)
local d = w.daemons[1]

local function both(faults)
  for i = 1, 2 do w:faults(i, faults) end
end

-- A stream that breaks off at all endpoints shows as broken off.
w:faults(1, {cut_after = 7})
w:faults(2, {cut_after = 13})
local stream = words.call(d, "/stream/a")
lib.equal(stream.status, 0, "a stream that was cut everywhere")

-- One that breaks off at one endpoint goes on elsewhere, inside one answer.
w:faults(2, {})
for _ = 1, 6 do
  stream = words.call(d, "/stream/a")
  lib.check(words.whole(stream.body, 20), "events: %s", stream.body)
end
lib.check(words.metric(d, "resumed_total") > 0, "no stream was resumed")

-- One that ends in good order inside an event is not whole.
w:faults(1, {half_after = 9})
for _ = 1, 6 do
  stream = words.call(d, "/stream/a")
  lib.check(words.whole(stream.body, 20), "events: %s", stream.body)
end

-- The configuration changes while a stream runs that breaks off later. It goes
-- on with its model, as the new configuration names it, or not at all.
local function resumed_after_change(models)
  w:faults(1, {cut_after = 10, pause_ms = 40})
  w:faults(2, {pause_ms = 40})
  local call, answer
  lib.wait_until("a stream breaks off", function()
    local before = words.metric(d, "broken_total")
    w:configure()
    call = words.begin(d, "/stream/d")
    lib.wait_until("it runs", function() return w:ran(call.id) > 0 end)
    w:configure(nil, models)
    answer = call:finish()
    return words.metric(d, "broken_total") > before
  end)
  return answer, w:models(call.id)
end
local answer, names = resumed_after_change({"small", "large"})
lib.check(words.whole(answer.body, 20), "events: %s", answer.body)
lib.equal(table.concat(names, " "), "small small", "its models")
answer, names = resumed_after_change({"tiny", "huge"})
lib.equal(answer.status, 0, "a stream whose model was taken away")
lib.equal(table.concat(names, " "), "small", "its models")
w:configure()

-- Refused by all: a promise with a time, and nothing has run.
both({shed = true})
local refused = words.call(d, "/book/1")
lib.equal(refused.status, 503, "refused by all")
lib.check(refused.headers["Retry-After"], "no time to come back")
lib.equal(w:ran(refused.id), 0, "runs of a refused request")

-- A refusal that names no request, on a connection that had another one before,
-- may be the late answer to that one: no promise is made of it.
both({})
for i = 1, 4 do
  lib.equal(words.call(d, "/book/1").status, 200, "a booking")
end
both({shed = true, unnamed = true})
local unnamed = words.call(d, "/book/1")
lib.equal(unnamed.status, 502, "refused by nobody knows whom")

-- Refused by one: it runs at the other.
both({shed = true})
w:faults(2, {})
for _ = 1, 8 do
  local booked = words.call(d, "/book/2")
  lib.equal(booked.status, 200, "refused by one")
  lib.equal(w:ran(booked.id), 1, "its runs")
end

-- An endpoint's own failure is passed on for what may run once, and tried
-- elsewhere for what may be repeated.
both({fail = true})
local failed = words.call(d, "/book/3")
lib.equal(failed.status, 500, "a booking that failed")
lib.equal(w:ran(failed.id), 1, "its runs")
w:faults(2, {})
for _ = 1, 8 do
  lib.equal(words.call(d, "/scan/3", {method = "GET"}).status, 200, "a scan")
end

-- An endpoint's failure that is there already is passed on at the time limit,
-- rather than one of our own.
w:faults(1, {fail = true})
w:faults(2, {slow_ms = 4000})
lib.wait_until("the failure of the first endpoint", function()
  return words.call(d, "/scan/3", {method = "GET", deadline = 700}).status ==
    500
end)
w:faults(2, {slow_ms = 0})

-- An answer to another request is nobody's: the outcome is unknown.
both({stray = true})
local stray = words.call(d, "/book/4")
lib.equal(stray.status, 502, "a stray answer")
lib.equal(w:ran(stray.id), 1, "its runs")

-- Another endpoint has the address.
both({})
lib.fault(w.replicas[1].address, {id = "somebody-else"})
for _ = 1, 8 do
  local booked = words.call(d, "/book/5")
  lib.equal(booked.status, 200, "an address that was reused")
  lib.equal(w:ran(booked.id), 1, "its runs")
end

-- A doubtful answer of the small model is asked of the large one.
both({confidence = 5})
stream = words.call(d, "/stream/b")
lib.check(words.whole(stream.body, 20), "events: %s", stream.body)
lib.equal(words.metric(d, "escalated_total"), 1, "larger models asked")

-- Each end is counted by its cause.
local function ended(outcome, why)
  return words.metric(d, string.format(
    'ended_total{outcome="%s",why="%s"}', outcome, why)) or 0
end
lib.check(ended("answered", "whole_stream") > 0, "streams are not counted")
lib.check(ended("no_endpoint", "no_endpoints") > 0 or
  ended("overload", "not_run") > 0, "refusals are not counted")
lib.check(ended("unknown_outcome", "stray_answer") > 0,
  "unknown outcomes are not counted")

-- A caller that leaves is noticed, and work for it ends: midway, before the
-- answer has begun, and in the second attempt.
local function leaves(path, runs, faults)
  both(faults)
  local before = w:left()
  local call = words.begin(d, path)
  lib.wait_until("it runs", function()
    return w:ran(call.id) >= runs and words.metric(d, "under_way") == 1
  end)
  call:leave()
  lib.wait_until("the work for it ends", function()
    return w:left() > before and words.metric(d, "under_way") == 0
  end)
  run.sleep(300)
  lib.equal(w:ran(call.id), runs, "runs of a request whose caller left")
end
leaves("/stream/c", 1, {events = 1000, pause_ms = 20})
leaves("/stream/c", 1, {hold = true})
leaves("/scan/c", 1, {hold = true})
leaves("/stream/c", 2, {confidence = 0, hold_model = "large"})

-- One that leaves while its request is still being sent: it never runs.
both({})
for i = 1, 2 do w.replicas[i]:signal("STOP") end
local sending = words.begin(d, "/scan/d", {body = ("x"):rep(3000000)})
lib.wait_until("it is taken", function()
  return words.metric(d, "under_way") == 1
end)
sending:leave()
lib.wait_until("it is dropped", function()
  return words.metric(d, "under_way") == 0
end)
for i = 1, 2 do w.replicas[i]:signal("CONT") end
run.sleep(300)
lib.equal(w:ran(sending.id), 0, "runs of a request that was never sent whole")
lib.say("ok")
