-- The daemon that reads the store for all others is stopped, again and again,
-- just before an endpoint reports that it leaves: the other daemons have to
-- know that within the users' limit, although their root sends nothing.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS = 4
local ROUNDS = 3
-- The users' time limit for the last request to an endpoint that leaves.
local LIMIT_MS = 2000
local w = words.world(2, DAEMONS)

local function others_have(stopped, leaving)
  for _, daemon in ipairs(w.daemons) do
    if daemon ~= stopped and
        words.metric(daemon, "endpoints_leaving") ~= leaving then
      return false
    end
  end
  return true
end

for round = 1, ROUNDS do
  lib.wait_until("no daemon has an endpoint that leaves", function()
    return others_have(nil, 0)
  end)
  local stopped = w:reader()
  stopped:stop()
  -- While the followers' requests are held, and after their time limit.
  run.sleep(300 * (round - 1))
  local since = run.now()
  w:replica(1, "v1", "draining")
  lib.wait_until("the other daemons have the endpoint as leaving", function()
    return others_have(stopped, 1)
  end, LIMIT_MS)
  lib.say("round %d: known after %d ms", round, run.now() - since)
  stopped:continue()
  lib.wait_until("the continued daemon has it as well", function()
    return others_have(nil, 1)
  end)
  w:replica(1, "v1", "ready")
end
lib.say("ok")
