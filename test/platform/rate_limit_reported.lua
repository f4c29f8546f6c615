-- Daemons report a rate limit to each other, its change and its end: guards
-- against a limit that is obeyed late by those that seldom send to the endpoint.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
-- More than are notified directly.
local DAEMONS, REPLICAS = 11, 2
-- Reports are spread to random daemons, so that a few may be left out.
local REACHED = 8
local w = words.world(REPLICAS, DAEMONS)
lib.wait_until("the daemons know of each other", function()
  return w:all_show("entries", DAEMONS)
end)

local function knowing(count)
  local found = 0
  for _, daemon in ipairs(w.daemons) do
    if words.metric(daemon, "endpoints_rate_limited") == count then
      found = found + 1
    end
  end
  return found
end

-- Only the first daemon sends requests.
local function wait_reported(limit, count)
  w:faults(1, {limit = limit})
  lib.wait_until("the first daemon knows", function()
    words.call(w.daemons[1], "/scan/a")
    return words.metric(w.daemons[1], "endpoints_rate_limited") == count
  end, 60000)
  lib.wait_until("the others know", function()
    return knowing(count) >= REACHED
  end, 2000)
end

wait_reported("20", 1)
wait_reported(nil, 0)
lib.say("ok")
