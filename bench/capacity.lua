-- Growth of a daemon's resource use for docs/CAPACITY.md, with the default
-- settings:
--   runner BUILD bench/capacity.lua daemons 3 9 18 36
--   runner BUILD bench/capacity.lua endpoints 10 50 100 200
--   runner BUILD bench/capacity.lua organisations 10 100 1000
package.path = script_dir .. "/../test/scenario/?.lua;" .. package.path
local lib = require("lib")
local DEFAULTS = {["head-ms"] = 2000, ["heartbeat-ms"] = 1000,
  ["fresh-ms"] = 8000, ["dead-ms"] = 15000, ["list-ms"] = 2000,
  ["load-ms"] = 400, ["load-reads"] = 1, ["flush-ms"] = 1000, ["held-ms"] = 15000,
  ["store-timeout-ms"] = 1000}
lib.LIMIT = 60000
local WINDOW = 10
local PLACES = {"vantaa-hall", "espoo-depot", "halle-nord"}

local function places(count)
  local list = {}
  for i = 1, count do list[i] = PLACES[i % 3 + 1] end
  return list
end

local function http_bytes(process)
  local total = 0
  for line in io.lines("/proc/" .. process.pid .. "/io") do
    local value = line:match("^[rw]char: (%d+)")
    if value then total = total + tonumber(value) end
  end
  return total
end

-- Processor time, memory and traffic of one daemon that serves no requests.
local function control_measure(cluster, label)
  local daemon = cluster.daemons[2] or cluster.daemons[1]
  local function snapshot()
    local cpu, resident = lib.usage(daemon)
    return {cpu = cpu, resident = resident, http = http_bytes(daemon),
      peer = cluster:counter(daemon, "peer_bytes_sent"),
      sent = cluster:counter(daemon, "peer_sent"),
      store = cluster:counter(daemon, "store_calls")}
  end
  local before = snapshot()
  run.sleep(WINDOW * 1000)
  local after = snapshot()
  lib.say("%s: cpu %.2f %% of a core, RSS %.1f MB, peers %.1f messages/s " ..
    "%.0f B/s sent, HTTP %.0f B/s both ways, store %.1f calls/s", label,
    (after.cpu - before.cpu) / WINDOW / 10, after.resident / 1024,
    (after.sent - before.sent) / WINDOW, (after.peer - before.peer) / WINDOW,
    (after.http - before.http) / WINDOW, (after.store - before.store) / WINDOW)
end

-- Time from the confirmation of a change until it is in force at every daemon.
local function change_spread_measure(cluster)
  local times = {}
  for i = 1, 5 do
    local plan = cluster:plan({{set = "place", name = "p" .. i,
      value = {region = "r"}}})
    local started = run.now()
    local response = cluster:confirm(plan)
    lib.equal(response.status, 200, "confirm")
    lib.wait_until("the change in force everywhere", function()
      local status = cluster:status()
      return status.in_force == status.members and
        status.held >= response.json.revision
    end, 60000)
    times[i] = run.now() - started
  end
  table.sort(times)
  lib.say("  a change in force everywhere: median %d ms, worst of 5 %d ms",
    times[3], times[5])
end

local function daemons_measure(count)
  local cluster = lib.standard({places = places(count), settings = DEFAULTS})
  control_measure(cluster, count .. " daemons")
  change_spread_measure(cluster)
  for _, daemon in pairs(cluster.daemons) do daemon:signal("KILL") end
end

local function endpoints_measure(count)
  local cluster = lib.standard({places = places(3), settings = DEFAULTS})
  -- One engine listens on every address of the network.
  local engine = lib.spawn("standin-engine", {"--listen", "0.0.0.0:8100"}, {},
    "many.log")
  run.sleep(300)
  lib.http("POST", network .. "200:8100", "/orders",
    {body = {op = "load", version = "linen-lm@1", fence = 1}})
  local vms = {}
  for i = 1, count do
    vms[i] = {address = network .. (1 + i) .. ":8100", kind = "engine",
      place = "vantaa-hall", state = "live"}
  end
  lib.http("PUT", cluster.vmlist.address, "/vms", {body = {vms = vms}})
  run.sleep(3000)
  control_measure(cluster, count .. " endpoints")
  engine:signal("KILL")
  for _, daemon in pairs(cluster.daemons) do daemon:signal("KILL") end
end

local function organisations_measure(count)
  local cluster = lib.standard({places = places(3), settings = DEFAULTS})
  local changes = {}
  for i = 1, count do
    changes[#changes + 1] = {set = "organisation", name = "o" .. i, value = {
      class = "high", places = {"vantaa-hall"}, allow = {"linen-lm@*"},
      keys = {lib.OPERATOR_HASH:sub(1, 56) .. string.format("%08d", i)}}}
    if #changes == 1000 or i == count then
      cluster:change(changes)
      changes = {}
    end
  end
  control_measure(cluster, count .. " organisations")
  change_spread_measure(cluster)
  for _, daemon in pairs(cluster.daemons) do daemon:signal("KILL") end
end

local measurements = {daemons = daemons_measure, endpoints = endpoints_measure,
  organisations = organisations_measure}
for i = 2, #arguments do measurements[arguments[1]](tonumber(arguments[i])) end
