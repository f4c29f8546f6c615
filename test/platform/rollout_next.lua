-- Guards against requests to a reverted version. A roll-out is reverted, and at
-- once the operator orders the next version while the endpoints of the reverted
-- one are still registered. Every version but the ordered one counted as the old
-- version then, also the reverted one. It got requests again, and 22 to 29
-- requests of sessions changed their version. In the log of one daemon, v2 was
-- reverted at 26.76 s, the order for v3 came at 26.77 s, and at 27.18 s a request
-- went to an endpoint of v2.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local w = words.world(2, 2)
local d = w.daemons

local function bookings(count)
  for n = 1, count do
    words.call(d[1 + n % 2], "/book/1",
      {headers = {["Session"] = "session-" .. n}})
  end
end

local function runs(first, last)
  local count = 0
  for i = first, last do count = count + #w:runs(i) end
  return count
end

local function traffic(state)
  lib.wait_until("the roll-out is " .. state, function()
    bookings(20)
    return words.status(w, state)
  end, 30000)
end

bookings(20)
for i = 3, 4 do
  w:replica(i, "v2")
  w:faults(i, {fail = true})
end
w:put("op", "rollout/lm", {service = "lm", to = "v2", duration_s = 12})
traffic("reverted")
for i = 5, 6 do w:replica(i, "v3") end
w:put("op", "rollout/lm", {service = "lm", to = "v3", duration_s = 12})
-- All daemons know both orders: the first steps of the next roll-out are in
-- progress.
traffic("in_progress")
local bad = runs(3, 4)
bookings(200)
lib.equal(runs(3, 4), bad, "runs on the reverted version")

-- A daemon that starts now learns which version is replaced.
d[2]:kill()
w:daemon(2)
words.wait_ready(d[2])
bookings(100)
lib.equal(runs(3, 4), bad,
  "runs on the reverted version through a restarted daemon")
traffic("completed")
lib.equal(runs(3, 4), bad,
  "runs on the reverted version until the next roll-out completed")
local old = runs(1, 4)
bookings(40)
lib.equal(runs(1, 4), old, "runs on versions that were replaced")
lib.say("ok")
