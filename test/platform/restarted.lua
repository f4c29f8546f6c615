-- A replica starts again under its id while requests are under way there, on
-- connections that fall silent: its next process knows nothing of them, and its
-- word that it did not run something says nothing about the one before.
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

-- Begin a request that stays at the replica of that number.
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

-- What may run once: its outcome is unknown, whatever the next process says,
-- and the caller is told so long before its deadline.
local booking = held_at(1, "/book/1", {deadline = DEADLINE_MS})
restart(1, {shed = true})
local told = booking:finish()
lib.equal(told.status, 502, "a booking at a replica that started again")
lib.equal(w:ran(booking.id), 1, "its runs")
lib.check(told.ms < DEADLINE_MS / 2, "told after %d ms", told.ms)

-- What may be repeated: refused by all that run now, it may have run before.
local scan = held_at(2, "/scan/1", {method = "GET", deadline = DEADLINE_MS})
restart(2, {shed = true})
lib.equal(scan:finish().status, 502, "a scan that nobody runs now")

-- It is repeated where it can be.
scan = held_at(1, "/scan/2", {method = "GET", deadline = DEADLINE_MS})
restart(1, {})
lib.equal(scan:finish().status, 200, "a scan at a replica that started again")

-- A stream goes on after its last event, at a replica that has none of it.
for i = 1, 2 do w:faults(i, {pause_ms = 50, events = 30}) end
local stream = words.begin(d, "/stream/a")
local at
lib.wait_until("it runs", function()
  at = w:endpoint_of(stream.id)
  return at and #stream:look().body > 0
end)
w:restart(at)
local answer = stream:finish()
lib.check(words.whole(answer.body, 30), "events: %s", answer.body)
lib.check(words.metric(d, "resumed_total") > 0, "it was not resumed")

-- A heartbeat of the earlier process that comes late brings nothing back.
w.replicas[1].born = w.replicas[1].born - 500
w:replica(1)
w.replicas[1].born = w.replicas[1].born + 500
w:replica(1)
lib.equal(words.call(d, "/scan/3", {method = "GET"}).status, 200, "a scan")
lib.say("ok")
