-- A replica restarts under its id while requests are in flight there, on
-- connections over which nothing more arrives. The new process does not know
-- these requests: its response that it has not run one says nothing about the
-- previous process.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DEADLINE_MS = 8000
local w = words.world(2, 0)
for i = 1, 2 do
  w.replicas[i].born = 1700000000000
  w:link(i)
end
local d = w:daemon(1)
words.wait_ready(d)

-- Starts a request that the replica of that number holds.
local function held_at(i, path, options)
  w:faults(i, {hold = true})
  w:faults(3 - i, {})
  local call
  lib.wait_until("a request is held", function()
    local before = #w:runs(i)
    call = words.begin(d, path, options)
    lib.wait_until("it ran or was answered", function()
      return w:ran(call.id) > 0
    end)
    if #w:runs(i) > before then return true end
    call:finish()
  end)
  return call
end

local function restart(i, faults)
  w:faults(1, faults)
  w:faults(2, faults)
  w:restart(i)
end

-- A request that may run only once: its outcome is unknown, whatever the new
-- process responds, and the caller learns that long before its deadline.
local booking = held_at(1, "/book/1", {deadline = DEADLINE_MS})
restart(1, {shed = true})
local response = booking:finish()
lib.equal(response.status, 502, "a booking at a replica that restarted")
lib.equal(w:ran(booking.id), 1, "its runs")
lib.check(response.ms < DEADLINE_MS / 2, "response after %d ms", response.ms)

-- An idempotent request: all current processes refuse it, but it may have run
-- before.
local scan = held_at(2, "/scan/1", {method = "GET", deadline = DEADLINE_MS})
restart(2, {shed = true})
lib.equal(scan:finish().status, 502, "a scan that all replicas refuse now")

-- It is repeated if a replica accepts it.
scan = held_at(1, "/scan/2", {method = "GET", deadline = DEADLINE_MS})
restart(1, {})
lib.equal(scan:finish().status, 200, "a scan at a replica that restarted")

-- A stream is resumed after its last event, at a replica that has none of its
-- events.
for i = 1, 2 do w:faults(i, {pause_ms = 50, events = 30}) end
local stream = words.begin(d, "/stream/a")
local at
lib.wait_until("the stream runs", function()
  at = w:endpoint_of(stream.id)
  return at and #stream:look().body > 0
end)
w:restart(at)
local result = stream:finish()
lib.check(words.whole(result.body, 30), "events: %s", result.body)
lib.check(words.metric(d, "resumed_total") > 0, "the stream was not resumed")

-- A late heartbeat of the previous process does not replace the new one.
w.replicas[1].born = w.replicas[1].born - 500
w:replica(1)
w.replicas[1].born = w.replicas[1].born + 500
w:replica(1)
lib.equal(words.call(d, "/scan/3", {method = "GET"}).status, 200, "a scan")
lib.say("ok")
