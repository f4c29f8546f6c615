-- All daemons are killed, roll-outs are ordered while they are down, and the new
-- versions start before them. Guards against taking a new version for the one that
-- it replaces, when there are as many or more endpoints of it and no state of the
-- roll-out was written.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS = 2
-- Endpoints of the old and of the new version by service.
local SERVICES = {{1, 1}, {1, 1}, {1, 1}, {1, 2}, {1, 2}, {0, 1}}
local LATE = #SERVICES -- its old endpoint's entry comes back later
local DURATION_S = 600
-- The trial of a new version starts 2 s after the order is read.
local OBSERVED_MS = 1200
local w = words.world(1, DAEMONS)

local function name(s) return "service-" .. s end

local routes, services = {}, {}
for s = 1, #SERVICES do
  services[s] = {name = name(s), max_conns = 400}
  routes[s] = {name = name(s), host = "a.example",
    prefix = "/" .. name(s) .. "/", type = "unsafe", service = name(s),
    max_attempts = 1, timeout_ms = 8000, slo_ms = 1000, priority = 1}
end
w.version = w.version + 3
w:put("op", "config", {version = w.version, routes = routes,
  services = services, tenants = {{name = "t1", api_keys = {"k1"}}}})

local count, versions = 1, {}
local function add(s, version)
  count = count + 1
  w.service = name(s)
  w:replica(count, version).service = w.service
  versions[s] = versions[s] or {v1 = {}, v2 = {}}
  table.insert(versions[s][version], count)
end
for s, numbers in ipairs(SERVICES) do
  for _ = 1, numbers[1] do add(s, "v1") end
end
add(LATE, "v1")
for s = 1, #SERVICES do
  lib.wait_until("the old version is served", function()
    for _, daemon in ipairs(w.daemons) do
      if words.call(daemon, routes[s].prefix .. "a").status ~= 200 then
        return false
      end
    end
    return true
  end)
end

for _, daemon in ipairs(w.daemons) do daemon:kill() end
for s = 1, #SERVICES do
  w:put("op", "rollout/" .. name(s), {service = name(s), to = "v2",
    duration_s = DURATION_S})
end
for s, numbers in ipairs(SERVICES) do
  for _ = 1, numbers[2] do add(s, "v2") end
end
local late = versions[LATE].v1[1]
w:put("servers", w.replicas[late].id, nil)
for i = 1, DAEMONS do w:daemon(i) end
for i = 1, DAEMONS do words.wait_ready(w.daemons[i]) end
local started = run.now()

local function runs(s, version)
  local sum = 0
  for _, i in ipairs(versions[s][version]) do sum = sum + #w:runs(i) end
  return sum
end

while run.now() - started < OBSERVED_MS do
  for _, daemon in ipairs(w.daemons) do
    for s = 1, #SERVICES do
      local status = words.call(daemon, routes[s].prefix .. "a").status
      if s < LATE then
        lib.equal(status, 200, name(s))
      else
        lib.equal(status, 503, name(s) .. ", of which the old one is missing")
      end
    end
  end
end
for s = 1, #SERVICES do
  lib.equal(runs(s, "v2"), 0, "requests of the new version of " .. name(s))
end

-- The entry comes back: the old version is served.
w:replica(late, "v1")
lib.wait_until("it is served again", function()
  for _, daemon in ipairs(w.daemons) do
    if words.call(daemon, routes[LATE].prefix .. "a").status ~= 200 then
      return false
    end
  end
  return true
end)

-- It is gone for good: the new version is better than none.
w:put("servers", w.replicas[late].id, nil)
lib.wait_until("the only version is served", function()
  for _, daemon in ipairs(w.daemons) do
    words.call(daemon, routes[LATE].prefix .. "a")
  end
  return runs(LATE, "v2") > 0
end, 15000)
lib.say("ok")
