-- Random faults under traffic, then a time without faults, then checks on all
-- completed calls: requests that may run once ran at most once, those refused as
-- not run did not run, streams that ended with status 200 are complete, and every
-- path is served again. The seed decides the faults, which daemons and replicas
-- they affect, their order and their duration, but not what the traffic does
-- meanwhile.
--
--   runner BUILD soak/soak.lua, with SOAK_SEED and SOAK_SECONDS; SOAK_CROWDS=1: with
--   crowds, on small VMs
package.path = script_dir .. "/../test/platform/?.lua;" .. package.path
local root = script_dir
script_dir = root .. "/../test/platform"
package.path = root .. "/?.lua;" .. package.path
local words = require("words")
local notices = require("notices")
local lib = words.lib
local crowds = os.getenv("SOAK_CROWDS") and require("crowds")
local seed = tonumber(os.getenv("SOAK_SEED") or "1")
local seconds = tonumber(os.getenv("SOAK_SECONDS") or "30")
math.randomseed(seed)

local DAEMONS, REPLICAS, CALLS_MAX = 4, 4, 6
local FAULT_INTERVAL_MS = {200, 900} -- bounds of the time between faults
local ACTIVE_FAULTS_MAX = 2 -- when the next one starts
local world = words.world(REPLICAS, 0, nil, {own_sources = true,
  extra_settings = crowds and crowds.settings})
for i = 1, REPLICAS do world:link(i) end
for i = 1, DAEMONS do world:store_link(i) end
for i = 1, DAEMONS do world:daemon(i) end
for i = 1, DAEMONS do words.wait_ready(world.daemons[i]) end
local calls = {} -- in flight
local completed = {} -- calls that completed
local stopped = {} -- daemons that are frozen, down or terminating
local down_since = {} -- by daemon that was killed: since when
local disturbed = {} -- by daemon: when a fault last affected it
local store_disturbed = run.now()
for i = 1, DAEMONS do disturbed[i] = run.now() end

