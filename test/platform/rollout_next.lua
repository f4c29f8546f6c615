-- A roll-out of a bad version is taken back, and in that moment the operator
-- orders the next version, while the endpoints of the bad one still stand there.
-- Requests of all kinds, those of sessions too, were sent to the bad one again:
-- 22 to 29 of them moved to another version than the one before in their session.
--
-- Cause: "not the version that is ordered now" was taken for the old version, and
-- the bad one is not the one that is ordered now either.
-- Evidence, from the log of one daemon: rollout_state order=47 state=reverted at
-- 26.76 s, rollout_order order=62 to=v3 at 26.77 s, and a request of 27.18 s with
-- an endpoint of v2.
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

local function traffic(word)
  lib.wait_until("the roll-out is " .. word, function()
    bookings(20)
    return words.status(w, word)
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
-- All know of both: the first steps of the next one are under way.
traffic("in_progress")
local bad = runs(3, 4)
bookings(200)
lib.equal(runs(3, 4), bad, "runs on the version that was taken back")

-- A daemon that starts now finds out which version is replaced.
d[2]:kill()
w:daemon(2)
words.wait_ready(d[2])
bookings(100)
lib.equal(runs(3, 4), bad, "runs on it through a daemon that has just started")
traffic("completed")
lib.equal(runs(3, 4), bad, "runs on it until the next one is completed")
local old = runs(1, 4)
bookings(40)
lib.equal(runs(1, 4), old, "runs on versions that were replaced")
lib.say("ok")
