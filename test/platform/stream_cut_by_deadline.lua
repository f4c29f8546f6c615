-- A response of the small model with low confidence is kept where the large
-- model's stream would be cut by the caller's deadline: callers got part of a
-- stream, though a complete one was ready.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local EVENTS, EVENT_TOKENS, LARGE_MS = 20, 4, 50
local SLOTS = 8
local w = words.world(2, 1, nil, {slots = SLOTS,
  engine = {stride = EVENT_TOKENS, models = {{name = "small", cost = 0.1},
    {name = "large", cost = 1}}}})
local d = w.daemons[1]
for i = 1, 2 do
  w:faults(i, {events = EVENTS, confidence_small = 5, confidence = 100,
    pause_large_ms = LARGE_MS})
end

-- The output is estimated right; the limit is twice the estimate.
local function call(deadline_ms)
  local stream = words.call(d, "/stream/a", {deadline = deadline_ms,
    headers = {["Moortack-Token-Count"] = "100," .. 2 * EVENTS * EVENT_TOKENS,
      ["Moortack-Length-Hint"] = tostring(EVENTS * EVENT_TOKENS)}})
  lib.check(words.whole(stream.body, EVENTS), "events: %s", stream.body)
  return w:models(stream.id)
end

-- The large model takes EVENTS * LARGE_MS, a second; this is learned from its
-- responses.
for _ = 1, 3 do
  lib.equal(#call(6000), 2, "runs with time enough")
end
local escalated = words.metric(d, "escalated_total")
lib.equal(escalated, 3, "escalations")
for _ = 1, 5 do
  local models = call(EVENTS * LARGE_MS * 0.6)
  lib.equal(#models, 1, "runs with too little time")
  lib.equal(models[1], "small", "the model")
end
lib.equal(words.metric(d, "escalated_total"), escalated, "escalations")
lib.equal(#call(6000), 2, "runs with time enough again")
lib.say("ok")
