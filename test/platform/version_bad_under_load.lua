-- Guards against completing the roll-out of a version that fails from half of an
-- endpoint's slots on, while no endpoint has so many in use.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS, REPLICAS, SLOTS = 4, 5, 32
local DURATION_S = 16
-- Of the requests in the order's time, a bad version may get this share and this
-- many more.
local SHARE_MAX, TOLERANCE = 0.15, 30
local PAUSE_MS = 100
local w = words.world(REPLICAS, DAEMONS, nil,
  {extra_settings = "bounds.canary_share=" .. SHARE_MAX .. "\n"})
w:wait_joined()
w.slots = SLOTS
for i = 1, REPLICAS do w:replica(i) end

local function version(first, name, fail_from)
  for i = first, first + REPLICAS - 1 do
    w:replica(i, name)
    w:faults(i, {events = 70, pause_ms = 20, slots = SLOTS,
      fail_from = fail_from})
  end
end
for i = 1, REPLICAS do
  w:faults(i, {events = 70, pause_ms = 20, slots = SLOTS})
end

local function runs(first)
  local count = 0
  for i = first, first + REPLICAS - 1 do count = count + #w:runs(i) end
  return count
end

local n, sessions = 0, 0
-- Streams to all daemons, each of a session of three.
-- @param state of the roll-out that ends it earlier; optional
local function load(ms, state)
  local calls = {}
  local finish = run.now() + ms
  while run.now() < finish and not (state and words.status(w, state)) do
    for i = 1, DAEMONS do
      n = n + 1
      if n % 3 == 1 then sessions = sessions + 1 end
      calls[#calls + 1] = words.begin(w.daemons[i], "/stream/a",
        {headers = {["Session"] = "session-" .. sessions}})
    end
    run.sleep(PAUSE_MS)
  end
  return words.tally(calls)
end

local function order(to)
  w:put("op", "rollout/lm", {service = "lm", to = to, duration_s = DURATION_S})
end

version(REPLICAS + 1, "v2", SLOTS // 2)
load(3000)
local before = runs(1)
order("v2")
local counts = load(DURATION_S * 1000, "reverted")
local bad = runs(REPLICAS + 1)
local all = runs(1) - before + bad
lib.say("bad version: %d of %d requests, served %d, refused %d, other %d", bad,
  all, counts.served, counts.refused, counts.other)
lib.check(words.status(w, "reverted"), "the bad version was not reverted")
lib.check(bad <= SHARE_MAX * all + TOLERANCE,
  "the bad version got %d of %d requests", bad, all)
lib.equal(counts.refused + counts.other, 0, "not served")

for i = REPLICAS + 1, 2 * REPLICAS do w:put("servers", w.replicas[i].id, nil) end
version(2 * REPLICAS + 1, "v3")
order("v3")
counts = load(DURATION_S * 1000, "completed")
lib.check(words.status(w, "completed"), "the good version is not completed")
lib.equal(counts.refused + counts.other, 0, "not served beside a good version")
lib.say("ok")
