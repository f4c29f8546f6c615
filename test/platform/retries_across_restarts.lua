-- All daemons are killed and start again several times while every response of a
-- service is an error. Guards against retries beyond the budget of all daemons, as
-- none of them knows what was spent before its start.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS, REPLICAS, LIVES, CALLS = 3, 3, 4, 12
local RATIO, FIXED, WINDOW_MS = 0.9, 60, 10000
local w = words.world(REPLICAS, DAEMONS)
for i = 1, REPLICAS do w:faults(i, {fail = true}) end

local sent = {}
for life = 1, LIVES do
  local calls = {}
  for _ = 1, CALLS do
    for i = 1, DAEMONS do
      sent[#sent + 1] = run.now()
      calls[#calls + 1] = words.begin(w.daemons[i], "/scan/a",
        {method = "GET"})
    end
  end
  for _, call in ipairs(calls) do call:finish() end
  if life < LIVES then
    for i = 1, DAEMONS do w.daemons[i]:kill() end
    for i = 1, DAEMONS do w:daemon(i) end
    for i = 1, DAEMONS do words.wait_ready(w.daemons[i]) end
  end
end

local arrivals, seen, repeats = {}, {}, {}
for i = 1, REPLICAS do
  for _, arrival in ipairs(lib.http("GET", w.replicas[i].address,
      "/arrivals").json.arrivals) do
    arrivals[#arrivals + 1] = arrival
  end
end
table.sort(arrivals, function(a, b) return a[1] < b[1] end)
for _, arrival in ipairs(arrivals) do
  if seen[arrival[2]] then repeats[#repeats + 1] = arrival[1] end
  seen[arrival[2]] = true
end

local function count(times, after, till)
  local n = 0
  for _, t in ipairs(times) do if t > after and t <= till then n = n + 1 end end
  return n
end

lib.check(#repeats > 0.5 * #sent, "only %d retries of %d requests", #repeats,
  #sent)
for _, till in ipairs(repeats) do
  local requests = 0
  for shift = 0, 2 do
    local to = till - shift * WINDOW_MS / 2
    requests = math.max(requests, count(sent, to - WINDOW_MS, to))
  end
  local made = count(repeats, till - WINDOW_MS, till)
  lib.check(made <= RATIO * requests + FIXED,
    "%d retries in %d ms for %d requests", made, WINDOW_MS, requests)
end
lib.say("requests=%d retries=%d in %d ms", #sent, #repeats,
  arrivals[#arrivals][1] - sent[1])
lib.say("ok")
