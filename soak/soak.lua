-- Random faults under traffic, then quiet, then the books: what may run once ran
-- at most once, "not run" was true, streams that ended are whole, and everything
-- is served again. The seed decides the faults, whom they hit, their order and how
-- long each lasts, but not what the traffic is doing meanwhile.
--
--   runner BUILD soak/soak.lua, with SOAK_SEED and SOAK_SECONDS
package.path = script_dir .. "/../test/platform/?.lua;" .. package.path
local root = script_dir
script_dir = root .. "/../test/platform"
local words = require("words")
local lib = words.lib
local seed = tonumber(os.getenv("SOAK_SEED") or "1")
local seconds = tonumber(os.getenv("SOAK_SECONDS") or "30")
math.randomseed(seed)

local DAEMONS, REPLICAS, AT_ONCE = 4, 4, 6
local FAULT_MS = {200, 900} -- from one fault to the next
local UNDER_WAY = 2 -- faults that may be, when the next one comes
local w = words.world(REPLICAS, 0)
for i = 1, REPLICAS do w:link(i) end
for i = 1, DAEMONS do w:store_link(i) end
for i = 1, DAEMONS do w:daemon(i) end
for i = 1, DAEMONS do words.wait_ready(w.daemons[i]) end
local running = {} -- calls under way
local books = {} -- ended ones
local stopped = {} -- daemons that stand still, or are gone for now
local off_since = {} -- daemons that are off, and since when
local disturbed = {} -- when each daemon was last disturbed
local store_disturbed = run.now()
for i = 1, DAEMONS do disturbed[i] = run.now() end

