-- While requests wait at the endpoints, a doubtful response of the small model is
-- kept: the large model's time would make others wait longer than it gains. Once
-- nothing waits any more, the large model is asked again.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local EVENTS, EVENT_TOKENS, LARGE_MS = 20, 4, 50
local SLOTS, WAITING = 8, 160
local w = words.world(2, 1, nil, {slots = SLOTS,
  engine = {stride = EVENT_TOKENS, models = {{name = "small", cost = 0.1},
    {name = "large", cost = 1}}}})
local d = w.daemons[1]

local function report(waiting)
  for i = 1, 2 do
    w:faults(i, {events = EVENTS, confidence_small = 5, confidence = 100,
      pause_large_ms = LARGE_MS, slots = SLOTS, waiting = waiting})
  end
end

local function runs()
  local stream = words.call(d, "/stream/a", {headers = {
    ["Moortack-Token-Count"] = "100," .. EVENTS * EVENT_TOKENS,
    ["Moortack-Length-Hint"] = tostring(EVENTS * EVENT_TOKENS)}})
  lib.check(words.whole(stream.body, EVENTS), "events: %s", stream.body)
  return #w:models(stream.id)
end

local function price() return words.metric(d, 'price{service="lm"}') end

report(0)
for _ = 1, 2 do lib.equal(runs(), 2, "runs while nothing waits") end
lib.equal(price(), 0, "the price while nothing waits")

-- The large model takes a second at one of eight slots, and 20 requests wait for
-- each: at rank 1, a third of 2.5 s, with an objective of 1 s.
report(WAITING)
runs()
for _ = 1, 4 do lib.equal(runs(), 1, "runs while requests wait") end
lib.check(price() > 0.5 * WAITING / SLOTS, "the price is %s", price())

report(0)
lib.wait_until("the large model is asked again", function()
  return runs() == 2
end)
lib.wait_until("the price is 0 again", function() return price() == 0 end)
lib.say("ok")