local function pick(list)
  return list[math.random(#list)]
end

-- Faults. Each returns a function that ends it, if it has to be ended. --------

local leaving = {} -- by replica: whether it is draining
local long_down -- the daemon that is down for longer than LISTED_MS
local step -- runs the traffic for a few milliseconds
local connections = {} -- by daemon: socket, when a request was sent, text received

local function connection_close(i)
  if connections[i] then run.hang_up(connections[i].socket) end
  connections[i] = nil
end

local noticed = {} -- by replica: faults that last while others come and go

local function noticed_with(i, faults)
  for name, value in pairs(noticed[i] or {}) do faults[name] = value end
  return faults
end

local function replica_fault(i, faults)
  world:faults(i, noticed_with(i, faults))
  return function() world:faults(i, noticed_with(i, {})) end
end

-- Begins a notice of a replica, or ends it if there is one.
-- @return whether it begins
local function notice_toggle(i, name, value)
  noticed[i] = noticed[i] or {}
  if noticed[i][name] then value = nil end
  noticed[i][name] = value
  world:faults(i, noticed_with(i, {}))
  return value ~= nil
end

local function store_fault(faults, restore)
  lib.fault(world.store.address, faults)
  store_disturbed = run.now()
  return function()
    store_disturbed = run.now()
    lib.fault(world.store.address, restore)
  end
end

-- The link between one daemon and the store.
local function link_fault(i, faults, restore)
  world:store_fault(i, faults)
  disturbed[i] = run.now()
  return restore and function()
    disturbed[i] = run.now()
    world:store_fault(i, restore)
  end
end

local function daemon_kill(i)
  stopped[i] = true
  down_since[i] = run.now()
  connection_close(i)
  world.daemons[i]:kill()
end

local function daemon_start(i)
  stopped[i] = nil
  notices.excuse(i)
  down_since[i] = nil
  disturbed[i] = run.now()
  connection_close(i)
  world:daemon(i)
end

-- Replicas write to the store, so an outage is ended before they do.
local outage = false

local function outage_end()
  if outage then lib.fault(world.store.address, {down = false}) end
  if outage then store_disturbed = run.now() end
  outage = false
end

-- Links between a daemon and all replicas, by daemon: how they are cut.
local cut_links = {}

local function links_apply()
  for _, replica in ipairs(world.replicas) do
    local faults = {target = replica.address, lost = {}, lost_one_way = {},
      refused = {}}
    for i, how in pairs(cut_links) do
      table.insert(faults[how], network .. i)
    end
    lib.fault(replica.relay.address, faults)
  end
end

local function links_cut(i, how)
  cut_links[i] = how
  links_apply()
  return function()
    cut_links[i] = nil
    links_apply()
  end
end

local fault_kinds = {
  kill = function(fault)
    local i = fault.daemon
    if stopped[i] then return end
    daemon_kill(i)
    return function() daemon_start(i) end
  end,
  -- Down for longer than other daemons may list it, while other faults occur.
  lose = function(fault)
    local i = fault.daemon
    if stopped[i] or long_down then return end
    long_down = i
    daemon_kill(i)
  end,
  -- SIGHUP ends a process that has not executed its program yet, so the daemon must
  -- be listening.
  reload = function(fault)
    local i = fault.daemon
    if not stopped[i] and words.listens(world.daemons[i]) then
      world.daemons[i]:signal("HUP")
    end
  end,
  terminate = function(fault)
    local i = fault.daemon
    if stopped[i] then return end
    local terminated = world.daemons[i]
    terminated:signal("TERM")
    stopped[i] = true
    return function()
      while not run.reap(terminated.pid) do step() end
      daemon_start(i)
    end
  end,
  freeze = function(fault)
    local i = fault.daemon
    if stopped[i] then return end
    stopped[i] = true
    world.daemons[i]:stop()
    return function()
      world.daemons[i]:continue()
      notices.excuse(i)
      disturbed[i] = run.now()
      stopped[i] = nil
    end
  end,
  store_down = function()
    outage = true
    store_disturbed = run.now()
    lib.fault(world.store.address, {down = true})
    return outage_end
  end,
  store_slow = function()
    return store_fault({slow_ms = 150}, {slow_ms = 0})
  end,
  store_forgets = function()
    return store_fault({forget = true}, {forget = false})
  end,
  -- The store is restored from a copy that was made when the fault started, and the
  -- replicas write their rows again.
  store_restored = function()
    outage_end()
    lib.fault(world.store.address, {save = true})
    return function()
      outage_end()
      store_disturbed = run.now()
      lib.fault(world.store.address, {restore = true})
      for i = 1, REPLICAS do
        world:replica(i, "v1", leaving[i] and "draining" or nil)
      end
    end
  end,
  link_slow = function(fault)
    return link_fault(fault.daemon, {delay_ms = 300}, {delay_ms = 0})
  end,
  link_one_way = function(fault)
    return link_fault(fault.daemon, {one_way = true}, {one_way = false})
  end,
  link_silent = function(fault)
    return link_fault(fault.daemon, {silent = true})
  end,
  link_reset = function(fault)
    return link_fault(fault.daemon, {reset = true})
  end,
  cut = function(fault)
    return replica_fault(fault.replica, {cut_after = fault.events})
  end,
  half = function(fault)
    return replica_fault(fault.replica, {half_after = fault.events})
  end,
  unframed = function(fault)
    return replica_fault(fault.replica, {unframed = true})
  end,
  shed = function(fault) return replica_fault(fault.replica, {shed = true}) end,
  fail = function(fault) return replica_fault(fault.replica, {fail = true}) end,
  -- The limit and the drain notice last until they are drawn again.
  limit = function(fault)
    if notice_toggle(fault.replica, "limit", tostring(fault.events / 2)) then
      notices.limit_begins(fault.replica, fault.events / 2)
    end
  end,
  drain_notice = function(fault)
    local i = fault.replica
    outage_end()
    if notice_toggle(i, "leaving", "1") then return end
    -- It ends with another incarnation.
    world.replicas[i].born = (world.replicas[i].born or 1700000000000) + 1000
    notices.incarnation_begins(i)
    world:replica(i, "v1", leaving[i] and "draining" or nil)
  end,
  back_off = function(fault)
    return replica_fault(fault.replica, {shed = true, retry_after = "2"})
  end,
  links_lost = function(fault) return links_cut(fault.daemon, "lost") end,
  links_lost_one_way = function(fault)
    return links_cut(fault.daemon, "lost_one_way")
  end,
  links_refused = function(fault) return links_cut(fault.daemon, "refused") end,
  silent = function(fault)
    world:silence(fault.replica)
    links_apply()
  end,
  stray = function(fault) return replica_fault(fault.replica, {stray = true}) end,
  leave = function(fault)
    local i = fault.replica
    outage_end()
    leaving[i] = true
    world:replica(i, "v1", "draining")
    return function()
      outage_end()
      leaving[i] = nil
      world:replica(i, "v1")
    end
  end,
}
local fault_names = {}
for name in pairs(fault_kinds) do fault_names[#fault_names + 1] = name end
table.sort(fault_names)

-- Draws one fault of the plan; `ending` active faults end after it.
local function fault_draw()
  local ending = 0
  while math.random() < 0.5 do ending = ending + 1 end
  return {name = pick(fault_names), daemon = math.random(DAEMONS),
    replica = math.random(REPLICAS), events = math.random(15),
    pause_ms = math.random(FAULT_INTERVAL_MS[1], FAULT_INTERVAL_MS[2]),
    ending = ending}
end

-- Traffic. --------------------------------------------------------------------

local function call_start()
  local i = math.random(DAEMONS)
  if stopped[i] then return end
  local path = pick({"/book/1", "/scan/1", "/stream/a"})
  local call = words.begin(world.daemons[i], path)
  call.path = path
  notices.sent(call.id, i)
  calls[#calls + 1] = call
end

local function calls_poll()
  for i = #calls, 1, -1 do
    local call = calls[i]
    local response = call:look()
    if response.done then
      completed[#completed + 1] = {id = call.id, path = call.path,
        status = response.status, body = response.body}
      notices.completed(call.id, response.status)
      call:leave()
      table.remove(calls, i)
    end
  end
end

-- Callers reuse a connection until it is closed, also while its daemon shuts down.
-- A daemon that has read a request from it must respond.
local IDLE_MS, CLOSE_MS, RESPONSE_MS = 100, 300, 10000
local request_number = 0

local function connection_send(i, connection)
  request_number = request_number + 1
  notices.sent("kept" .. request_number, i)
  connection.text = ""
  connection.sent = run.now()
  run.write(connection.socket,
    words.bare_request("/open/1", "kept" .. request_number))
end

local function connection_receive(i, connection)
  connection.text = connection.text .. run.read(connection.socket)
  local length = connection.text:match("\r\nContent%-Length: (%d+)")
  local body = connection.text:match("\r\n\r\n(.*)")
  if body and #body >= tonumber(length or 0) then
    connection.sent = nil
    connection.next = run.now() + IDLE_MS
    if connection.text:match("\r\nConnection: close") then connection_close(i) end
    return
  end
  local waited = run.now() - connection.sent
  if run.ended(connection.socket) then
    lib.check(waited < CLOSE_MS,
      "daemon %d closed the connection %d ms after a request", i, waited)
    connection_close(i)
  else
    lib.check(stopped[i] or waited < RESPONSE_MS,
      "daemon %d has not responded for %d ms", i, waited)
  end
end

local function connections_poll()
  for i = 1, DAEMONS do
    local connection = connections[i]
    if not connection and not stopped[i] then
      local connected, socket = pcall(run.connect, world.daemons[i].callers)
      if connected then connections[i] = {socket = socket, next = run.now()} end
    elseif connection and connection.sent then
      connection_receive(i, connection)
    elseif connection and run.now() >= connection.next then
      connection_send(i, connection)
    end
  end
end

-- The users' requirement: a daemon that no fault has affected for STABLE_MS, with a
-- store likewise, does not list a daemon that has been down for LISTED_MS.
local STABLE_MS, LISTED_MS = 3000, 6000
local QUERY_INTERVAL_MS = 200
local queried_at = 0

local function listed_down_daemon(daemon)
  for _, address in ipairs(words.addresses(daemon)) do
    for j, since in pairs(down_since) do
      if world.daemons[j].callers == address and run.now() - since > LISTED_MS then
        return j
      end
    end
  end
end

local function directory_check()
  local now = run.now()
  if now - queried_at < QUERY_INTERVAL_MS or outage or
    now - store_disturbed < STABLE_MS then
    return
  end
  queried_at = now
  local i = math.random(DAEMONS)
  if stopped[i] or now - disturbed[i] < STABLE_MS then return end
  local j = listed_down_daemon(world.daemons[i])
  lib.check(not j, "daemon %d lists daemon %d, which is down", i, j or 0)
end

-- A daemon must not exit unless a fault ends it.
local function exits_check()
  for i = 1, DAEMONS do
    local status = not stopped[i] and run.reap(world.daemons[i].pid)
    lib.check(not status, "daemon %d exited without a fault: %s", i, status)
  end
end

function step()
  exits_check()
  if #calls < CALLS_MAX then call_start() end
  calls_poll()
  directory_check()
  connections_poll()
  if crowds then crowds.step(world.daemons, stopped) end
  run.sleep(5)
end

local function traffic(ms)
  local finish = run.now() + ms
  while run.now() < finish do step() end
end

-- The run. ----------------------------------------------------------------------

-- The plan is drawn before the traffic starts, because the number of random numbers
-- that the traffic draws depends on timing.
local plan = {}
for i = 1, seconds * 1000 // FAULT_INTERVAL_MS[1] do plan[i] = fault_draw() end
local finish = run.now() + seconds * 1000
local active_faults, counts = {}, {}
for _, fault in ipairs(plan) do
  if run.now() >= finish then break end
  local restore = fault_kinds[fault.name](fault)
  counts[fault.name] = (counts[fault.name] or 0) + 1
  if restore then active_faults[#active_faults + 1] = restore end
  traffic(fault.pause_ms)
  for _ = 1, math.max(fault.ending, #active_faults - ACTIVE_FAULTS_MAX) do
    if #active_faults > 0 then table.remove(active_faults, 1)() end
  end
  if long_down and run.now() - down_since[long_down] > LISTED_MS + STABLE_MS then
    daemon_start(long_down)
    long_down = nil
  end
end
if crowds then crowds.stop() end
if long_down then daemon_start(long_down) end
for _, restore in ipairs(active_faults) do restore() end
for i = 1, REPLICAS do
  if noticed[i] and noticed[i].limit then
    fault_kinds.limit({replica = i, events = 1})
  end
  if noticed[i] and noticed[i].leaving then
    fault_kinds.drain_notice({replica = i})
  end
end
for i = 1, DAEMONS do words.wait_ready(world.daemons[i]) end
-- From now on the directory checks apply to every daemon.
traffic(STABLE_MS)
lib.wait_until("the ends of rate limits are known", function()
  traffic(50)
  for i = 1, DAEMONS do
    if words.metric(world.daemons[i], "endpoints_rate_limited") > 0 then
      return false
    end
  end
  return true
end, 60000)
lib.wait_until("the last responses", function()
  calls_poll()
  return #calls == 0
end, 30000)

-- Checks on the completed calls. ---------------------------------------------

local runs = world:runs_by_id()
local served = 0
for _, call in ipairs(completed) do
  local ran = runs[call.id] or 0
  if call.path == "/book/1" then
    lib.check(ran <= 1, "%s ran %d times", call.id, ran)
  end
  if call.status == 503 then
    lib.check(ran == 0, "%s was refused as not run but ran %d times", call.id,
      ran)
  end
  if call.status == 200 and call.path == "/stream/a" then
    lib.check(words.whole(call.body, 20), "%s is not complete: %s", call.id,
      call.body)
  end
  served = served + (call.status == 200 and 1 or 0)
end
for i = 1, DAEMONS do notices.sent_on(i) end
notices.check(world)
for i = 1, DAEMONS do
  for _, path in ipairs({"/book/2", "/scan/2", "/stream/b"}) do
    lib.equal(words.call(world.daemons[i], path).status, 200,
      path .. " at daemon " .. i .. " after the faults")
  end
end
lib.say("seed %d: %d of %d served; faults %s", seed, served, #completed,
  run.encode(counts))
lib.say("ok")
