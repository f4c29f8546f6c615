-- Orders of capacity. Preemptible replicas are ordered first, and regular ones
-- are given up once these are there. An order that is refused, or whose response
-- is lost, is repeated by whichever daemon is responsible then.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS, REPLICAS, REGULAR_LEFT = 3, 5, 1
local w = words.world(REPLICAS, DAEMONS, nil, {with_duties = true,
  scaling = {min_replicas = 1, max_replicas = 12, boot_s = 0.5,
    spot_price = 0.2, zone_prices = {a = 1.0}}})

-- The number of replicas that was ordered last; nil: none was.
local function ordered(preemptible)
  local number
  for _, call in ipairs(lib.http("GET", w.duties.address, "/calls").json) do
    local body = call.body
    if call.path == "/scale" and (body.preemptible or false) == preemptible then
      lib.equal(body.service, "lm", "service")
      lib.equal(body.zone, "a", "zone")
      number = body.desired_count
    end
  end
  return number
end

local function wait_ordered(preemptible, number, what)
  lib.wait_until(what, function() return ordered(preemptible) == number end)
end

wait_ordered(true, REPLICAS - REGULAR_LEFT, "preemptible replicas are ordered")
lib.equal(ordered(false), nil, "order of regular replicas")

-- The responses are lost while the ordered replicas appear.
lib.fault(w.duties.address, {status = 409})
for i = REPLICAS + 1, 2 * REPLICAS - REGULAR_LEFT do
  w.preemptible = true
  w:replica(i)
end
run.sleep(4000)
lib.equal(ordered(false), nil, "order of regular replicas")
lib.fault(w.duties.address, {})
w:reader():kill()
wait_ordered(false, REGULAR_LEFT, "regular replicas are given up")
lib.equal(ordered(true), REPLICAS - REGULAR_LEFT, "preemptible replicas")
lib.say("ok")
