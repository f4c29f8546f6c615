-- Checks after the run that the daemons obeyed rate limits, drain notices and
-- back-offs in the responses of replicas, on the requests that reached each replica.
local lib = require("lib")
local notices = {}

local SPAN_MS, STABLE_MS, TOLD_MS, DRAIN_MS, GRACE_MS, REST_MS =
  4000, 3000, 500, 2000, 500, 2000
local ALLOWED_IN_REST = 2

local senders = {} -- by request: its daemon
local told_at = {} -- by request: when its whole response was passed on
local excused = {} -- by daemon: when it started or woke up
local begun = {} -- by replica: when an incarnation began
local limits = {} -- by replica: when a limit was named, and which

local function add(list, key, value)
  list[key] = list[key] or {}
  table.insert(list[key], value)
end

function notices.sent(id, daemon) senders[id] = daemon end

-- A request that a daemon sent on reached replicas from others, which were told of
-- other notices.
function notices.sent_on(i)
  local log = io.open(string.format("%s/scenario-logs/%s/daemon%d.log", build,
    network, i))
  for line in log:lines() do
    local id = line:match("event=forward id=(%S+)")
    if id then senders[id] = "sent on " .. id end
  end
  log:close()
end

function notices.completed(id, status)
  if status == 200 then told_at[id] = run.now() end
end

function notices.excuse(daemon) add(excused, daemon, run.now()) end
function notices.incarnation_begins(i) add(begun, i, run.now()) end

function notices.limit_begins(i, per_s)
  add(limits, i, {at = run.now(), per_s = per_s})
end

local function any_between(times, from, to)
  for _, time in ipairs(times or {}) do
    if time >= from and time <= to then return true end
  end
  return false
end

-- The requests that reached a replica. A request that reached several replicas is
-- marked, as it isn't known whose response was passed on.
local function arrivals_of(world)
  local all, counts = {}, {}
  for i in ipairs(world.replicas) do
    all[i] = {}
    for n, entry in ipairs(lib.http("GET", world.replicas[i].address,
        "/arrivals").json.arrivals) do
      local id = entry[2]
      counts[id] = (counts[id] or 0) + 1
      all[i][n] = {at = entry[1], id = id, daemon = senders[id],
        limit = tonumber(entry[3]), leaving = entry[4] ~= "",
        rest = entry[5] ~= ""}
    end
  end
  for _, list in ipairs(all) do
    for _, arrival in ipairs(list) do
      arrival.told = counts[arrival.id] == 1 and told_at[arrival.id]
    end
  end
  return all
end

local function check_rest(i, list)
  for n, first in ipairs(list) do
    local count = 0
    for m = n + 1, first.rest and #list or n do
      local later = list[m]
      if later.at > first.at + REST_MS then break end
      if later.daemon == first.daemon and later.at > first.at + GRACE_MS and
          not any_between(excused[later.daemon], first.at, later.at) and
          not any_between(begun[i], first.at, later.at) then
        count = count + 1
      end
    end
    lib.check(count <= ALLOWED_IN_REST,
      "replica %d: %d requests of daemon %s in a back-off", i, count,
      first.daemon)
  end
end

local function check_leaving(i, list)
  local told = {} -- by daemon: the request whose response was the notice
  for _, arrival in ipairs(list) do
    local notice = told[arrival.daemon]
    -- The whole response may be passed on after the next incarnation has begun.
    if notice and not any_between(begun[i], notice.at, arrival.at) and
        not any_between(excused[arrival.daemon], notice.at, arrival.at) then
      lib.check(arrival.at <= notice.told + DRAIN_MS,
        "replica %d: a request of daemon %s %d ms after a drain notice", i,
        arrival.daemon, arrival.at - notice.told)
    elseif notice then
      told[arrival.daemon] = nil
    end
    if arrival.leaving and arrival.told and not told[arrival.daemon] then
      told[arrival.daemon] = arrival
    end
  end
end

-- @param limit in force until @p finish
local function check_limit(i, list, limit, finish)
  local told, first_named, counted = {}, nil, {}
  for _, arrival in ipairs(list) do
    local since = told[arrival.daemon]
    if arrival.at >= limit.at and arrival.at < finish and arrival.limit then
      first_named = first_named or arrival.at
      if since and arrival.at >= since + TOLD_MS and
          arrival.at >= first_named + STABLE_MS and
          not any_between(excused[arrival.daemon], since, arrival.at) then
        counted[#counted + 1] = arrival.at
      end
      told[arrival.daemon] = told[arrival.daemon] or arrival.told
    end
  end
  local allowed = 1.5 * limit.per_s * SPAN_MS / 1000 + 5
  for n, from in ipairs(counted) do
    local count = 0
    for m = n, #counted do
      if counted[m] <= from + SPAN_MS then count = count + 1 end
    end
    lib.check(count <= allowed,
      "replica %d: %d requests in %d ms with a limit of %.1f a second", i,
      count, SPAN_MS, limit.per_s)
  end
end

function notices.check(world)
  for i, list in ipairs(arrivals_of(world)) do
    check_rest(i, list)
    check_leaving(i, list)
    for n, limit in ipairs(limits[i] or {}) do
      local following = limits[i][n + 1]
      check_limit(i, list, limit, following and following.at or math.huge)
    end
  end
end

return notices
