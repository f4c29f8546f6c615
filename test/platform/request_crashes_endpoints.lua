-- A request crashes each endpoint that it runs on, and is sent to all daemons again
-- and again, while other requests run at the same endpoints. Guards against more
-- crashes than the quarantine permits, and against failing the other requests.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local REPLICAS, DAEMONS = 8, 3
-- Three endpoints crash; once all daemons know of that, the request is sent at most
-- three more times.
local CRASHES, SENDS_MORE = 3, 3
local ROUNDS = 30
local FAULTS = {crash_on = "poison", pause_ms = 10, events = 20}
local w = words.world(REPLICAS, DAEMONS)
for i = 1, REPLICAS do w:faults(i, FAULTS) end
w:wait_joined()
local crashes = w:watch_crashes(FAULTS, 600)

local refused, harmless = 0, {asked = 0, served = 0}
for round = 1, ROUNDS do
  local daemon = w.daemons[round % DAEMONS + 1]
  local streams = {}
  for i = 1, 6 do
    streams[i] = words.begin(w.daemons[i % DAEMONS + 1], "/stream/a",
      {body = "sound " .. round .. "." .. i})
  end
  run.sleep(20)
  local answer = words.call(daemon, "/stream/a", {body = "poison"})
  lib.check(answer.status ~= 200 and answer.status < 600 and
    (answer.status == 0 or answer.status >= 500),
    "a request that crashes its endpoint: %d", answer.status)
  if answer.status == 503 then refused = refused + 1 end
  for _, stream in ipairs(streams) do
    local body = stream:finish().body
    harmless.asked = harmless.asked + 1
    if words.whole(body, 20) then harmless.served = harmless.served + 1 end
  end
  -- A request that completes at once, at any endpoint.
  local other = words.call(daemon, "/open/a", {key = false, body = "other"})
  harmless.asked = harmless.asked + 1
  if other.status == 200 then harmless.served = harmless.served + 1 end
  crashes.look()
  run.sleep(100)
end
lib.say("ended=%d refused=%d sound=%d/%d", crashes.ended, refused, harmless.served,
  harmless.asked)
lib.check(crashes.ended <= CRASHES + SENDS_MORE,
  "%d endpoints crashed by one request", crashes.ended)
lib.check(refused > ROUNDS / 2, "refused %d times of %d", refused, ROUNDS)
lib.check(harmless.served >= 0.9 * harmless.asked, "%d of %d other requests served",
  harmless.served, harmless.asked)
lib.say("ok")
