-- Slopes for docs/CAPACITY.md, with the default settings of a daemon:
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

-- Processor time, memory and traffic of one daemon that only does control.
local function control(c, label)
  local d = c.daemons[2] or c.daemons[1]
  local function snapshot()
    local cpu, resident = lib.usage(d)
    return {cpu = cpu, resident = resident, http = http_bytes(d),
      peer = c:counter(d, "peer_bytes_sent"),
      sent = c:counter(d, "peer_sent"), store = c:counter(d, "store_calls")}
  end
  local a = snapshot()
  run.sleep(WINDOW * 1000)
  local b = snapshot()
  lib.say("%s: cpu %.2f %% of a core, RSS %.1f MB, peers %.1f messages/s " ..
    "%.0f B/s sent, HTTP %.0f B/s both ways, store %.1f calls/s", label,
    (b.cpu - a.cpu) / WINDOW / 10, b.resident / 1024,
    (b.sent - a.sent) / WINDOW, (b.peer - a.peer) / WINDOW,
    (b.http - a.http) / WINDOW, (b.store - a.store) / WINDOW)
end

-- From the confirmation until the last daemon holds it.
local function spread(c)
  local times = {}
  for i = 1, 5 do
    local plan = c:plan({{set = "place", name = "p" .. i,
      value = {region = "r"}}})
    local started = run.now()
    local answer = c:confirm(plan)
    lib.equal(answer.status, 200, "confirm")
    lib.wait_until("the change in force everywhere", function()
      local status = c:status()
      return status.in_force == status.members and
        status.held >= answer.json.revision
    end, 60000)
    times[i] = run.now() - started
  end
  table.sort(times)
  lib.say("  a change in force everywhere: median %d ms, worst of 5 %d ms",
    times[3], times[5])
end

local function by_daemons(count)
  local c = lib.standard({places = places(count), settings = DEFAULTS})
  control(c, count .. " daemons")
  spread(c)
  for _, d in pairs(c.daemons) do d:signal("KILL") end
end

local function by_endpoints(count)
  local c = lib.standard({places = places(3), settings = DEFAULTS})
  -- One engine answers at every address of its network.
  local all = lib.spawn("standin-engine", {"--listen", "0.0.0.0:8100"}, {},
    "many.log")
  run.sleep(300)
  lib.http("POST", network .. "200:8100", "/orders",
    {body = {op = "load", version = "linen-lm@1", fence = 1}})
  local vms = {}
  for i = 1, count do
    vms[i] = {address = network .. (1 + i) .. ":8100", kind = "engine",
      place = "vantaa-hall", state = "live"}
  end
  lib.http("PUT", c.vmlist.address, "/vms", {body = {vms = vms}})
  run.sleep(3000)
  control(c, count .. " endpoints")
  all:signal("KILL")
  for _, d in pairs(c.daemons) do d:signal("KILL") end
end

local function by_organisations(count)
  local c = lib.standard({places = places(3), settings = DEFAULTS})
  local changes = {}
  for i = 1, count do
    changes[#changes + 1] = {set = "organisation", name = "o" .. i, value = {
      class = "high", places = {"vantaa-hall"}, allow = {"linen-lm@*"},
      keys = {lib.OPERATOR_HASH:sub(1, 56) .. string.format("%08d", i)}}}
    if #changes == 1000 or i == count then
      c:change(changes)
      changes = {}
    end
  end
  control(c, count .. " organisations")
  spread(c)
  for _, d in pairs(c.daemons) do d:signal("KILL") end
end

local by = {daemons = by_daemons, endpoints = by_endpoints,
  organisations = by_organisations}
for i = 2, #arguments do by[arguments[1]](tonumber(arguments[i])) end
