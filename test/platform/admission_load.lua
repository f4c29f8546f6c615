-- Helpers for scenarios of admission control: organisations that send requests to
-- a plain service of limited capacity.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local load = {words = words, lib = lib}

-- Sequence that is the same in each run.
local state = 12345
local function random()
  state = (state * 1103515245 + 12345) % 2147483648
  return state / 2147483648
end

-- A world whose plain service takes work_ms for a request, with the objective for
-- its route. Each organisation has the key that is its name
-- unless others are given.
function load.world(options)
  local organisations = {}
  for i, name in ipairs(options.organisations) do
    organisations[i] = {name = name,
      api_keys = options.keys and options.keys[name] or {name}}
  end
  local route = {slo_ms = options.objective_ms}
  local world = words.world(options.replicas, options.daemons, nil,
    {organisations = organisations, slots = options.slots,
      route_fields = {scan = route, book = route},
      environment = options.environment})
  lib.wait_until("the daemons know of each other", function()
    return world:all_show("entries", options.daemons)
  end)
  for i = 1, options.replicas do
    world:faults(i, {work_ms = options.work_ms, slots = options.slots,
      queue = options.queue})
  end
  return world
end

-- Sends requests at random times.
-- @param limit for how many ms, or a function that returns true in the end
-- @param rates of organisations, requests a second
-- @param daemons to which they go, by number
-- @return the calls, with their organisation
function load.send(world, limit, rates, daemons, path)
  local calls, next_at = {}, {}
  local now = run.now()
  local finish = now + (type(limit) == "number" and limit or lib.LIMIT)
  local over = type(limit) == "function" and limit or
    function() return run.now() >= finish end
  local names = {}
  for name in pairs(rates) do names[#names + 1] = name end
  table.sort(names)
  local function gap(name) return -math.log(1 - random()) * 1000 / rates[name] end
  for _, name in ipairs(names) do next_at[name] = now + gap(name) end
  while not over() do
    lib.check(now <= finish, "the load does not reach its end")
    for _, name in ipairs(names) do
      while next_at[name] <= now do
        next_at[name] = next_at[name] + gap(name)
        local i = daemons[1 + math.floor(random() * #daemons)]
        local call = words.begin(world.daemons[i], path or "/scan/a",
          {key = name})
        call.organisation = name
        calls[#calls + 1] = call
      end
    end
    run.sleep(5)
    now = run.now()
  end
  return calls
end

-- The text of a daemon's log.
function load.log(daemon)
  local file = assert(io.open(daemon.log))
  local text = file:read("a")
  file:close()
  return text
end

-- Whether the request has to wait at the daemon, or had to.
function load.waits(daemon, id)
  return load.log(daemon):find("event=wait id=" .. id .. " ", 1, true) ~= nil
end

-- Waits for the responses and sorts them by organisation: served (those within
-- the objective: in_time), refused (ids, times, Retry-After), or neither.
function load.results(calls, objective_ms)
  local all = {}
  for _, call in ipairs(calls) do
    local r = all[call.organisation] or {sent = 0, served = 0, in_time = 0,
      refused = {}, other = 0}
    local answer = call:finish()
    all[call.organisation] = r
    r.sent = r.sent + 1
    if answer.status == 200 then
      r.served = r.served + 1
      if answer.ms <= objective_ms then r.in_time = r.in_time + 1 end
    elseif answer.status == 503 or answer.status == 429 then
      table.insert(r.refused, {id = call.id, ms = answer.ms,
        back_s = tonumber(answer.headers["Retry-After"])})
    else
      r.other = r.other + 1
    end
  end
  for name, r in pairs(all) do
    lib.say("%s: sent %d, served %d, in time %d, refused %d, other %d", name,
      r.sent, r.served, r.in_time, #r.refused, r.other)
  end
  return all
end

-- A counter or gauge, over all daemons.
function load.sum(world, name)
  local sum = 0
  for _, daemon in ipairs(world.daemons) do
    sum = sum + words.metric(daemon, name)
  end
  return sum
end

-- No refused request has run, and each refusal says when to come back.
function load.check_refusals(world, results)
  local runs = world:runs_by_id()
  for name, r in pairs(results) do
    for _, refusal in ipairs(r.refused) do
      lib.check(not runs[refusal.id], "%s of %s was refused and has run",
        refusal.id, name)
      lib.check(refusal.back_s and refusal.back_s > 0, "no Retry-After for %s",
        refusal.id)
    end
  end
end

return load
