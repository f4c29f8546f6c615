-- The daemon that reads the store for all others, the root of the tree, gets
-- SIGTERM while it still has a request in flight: the others receive changes as
-- soon as before.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS = 4
-- Far below the time that the users allow for an endpoint to drain.
local KNOWN_MS = 1500
local w = words.world(2, DAEMONS)

local function find_root()
  for _, daemon in ipairs(w.daemons) do
    if words.metric(daemon, "following") == 0 then return daemon end
  end
end

lib.wait_until("all other daemons follow one", function()
  local roots = 0
  for _, daemon in ipairs(w.daemons) do
    if words.metric(daemon, "following") == 0 then roots = roots + 1 end
  end
  return roots == 1
end)
for i = 1, 2 do w:faults(i, {events = 60, pause_ms = 50}) end
local root = find_root()
local call = words.begin(root, "/stream/a")
lib.wait_until("its stream is in progress", function()
  return w:ran(call.id) > 0
end)
root:signal("TERM")
-- Its row in the store says that it leaves, and no other daemon reads the store
-- yet.
lib.wait_until("it is not ready", function() return not words.ready(root) end)
run.sleep(400)
w:replica(1, "v1", "draining")
lib.wait_until("the others know of the draining endpoint", function()
  for _, daemon in ipairs(w.daemons) do
    if daemon ~= root and
        words.metric(daemon, "endpoints_leaving") ~= 1 then
      return false
    end
  end
  return true
end, KNOWN_MS)
lib.check(words.whole(call:finish().body, 60), "the stream is truncated")
lib.equal(root:wait(), 0, "its exit status")
lib.say("ok")
