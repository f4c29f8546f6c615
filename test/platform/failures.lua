-- Endpoints that truncate streams, refuse, fail, or send the response to
-- another request: streams resume after their last event, an unsafe request
-- runs at most once, and a request that is reported as not run has not run.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local w = words.world(2, 1)
local d = w.daemons[1]

local function both(faults)
  for i = 1, 2 do w:faults(i, faults) end
end

-- A stream that is truncated at all endpoints is truncated for its caller.
w:faults(1, {cut_after = 7})
w:faults(2, {cut_after = 13})
local stream = words.call(d, "/stream/a")
lib.equal(stream.status, 0, "a stream that is truncated at all endpoints")

-- A stream that is truncated at one endpoint resumes at the other, in the same
-- response.
w:faults(2, {})
for _ = 1, 6 do
  stream = words.call(d, "/stream/a")
  lib.check(words.whole(stream.body, 20), "events: %s", stream.body)
end
lib.check(words.metric(d, "resumed_total") > 0, "no stream was resumed")

-- A stream whose body ends inside an event is incomplete, although the HTTP
-- message is complete.
w:faults(1, {half_after = 9})
for _ = 1, 6 do
  stream = words.call(d, "/stream/a")
  lib.check(words.whole(stream.body, 20), "events: %s", stream.body)
end

-- The configuration changes while a stream is in progress that is truncated
-- later. It resumes with the same model, named by the new configuration, or not
-- at all.
local function resumed_after_change(models)
  w:faults(1, {cut_after = 10, pause_ms = 40})
  w:faults(2, {pause_ms = 40})
  local call, response
  lib.wait_until("a stream is truncated", function()
    local before = words.metric(d, "broken_total")
    w:configure()
    call = words.begin(d, "/stream/d")
    lib.wait_until("it runs", function() return w:ran(call.id) > 0 end)
    w:configure(nil, models)
    response = call:finish()
    return words.metric(d, "broken_total") > before
  end)
  return response, w:models(call.id)
end
local response, names = resumed_after_change({"small", "large"})
lib.check(words.whole(response.body, 20), "events: %s", response.body)
lib.equal(table.concat(names, " "), "small small", "its models")
response, names = resumed_after_change({"tiny", "huge"})
lib.equal(response.status, 0, "a stream whose model was removed")
lib.equal(table.concat(names, " "), "small", "its models")
w:configure()

-- Refused by all endpoints: the caller gets Retry-After, and nothing has run.
both({shed = true})
local refused = words.call(d, "/book/1")
lib.equal(refused.status, 503, "refused by all")
lib.check(refused.headers["Retry-After"], "no Retry-After")
lib.equal(w:ran(refused.id), 0, "runs of a refused request")

-- A refusal without a request id on a reused connection may be the late
-- response to an earlier request: it does not prove that this request has not
-- run.
both({})
for i = 1, 4 do
  lib.equal(words.call(d, "/book/1").status, 200, "a booking")
end
both({shed = true, unnamed = true})
local unnamed = words.call(d, "/book/1")
lib.equal(unnamed.status, 502, "a refusal without a request id")

-- Refused by one endpoint: the request runs at the other.
both({shed = true})
w:faults(2, {})
for _ = 1, 8 do
  local booked = words.call(d, "/book/2")
  lib.equal(booked.status, 200, "refused by one")
  lib.equal(w:ran(booked.id), 1, "its runs")
end

-- A server error of an endpoint is forwarded for an unsafe request; an
-- idempotent request is retried at the other endpoint.
both({fail = true})
local failed = words.call(d, "/book/3")
lib.equal(failed.status, 500, "a booking that failed")
lib.equal(w:ran(failed.id), 1, "its runs")
w:faults(2, {})
for _ = 1, 8 do
  lib.equal(words.call(d, "/scan/3", {method = "GET"}).status, 200, "a scan")
end

-- At the time limit, a server error that an endpoint has sent is forwarded
-- instead of an error of the router.
w:faults(1, {fail = true})
w:faults(2, {slow_ms = 4000})
lib.wait_until("the failure of the first endpoint", function()
  return words.call(d, "/scan/3", {method = "GET", deadline = 700}).status ==
    500
end)
w:faults(2, {slow_ms = 0})

-- A response to another request is discarded: the outcome is unknown.
both({stray = true})
local stray = words.call(d, "/book/4")
lib.equal(stray.status, 502, "a response to another request")
lib.equal(w:ran(stray.id), 1, "its runs")

-- Another endpoint responds at the address.
both({})
lib.fault(w.replicas[1].address, {id = "somebody-else"})
for _ = 1, 8 do
  local booked = words.call(d, "/book/5")
  lib.equal(booked.status, 200, "an address that was reused")
  lib.equal(w:ran(booked.id), 1, "its runs")
end

-- A response of the small model with low confidence is escalated to the large
-- model.
both({confidence = 5})
stream = words.call(d, "/stream/b")
lib.check(words.whole(stream.body, 20), "events: %s", stream.body)
lib.equal(words.metric(d, "escalated_total"), 1, "escalations")

-- Requests are counted by outcome and cause.
local function ended(outcome, why)
  return words.metric(d, string.format(
    'ended_total{outcome="%s",why="%s"}', outcome, why)) or 0
end
lib.check(ended("answered", "whole_stream") > 0, "streams are not counted")
lib.check(ended("no_endpoint", "no_endpoints") > 0 or
  ended("overload", "not_run") > 0, "refusals are not counted")
lib.check(ended("unknown_outcome", "stray_answer") > 0,
  "unknown outcomes are not counted")

-- When a caller disconnects, the work for it ends: while its response is in
-- progress, before the response starts, and in the second attempt.
local function disconnects(path, runs, faults)
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
  lib.equal(w:ran(call.id), runs, "runs of a request whose caller disconnected")
end
disconnects("/stream/c", 1, {events = 1000, pause_ms = 20})
disconnects("/stream/c", 1, {hold = true})
disconnects("/scan/c", 1, {hold = true})
disconnects("/stream/c", 2, {confidence = 0, hold_model = "large"})

-- A caller disconnects while its request is still being sent to the endpoint:
-- the request never runs.
both({})
for i = 1, 2 do w.replicas[i]:signal("STOP") end
local sending = words.begin(d, "/scan/d", {body = ("x"):rep(3000000)})
lib.wait_until("it is accepted", function()
  return words.metric(d, "under_way") == 1
end)
sending:leave()
lib.wait_until("it is dropped", function()
  return words.metric(d, "under_way") == 0
end)
for i = 1, 2 do w.replicas[i]:signal("CONT") end
run.sleep(300)
lib.equal(w:ran(sending.id), 0, "runs of an incomplete request")
lib.say("ok")