local function any(list)
  return list[math.random(#list)]
end

-- Faults, each with its end. ------------------------------------------------

local leaving = {} -- replicas that are
local lost -- the daemon that is off for long
local step -- lets traffic go on for a moment
local kept = {} -- by daemon: socket, when a request was sent, text of the answer

local function kept_drop(i)
  if kept[i] then run.hang_up(kept[i].socket) end
  kept[i] = nil
end

local function replica_fault(i, faults)
  w:faults(i, faults)
  return function() w:faults(i, {}) end
end

local function store_fault(faults, back)
  lib.fault(w.store.address, faults)
  store_disturbed = run.now()
  return function()
    store_disturbed = run.now()
    lib.fault(w.store.address, back)
  end
end

-- The link between one daemon and the store.
local function link_fault(i, faults, back)
  w:store_fault(i, faults)
  disturbed[i] = run.now()
  return back and function()
    disturbed[i] = run.now()
    w:store_fault(i, back)
  end
end

local function daemon_off(i)
  stopped[i] = true
  off_since[i] = run.now()
  kept_drop(i)
  w.daemons[i]:kill()
end

local function daemon_on(i)
  stopped[i] = nil
  off_since[i] = nil
  disturbed[i] = run.now()
  kept_drop(i)
  w:daemon(i)
end

-- Replicas write to the store: an outage ends before one does.
local outage = false

local function outage_end()
  if outage then lib.fault(w.store.address, {down = false}) end
  if outage then store_disturbed = run.now() end
  outage = false
end

local kinds = {
  kill = function(fault)
    local i = fault.daemon
    if stopped[i] then return end
    daemon_off(i)
    return function() daemon_on(i) end
  end,
  -- Off for longer than others may name it, while other faults go on.
  lose = function(fault)
    local i = fault.daemon
    if stopped[i] or lost then return end
    lost = i
    daemon_off(i)
  end,
  -- A process that does not run its program yet can't take the signal.
  reload = function(fault)
    local i = fault.daemon
    if not stopped[i] and words.listens(w.daemons[i]) then
      w.daemons[i]:signal("HUP")
    end
  end,
  terminate = function(fault)
    local i = fault.daemon
    if stopped[i] then return end
    local old = w.daemons[i]
    old:signal("TERM")
    stopped[i] = true
    return function()
      while not run.reap(old.pid) do step() end
      daemon_on(i)
    end
  end,
  freeze = function(fault)
    local i = fault.daemon
    if stopped[i] then return end
    stopped[i] = true
    w.daemons[i]:stop()
    return function()
      w.daemons[i]:continue()
      disturbed[i] = run.now()
      stopped[i] = nil
    end
  end,
  store_down = function()
    outage = true
    store_disturbed = run.now()
    lib.fault(w.store.address, {down = true})
    return outage_end
  end,
  store_slow = function()
    return store_fault({slow_ms = 150}, {slow_ms = 0})
  end,
  store_forgets = function()
    return store_fault({forget = true}, {forget = false})
  end,
  -- It comes back from a copy that is as old as the fault lasts, and the replicas
  -- write again.
  store_restored = function()
    outage_end()
    lib.fault(w.store.address, {save = true})
    return function()
      outage_end()
      store_disturbed = run.now()
      lib.fault(w.store.address, {restore = true})
      for i = 1, REPLICAS do
        w:replica(i, "v1", leaving[i] and "draining" or nil)
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
  shed = function(fault) return replica_fault(fault.replica, {shed = true}) end,
  fail = function(fault) return replica_fault(fault.replica, {fail = true}) end,
  silent = function(fault) w:silence(fault.replica) end,
  stray = function(fault) return replica_fault(fault.replica, {stray = true}) end,
  leave = function(fault)
    local i = fault.replica
    outage_end()
    leaving[i] = true
    w:replica(i, "v1", "draining")
    return function()
      outage_end()
      leaving[i] = nil
      w:replica(i, "v1")
    end
  end,
}
local names = {}
for name in pairs(kinds) do names[#names + 1] = name end
table.sort(names)

-- One fault of the plan; so many of those under way end after it.
local function fault_drawn()
  local ending = 0
  while math.random() < 0.5 do ending = ending + 1 end
  return {name = any(names), daemon = math.random(DAEMONS),
    replica = math.random(REPLICAS), events = math.random(15),
    pause_ms = math.random(FAULT_MS[1], FAULT_MS[2]), ending = ending}
end

-- Traffic. --------------------------------------------------------------------

local function call_begin()
  local i = math.random(DAEMONS)
  if stopped[i] then return end
  local path = any({"/book/1", "/scan/1", "/stream/a"})
  local call = words.begin(w.daemons[i], path)
  call.path = path
  running[#running + 1] = call
end

local function calls_look()
  for i = #running, 1, -1 do
    local call = running[i]
    local answer = call:look()
    if answer.done then
      books[#books + 1] = {id = call.id, path = call.path,
        status = answer.status, body = answer.body}
      call:leave()
      table.remove(running, i)
    end
  end
end

-- Callers use a connection until it is closed, also while its daemon leaves, and
-- whatever it has read on it is answered.
local KEPT_PAUSE_MS, READ_MS, ANSWER_MS = 100, 300, 10000
local kept_number = 0

local function kept_send(one)
  kept_number = kept_number + 1
  one.text = ""
  one.sent = run.now()
  run.write(one.socket, words.bare_request("/open/1", "kept" .. kept_number))
end

local function kept_read(i, one)
  one.text = one.text .. run.read(one.socket)
  local length = one.text:match("\r\nContent%-Length: (%d+)")
  local body = one.text:match("\r\n\r\n(.*)")
  if body and #body >= tonumber(length or 0) then
    one.sent = nil
    one.next = run.now() + KEPT_PAUSE_MS
    if one.text:match("\r\nConnection: close") then kept_drop(i) end
    return
  end
  local waited = run.now() - one.sent
  if run.ended(one.socket) then
    lib.check(waited < READ_MS, "daemon %d closed on a request after %d ms",
      i, waited)
    kept_drop(i)
  else
    lib.check(stopped[i] or waited < ANSWER_MS,
      "daemon %d has not answered for %d ms", i, waited)
  end
end

local function kept_look()
  for i = 1, DAEMONS do
    local one = kept[i]
    if not one and not stopped[i] then
      local good, socket = pcall(run.connect, w.daemons[i].callers)
      if good then kept[i] = {socket = socket, next = run.now()} end
    elseif one and one.sent then
      kept_read(i, one)
    elseif one and run.now() >= one.next then
      kept_send(one)
    end
  end
end

-- As the users have it: whoever is itself undisturbed, over a store that is, names
-- nobody that has been off for longer.
local STABLE_MS, NAMED_MS = 3000, 6000
local ASK_MS = 200
local asked_at = 0

local function off_named(daemon)
  for _, address in ipairs(words.addresses(daemon)) do
    for j, since in pairs(off_since) do
      if w.daemons[j].callers == address and run.now() - since > NAMED_MS then
        return j
      end
    end
  end
end

local function directory_look()
  local now = run.now()
  if now - asked_at < ASK_MS or outage or now - store_disturbed < STABLE_MS then
    return
  end
  asked_at = now
  local i = math.random(DAEMONS)
  if stopped[i] or now - disturbed[i] < STABLE_MS then return end
  local j = off_named(w.daemons[i])
  lib.check(not j, "daemon %d names %d, which is off", i, j or 0)
end

-- Nobody ends but by what was done to it.
local function ended_look()
  for i = 1, DAEMONS do
    local status = not stopped[i] and run.reap(w.daemons[i].pid)
    lib.check(not status, "daemon %d ended by itself: %s", i, status)
  end
end

function step()
  ended_look()
  if #running < AT_ONCE then call_begin() end
  calls_look()
  directory_look()
  kept_look()
  run.sleep(5)
end

local function traffic(ms)
  local finish = run.now() + ms
  while run.now() < finish do step() end
end

-- The run. ----------------------------------------------------------------------

-- All is drawn before the traffic, which draws as often as time allows.
local plan = {}
for i = 1, seconds * 1000 // FAULT_MS[1] do plan[i] = fault_drawn() end
local finish = run.now() + seconds * 1000
local ends, counts = {}, {}
for _, fault in ipairs(plan) do
  if run.now() >= finish then break end
  local back = kinds[fault.name](fault)
  counts[fault.name] = (counts[fault.name] or 0) + 1
  if back then ends[#ends + 1] = back end
  traffic(fault.pause_ms)
  for _ = 1, math.max(fault.ending, #ends - UNDER_WAY) do
    if #ends > 0 then table.remove(ends, 1)() end
  end
  if lost and run.now() - off_since[lost] > NAMED_MS + STABLE_MS then
    daemon_on(lost)
    lost = nil
  end
end
if lost then daemon_on(lost) end
for _, back in ipairs(ends) do back() end
for i = 1, DAEMONS do words.wait_ready(w.daemons[i]) end
-- From here on all count as undisturbed.
traffic(STABLE_MS)
lib.wait_until("the last answers", function()
  calls_look()
  return #running == 0
end, 30000)

-- The books. ------------------------------------------------------------------

local runs = w:runs_by_id()
local served = 0
for _, one in ipairs(books) do
  local ran = runs[one.id] or 0
  if one.path == "/book/1" then
    lib.check(ran <= 1, "%s ran %d times", one.id, ran)
  end
  if one.status == 503 then
    lib.check(ran == 0, "%s was refused as not run and ran %d times", one.id,
      ran)
  end
  if one.status == 200 and one.path == "/stream/a" then
    lib.check(words.whole(one.body, 20), "%s is not whole: %s", one.id,
      one.body)
  end
  served = served + (one.status == 200 and 1 or 0)
end
for i = 1, DAEMONS do
  for _, path in ipairs({"/book/2", "/scan/2", "/stream/b"}) do
    lib.equal(words.call(w.daemons[i], path).status, 200,
      path .. " at daemon " .. i .. " after all")
  end
end
lib.say("seed %d: %d of %d served; faults %s", seed, served, #books,
  run.encode(counts))
lib.say("ok")
