-- Guards against completing the roll-out of a version whose plain responses take
-- several times as long, less than counts as a late first byte.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS, REPLICAS = 3, 4
local WORK_MS, SLOW_MS = 40, 200
local DURATION_S = 12
local w = words.world(REPLICAS, DAEMONS)
w:wait_joined()

local function traffic(ms, ended)
  local finish = run.now() + ms
  while run.now() < finish do
    for i = 1, DAEMONS do
      words.begin(w.daemons[i], "/book/1")
      words.begin(w.daemons[i], "/scan/1")
    end
    run.sleep(100)
    if ended and (words.status(w, "completed") or
        words.status(w, "reverted")) then return end
  end
end

local function order(first, to, work_ms)
  for i = first, first + REPLICAS - 1 do
    w:replica(i, to)
    w:faults(i, {work_ms = work_ms, slots = 32})
  end
  w:put("op", "rollout/lm", {service = "lm", to = to, duration_s = DURATION_S})
  run.sleep(500)
  traffic(DURATION_S * 1000, true)
end

for i = 1, REPLICAS do w:faults(i, {work_ms = WORK_MS, slots = 32}) end
traffic(2000)
order(REPLICAS + 1, "v2", SLOW_MS)
lib.check(words.status(w, "reverted"), "the slow version was not reverted")
for i = REPLICAS + 1, 2 * REPLICAS do w:put("servers", w.replicas[i].id, nil) end
order(2 * REPLICAS + 1, "v3", WORK_MS)
lib.check(words.status(w, "completed"), "the good version is not completed")
lib.say("ok")
