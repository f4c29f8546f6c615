-- Guards against sending an endpoint more than the rate limit that it names in
-- its responses, all daemons together.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS, REPLICAS = 7, 4
local PER_S = 1.9
-- The bound of the rule: one and a half times the limit, and five requests.
local SPAN_MS = 4000
local ALLOWED = math.floor(1.5 * PER_S * SPAN_MS / 1000 + 5)
local w = words.world(REPLICAS, DAEMONS)
w:wait_joined()

local n = 0
-- Sends requests of all kinds to all daemons for a time, and counts responses.
local function send_load(ms)
  local calls = {}
  local finish = run.now() + ms
  while run.now() < finish do
    for i = 1, DAEMONS do
      n = n + 1
      local path = ({"/stream/a", "/scan/a", "/book/a"})[n % 3 + 1]
      calls[#calls + 1] = words.begin(w.daemons[i], path,
        {headers = path == "/stream/a" and words.prompt(1, n) or {}})
    end
    run.sleep(60)
  end
  return words.tally(calls)
end

local function wait_limited(count)
  lib.wait_until("the daemons know the rate limits", function()
    send_load(50)
    return w:all_show("endpoints_rate_limited", count)
  end, 30000)
  run.sleep(500)
end

local function check_peak(i, from)
  local peak = w:arrivals_peak(i, SPAN_MS, from, run.now())
  lib.say("replica %d: %d requests in %d ms, %d are allowed", i, peak, SPAN_MS,
    ALLOWED)
  lib.check(peak <= ALLOWED, "%d requests in %d ms at replica %d, %d allowed",
    peak, SPAN_MS, i, ALLOWED)
end

local function escalations()
  local count = 0
  for _, daemon in ipairs(w.daemons) do
    count = count + words.metric(daemon, "escalated_total")
  end
  return count
end

-- One endpoint names a limit: the others serve what it does not. Responses of the
-- small model are discarded, so larger models are asked as well.
for i = 1, REPLICAS do w:faults(i, {events = 3, confidence_small = 5}) end
send_load(500)
w:faults(1, {events = 3, confidence_small = 5, limit = tostring(PER_S)})
wait_limited(1)
local from = run.now()
local counts = send_load(6000)
lib.equal(counts.refused + counts.other, 0, "not served while one is limited")
check_peak(1, from)
lib.check(escalations() > 0, "no response is discarded")
lib.check(w:arrivals_peak(1, SPAN_MS, from, run.now()) > 0,
  "the limited endpoint gets no requests")

-- All name one: the rest is refused, with the time to come back. No response is
-- discarded for one of a larger model, which would take a share.
for i = 1, REPLICAS do
  w:faults(i, {events = 3, confidence_small = 5, limit = tostring(PER_S)})
end
wait_limited(REPLICAS)
-- Until the retry budget, of a window of 10 s, allows larger models again.
run.sleep(10500)
from = run.now()
local escalated = escalations()
counts = send_load(6000)
lib.equal(escalations(), escalated, "responses discarded with all limited")
lib.say("all limited: served %d, refused %d", counts.served, counts.refused)
lib.equal(counts.other, 0, "neither served nor refused")
for i = 1, REPLICAS do check_peak(i, from) end
-- Half of the limits has to be used.
lib.check(counts.served >= REPLICAS * PER_S * 6 / 2, "%d served", counts.served)

-- The limits are over.
for i = 1, REPLICAS do w:faults(i, {events = 3}) end
wait_limited(0)
counts = send_load(1000)
lib.equal(counts.refused + counts.other, 0, "not served without limits")
lib.say("ok")
