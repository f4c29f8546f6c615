-- Guards against discarding the only response that a caller may get: a stream that
-- can't be resumed may run once, so a doubtful response of the small model is kept.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local EVENTS = 4

local w = words.world(2, 1, nil,
  {route_fields = {stream = {resumable = false}},
    engine = {stride = 4, models = {{name = "small", cost = 0.1},
      {name = "large", cost = 1}}}})
for i = 1, 2 do
  w:faults(i, {events = EVENTS, confidence_small = 5, confidence = 100})
end
for _ = 1, 5 do
  local stream = words.call(w.daemons[1], "/stream/a", {headers = {
    ["Moortack-Token-Count"] = "100,16", ["Moortack-Length-Hint"] = "16"}})
  lib.equal(stream.status, 200, "status")
  lib.check(words.whole(stream.body, EVENTS), "events: %s", stream.body)
  lib.equal(#w:models(stream.id), 1, "runs of a stream that may run once")
end
lib.say("ok")
