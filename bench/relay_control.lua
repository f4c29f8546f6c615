-- What the control of a relaying daemon costs, for docs/CAPACITY.md: processor
-- time, memory and calls of the store, while nothing changes and while entries
-- of endpoints change.
--   runner BUILD bench/relay_control.lua DAEMONS ENDPOINTS [CHANGES_PER_S]
package.path = script_dir .. "/../test/platform/?.lua;" .. script_dir ..
  "/../test/scenario/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
lib.LIMIT = 120000
local WINDOW_S = 10
local ZONES = 6
local daemons = tonumber(arguments[1])
local endpoints = tonumber(arguments[2])
local changes_per_s = tonumber(arguments[3] or 50)

local zones = {}
for i = 1, daemons do zones[i] = "z" .. i % ZONES end
local w = words.world(1, 0, nil, {daemon_zones = zones})
w:put_entries(endpoints, ZONES)
w.first_start = true
for i = 1, daemons do w:daemon(i) end
for i = 1, daemons do words.wait_ready(w.daemons[i]) end
run.sleep(5000)

-- The daemon that reads the store, one that others follow, and one that none
-- follows.
local function roles()
  local found = {}
  for _, daemon in ipairs(w.daemons) do
    local served = words.metric(daemon, "followers")
    local role = words.metric(daemon, "following") == 0 and "reader" or
      served > 0 and "inner" or "leaf"
    found[role] = found[role] or daemon
  end
  return found
end

local function measure(label, work)
  local before = {}
  local by_role = roles()
  for role, daemon in pairs(by_role) do
    before[role] = lib.usage(daemon)
  end
  work()
  for role, daemon in pairs(by_role) do
    local cpu, resident = lib.usage(daemon)
    lib.say("%s %s: %.2f %% of a core, RSS %.1f MB", label, role,
      (cpu - before[role]) / WINDOW_S / 10, resident / 1024)
  end
end

measure("idle", function() run.sleep(1000 * WINDOW_S) end)
measure(changes_per_s .. " changes/s", function()
  local until_ms = run.now() + 1000 * WINDOW_S
  local i = 0
  while run.now() < until_ms do
    i = i + 1
    w:put_entry(i % endpoints + 1, ZONES, "v" .. 2 + i // endpoints)
    run.sleep(1000 // changes_per_s)
  end
end)
