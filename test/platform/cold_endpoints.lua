-- Cold endpoints crash under too many requests a second from all daemons
-- together. Guards against exceeding that limit while one endpoint is cold, when
-- others take the load, and while all are cold, when requests beyond it are
-- refused with a Retry-After.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS, REPLICAS = 11, 4
local COLD_MS = 4000
local SUBJECTS = 16
-- LIMIT is PER_S with an overshoot of 1.5 and a tolerance of 5.
local PER_S, LIMIT = 8, 17
local w = words.world(REPLICAS, DAEMONS, 5,
  {warmup_s = COLD_MS / 1000, warmup_per_s = PER_S})
lib.wait_until("the daemons know of each other", function()
  return w:all_show("entries", DAEMONS)
end)

local function cold_peak(i)
  return lib.http("GET", w.replicas[i].address, "/runs").json.cold_peak
end

-- Send requests with shared prompt prefixes to all daemons for a time, and count the
-- responses. With several prefixes each endpoint is preferred for some.
local function send_load(ms)
  local calls = {}
  local finish, n = run.now() + ms, 0
  while run.now() < finish do
    for i = 1, DAEMONS do
      n = n + 1
      calls[#calls + 1] = words.begin(w.daemons[i], "/stream/a",
        {headers = words.prompt(n % SUBJECTS, n)})
    end
    run.sleep(60)
  end
  return words.tally(calls)
end

local function wait_cold_known(count)
  lib.wait_until("the daemons know the cold endpoints", function()
    for _, daemon in ipairs(w.daemons) do
      if words.metric(daemon, "endpoints_cold") < count then return false end
    end
    return true
  end)
end

for i = 1, REPLICAS do w:faults(i, {events = 3}) end
send_load(500)
-- One endpoint is cold.
w:make_cold(1, COLD_MS, LIMIT)
wait_cold_known(1)
local one_cold = send_load(2500)
lib.say("one cold: peak %d, served %d, refused %d, other %d", cold_peak(1),
  one_cold.served, one_cold.refused, one_cold.other)
lib.equal(one_cold.refused + one_cold.other, 0, "not served while one is cold")
lib.check(cold_peak(1) > 0, "the cold endpoint gets no requests")

-- All endpoints are cold.
run.sleep(COLD_MS)
w:make_warm(1)
-- Longer than the interval at which entries are read.
run.sleep(1500)
for i = 1, REPLICAS do w:make_cold(i, COLD_MS, LIMIT) end
wait_cold_known(REPLICAS)
local all_cold = send_load(2500)
lib.say("all cold: peak %d, served %d, refused %d, other %d", cold_peak(1),
  all_cold.served, all_cold.refused, all_cold.other)
lib.equal(all_cold.other, 0, "neither served nor refused while all are cold")
-- At least half of the quota has to be used.
lib.check(all_cold.served >= REPLICAS * PER_S * 2.5 / 2,
  "%d served while all are cold", all_cold.served)
for i = 1, REPLICAS do
  lib.check(cold_peak(i) <= LIMIT, "%d requests in a second at replica %d",
    cold_peak(i), i)
end
lib.say("ok")
