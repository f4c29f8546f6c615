-- Random faults under traffic, then quiet, then the books: what may run once ran
-- at most once, "not run" was true, streams that ended are whole, and everything
-- is served again. The seed decides the faults and their order, not the timing.
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
local w = words.world(REPLICAS, 0)
for i = 1, REPLICAS do w:link(i) end
for i = 1, DAEMONS do w:daemon(i) end
for i = 1, DAEMONS do words.wait_ready(w.daemons[i]) end
local running = {} -- calls under way
local books = {} -- ended ones
local stopped = {} -- daemons that stand still, or are gone for now

local function any(list)
  return list[math.random(#list)]
end

-- Faults, each with its end. ------------------------------------------------

local function replica_fault(faults)
  local i = math.random(REPLICAS)
  w:faults(i, faults)
  return function() w:faults(i, {}) end
end

local function store_fault(faults, back)
  lib.fault(w.store.address, faults)
  return function() lib.fault(w.store.address, back) end
end

-- Replicas write to the store: an outage ends before one does.
local outage = false

local function outage_end()
  if outage then lib.fault(w.store.address, {down = false}) end
  outage = false
end

local kinds = {
  kill = function()
    local i = math.random(DAEMONS)
    if stopped[i] then return end
    stopped[i] = true
    w.daemons[i]:kill()
    return function()
      stopped[i] = nil
      w:daemon(i)
    end
  end,
  terminate = function()
    local i = math.random(DAEMONS)
    if stopped[i] then return end
    local old = w.daemons[i]
    old:signal("TERM")
    stopped[i] = true
    return function()
      old:wait()
      stopped[i] = nil
      w:daemon(i)
    end
  end,
  freeze = function()
    local i = math.random(DAEMONS)
    if stopped[i] then return end
    stopped[i] = true
    w.daemons[i]:stop()
    return function()
      w.daemons[i]:continue()
      stopped[i] = nil
    end
  end,
  store_down = function()
    outage = true
    lib.fault(w.store.address, {down = true})
    return outage_end
  end,
  store_slow = function()
    return store_fault({slow_ms = 150}, {slow_ms = 0})
  end,
  store_forgets = function()
    return store_fault({forget = true}, {forget = false})
  end,
  cut = function() return replica_fault({cut_after = math.random(15)}) end,
  half = function() return replica_fault({half_after = math.random(15)}) end,
  shed = function() return replica_fault({shed = true}) end,
  fail = function() return replica_fault({fail = true}) end,
  silent = function() w:silence(math.random(REPLICAS)) end,
  stray = function() return replica_fault({stray = true}) end,
  leave = function()
    local i = math.random(REPLICAS)
    outage_end()
    w:replica(i, "v1", "draining")
    return function()
      outage_end()
      w:replica(i, "v1")
    end
  end,
}
local names = {}
for name in pairs(kinds) do names[#names + 1] = name end
table.sort(names)

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

local function traffic(ms)
  local finish = run.now() + ms
  while run.now() < finish do
    if #running < AT_ONCE then call_begin() end
    calls_look()
    run.sleep(5)
  end
end

-- The run. ----------------------------------------------------------------------

local finish = run.now() + seconds * 1000
local ends, counts = {}, {}
while run.now() < finish do
  local name = any(names)
  local back = kinds[name]()
  counts[name] = (counts[name] or 0) + 1
  if back then ends[#ends + 1] = back end
  traffic(math.random(200, 900))
  while #ends > 2 or (#ends > 0 and math.random() < 0.5) do
    table.remove(ends, 1)()
  end
end
for _, back in ipairs(ends) do back() end
for i = 1, DAEMONS do words.wait_ready(w.daemons[i]) end
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
