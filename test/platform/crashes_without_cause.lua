-- Endpoints crash one after the other for unrelated reasons, while the same
-- requests are sent again and again, some of which share popular parts of their
-- prompts and some parts that are new. Guards against quarantining one of these.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local REPLICAS, DAEMONS, ROUNDS = 6, 3, 14
local FAULTS = {pause_ms = 10, events = 20}
local w = words.world(REPLICAS, DAEMONS)
for i = 1, REPLICAS do w:faults(i, FAULTS) end

local asked, served, status = 0, 0, {}
for round = 1, ROUNDS do
  local streams = {}
  for i = 1, 12 do
    streams[i] = words.begin(w.daemons[i % DAEMONS + 1], "/stream/a",
      {body = "popular " .. i % 4,
        headers = words.prompt(i % 3 == 0 and 16 + round // 3 or i % 2, i % 4)})
  end
  run.sleep(60)
  local crashed = round % REPLICAS + 1
  w.replicas[crashed]:kill()
  for _, stream in ipairs(streams) do
    local answer = stream:finish()
    asked = asked + 1
    status[answer.status] = (status[answer.status] or 0) + 1
    if words.whole(answer.body, 20) then served = served + 1 end
  end
  w:revive(crashed, FAULTS)
  -- Until the new entry is read, the address is considered that of the process
  -- that ended.
  run.sleep(700)
end
local crashes, refused = 0, 0
for _, daemon in ipairs(w.daemons) do
  crashes = crashes + words.metric(daemon, "crashes_total")
  refused = refused + words.metric(daemon, "quarantined")
end
lib.say("asked=%d served=%d crashes=%d", asked, served, crashes)
lib.check(crashes >= ROUNDS / 2, "only %d crashes were detected", crashes)
lib.equal(refused, 0, "requests refused")
lib.equal(status[503], nil, "refusals")
lib.check(served >= 0.97 * asked, "%d of %d served", served, asked)
lib.say("ok")
