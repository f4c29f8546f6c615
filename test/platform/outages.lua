-- The store is unavailable, or its history is compacted; a daemon is killed, or
-- stopped: keys are accepted only while the configuration is recent enough, and
-- no request is interrupted that can be completed.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local w = words.world(2, 3)
local d = w.daemons

-- After its history was compacted, the store is read again in full.
lib.fault(w.store.address, {forget = true})
w:configure({"k3"})
for i = 1, 3 do
  lib.wait_until("a change after compacted history", function()
    return words.call(d[i], "/book/1", {key = "k3"}).status == 200
  end)
end

-- Without the store no daemon learns that a key was withdrawn.
lib.fault(w.store.address, {down = true})
for i = 1, 3 do
  lib.wait_until("keys are refused", function()
    return words.call(d[i], "/book/1", {key = "k3"}).status == 503
  end)
  lib.equal(words.call(d[i], "/open/1", {key = false}).status, 200,
    "a route without keys is served")
  lib.check(not words.ready(d[i]),
    "a daemon with an outdated configuration is ready")
end
lib.fault(w.store.address, {down = false})
for i = 1, 3 do
  words.wait_ready(d[i])
  lib.equal(words.call(d[i], "/book/1", {key = "k3"}).status, 200,
    "after the outage")
end

-- Each daemon is killed in turn: its followers find another parent.
for i = 1, 3 do
  d[i]:kill()
  for j = 1, 3 do
    if j ~= i then
      lib.equal(words.call(d[j], "/book/2", {key = "k3"}).status, 200,
        "while another daemon is killed")
    end
  end
  w:daemon(i)
  words.wait_ready(d[i])
end
w:configure({"k4"})
for i = 1, 3 do
  lib.wait_until("a change after kills", function()
    return words.call(d[i], "/book/3", {key = "k4"}).status == 200
  end)
end

-- A daemon that is stopped completes its requests in flight.
for i = 1, 2 do w:faults(i, {events = 60, pause_ms = 20}) end
local call = words.begin(d[1], "/stream/a", {key = "k4"})
lib.wait_until("the stream starts", function() return w:ran(call.id) > 0 end)
d[1]:signal("TERM")
lib.wait_until("it is not ready", function() return not words.ready(d[1]) end)
local stream = call:finish()
lib.check(words.whole(stream.body, 60), "events: %s", stream.body)
lib.equal(d[1]:wait(), 0, "its exit status")
lib.wait_until("it is no longer listed", function()
  return #words.addresses(d[2]) == 2 and #words.addresses(d[3]) == 2
end)
lib.say("ok")
