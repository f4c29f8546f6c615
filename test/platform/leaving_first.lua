-- The daemon that reads the store for all others is told to stop while it still
-- has work: the others hear of changes as soon as before.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS = 4
-- Far below the time that the users give for an endpoint's leaving.
local KNOWN_MS = 1500
local w = words.world(2, DAEMONS)

local function first()
  for _, daemon in ipairs(w.daemons) do
    if words.metric(daemon, "following") == 0 then return daemon end
  end
end

lib.wait_until("all others follow one", function()
  local readers = 0
  for _, daemon in ipairs(w.daemons) do
    if words.metric(daemon, "following") == 0 then readers = readers + 1 end
  end
  return readers == 1
end)
for i = 1, 2 do w:faults(i, {events = 60, pause_ms = 50}) end
local reader = first()
local call = words.begin(reader, "/stream/a")
lib.wait_until("its stream runs", function() return w:ran(call.id) > 0 end)
reader:signal("TERM")
-- Its word that it leaves is in the store, and nobody else reads that yet.
lib.wait_until("it is not ready", function() return not words.ready(reader) end)
run.sleep(400)
w:replica(1, "v1", "draining")
lib.wait_until("the others know of the endpoint that leaves", function()
  for _, daemon in ipairs(w.daemons) do
    if daemon ~= reader and
        words.metric(daemon, "endpoints_leaving") ~= 1 then
      return false
    end
  end
  return true
end, KNOWN_MS)
lib.check(words.whole(call:finish().body, 60), "the stream is cut")
lib.equal(reader:wait(), 0, "its exit status")
lib.say("ok")
