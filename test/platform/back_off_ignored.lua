-- Guards against sending requests to an endpoint in the time for which it wants
-- none of this daemon, and against refusing what others could serve.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS, REPLICAS, NEAR = 2, 4, 2
local BACK_OFF_MS = 3000
-- From this long after the refusal on, two requests are allowed.
local GRACE_MS, ALLOWED = 500, 2
local w = words.world(REPLICAS, DAEMONS)
w:wait_joined()
-- The endpoints that refuse are in the zone of the daemons, which prefer them.
for i = NEAR + 1, REPLICAS do w:set_zone(i, "b") end
run.sleep(1500)

local n, senders = 0, {}
-- Sends requests of all kinds to all daemons for a time, and counts responses.
local function send_load(ms)
  local calls = {}
  local finish = run.now() + ms
  while run.now() < finish do
    for i = 1, DAEMONS do
      n = n + 1
      local path = ({"/stream/a", "/scan/a", "/book/a"})[n % 3 + 1]
      local call = words.begin(w.daemons[i], path,
        {headers = path == "/stream/a" and words.prompt(n, n) or {}})
      senders[call.id] = i
      calls[#calls + 1] = call
    end
    run.sleep(30)
  end
  return words.tally(calls)
end

-- The most requests of one daemon that reached a replica within a back-off that it
-- had asked for.
local function most_in_back_off(i)
  local most, first, count = 0, {}, {}
  for _, arrival in ipairs(lib.http("GET", w.replicas[i].address,
      "/arrivals").json.arrivals) do
    local daemon, time = senders[arrival[2]], arrival[1]
    if daemon and (not first[daemon] or
        time > first[daemon] + BACK_OFF_MS) then
      first[daemon], count[daemon] = time, 0
    elseif daemon and time > first[daemon] + GRACE_MS then
      count[daemon] = count[daemon] + 1
      most = math.max(most, count[daemon])
    end
  end
  return most
end

local function check_back_offs(first, last)
  for i = first, last do
    local most = most_in_back_off(i)
    lib.say("replica %d: %d requests in a back-off, %d are allowed", i, most,
      ALLOWED)
    lib.check(most <= ALLOWED, "%d requests of one daemon in a back-off of " ..
      "replica %d, %d allowed", most, i, ALLOWED)
  end
end

local function wait_known(count)
  lib.wait_until("the daemons know the back-offs", function()
    send_load(60)
    return w:all_show("endpoints_backing_off", count)
  end)
end

local refusing = {shed = true, events = 3,
  retry_after = tostring(BACK_OFF_MS / 1000)}
for i = 1, NEAR do w:faults(i, refusing) end
for i = NEAR + 1, REPLICAS do w:faults(i, {events = 3}) end
-- A request that two endpoints refuse may have no attempt left: the others serve
-- all once the back-offs are known.
wait_known(NEAR)
local counts = send_load(1500)
lib.equal(counts.refused + counts.other, 0, "not served by the other endpoints")
send_load(4000)
check_back_offs(1, NEAR)

-- All endpoints want nothing: requests are refused with the time to come back,
-- which is the end of the first back-off. All begin anew.
for i = NEAR + 1, REPLICAS do w:faults(i, refusing) end
run.sleep(BACK_OFF_MS + 100)
local begun = run.now()
wait_known(REPLICAS)
counts = send_load(60)
local left_ms = begun + BACK_OFF_MS - run.now()
lib.equal(counts.served + counts.other, 0, "not refused in a back-off")
for _, back_s in ipairs(counts.back_s) do
  lib.check(back_s * 1000 >= left_ms and back_s < BACK_OFF_MS / 1000 + 0.2,
    "Retry-After: %s s, %d ms are left", back_s, left_ms)
end

-- Once the back-offs are over, requests are served again.
for i = 1, REPLICAS do w:faults(i, {events = 3}) end
run.sleep(BACK_OFF_MS + 100)
counts = send_load(500)
lib.equal(counts.refused + counts.other, 0, "not served after the back-offs")
lib.say("ok")
