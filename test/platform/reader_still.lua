-- The daemon that reads the store for all others stands still, again and again,
-- just before an endpoint says that it leaves: the others know of it within the
-- users' bound for leaving, though whoever tells them everything tells nothing.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS = 4
local ROUNDS = 3
-- The users' bound for the last request to an endpoint that leaves.
local BOUND_MS = 2000
local w = words.world(2, DAEMONS)

local function others_know(still, leaving)
  for _, daemon in ipairs(w.daemons) do
    if daemon ~= still and
        words.metric(daemon, "endpoints_leaving") ~= leaving then
      return false
    end
  end
  return true
end

for round = 1, ROUNDS do
  lib.wait_until("all know of no endpoint that leaves", function()
    return others_know(nil, 0)
  end)
  local still = w:reader()
  still:stop()
  -- As the followers' questions are held, and once they are late.
  run.sleep(300 * (round - 1))
  local since = run.now()
  w:replica(1, "v1", "draining")
  lib.wait_until("the others know of the endpoint that leaves", function()
    return others_know(still, 1)
  end, BOUND_MS)
  lib.say("round %d: known after %d ms", round, run.now() - since)
  still:continue()
  lib.wait_until("it knows as well", function() return others_know(nil, 1) end)
  w:replica(1, "v1", "ready")
end
lib.say("ok")
