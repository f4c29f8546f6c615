-- Usage reports. Each window is reported with the same counts however often,
-- the counts are those of the requests that ran, and whoever reports later has a
-- higher fencing token. Guards against reports lost with the daemon that sends
-- them, and against reports that change while the interface is unavailable.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS = 4
local duties
local w = words.world(2, DAEMONS, nil, {with_duties = true,
  extra_settings = "bounds.report_window_s=1\nbounds.usage_delay_s=8\n"})
w:wait_joined()

local function calls()
  return lib.http("GET", w.duties.address, "/calls").json
end

-- Checks the calls so far; returns the sum of all windows.
local function checked_sum()
  local windows, latest, holders = {}, 0, {}
  local sum = 0
  for _, call in ipairs(calls()) do
    local k = call.body.window_id
    local counted = call.body.counts.t1 or 0
    lib.check(call.token >= latest, "token %d after %d", call.token, latest)
    lib.equal(holders[call.token] or call.holder, call.holder,
      "holder of token " .. call.token)
    lib.equal(windows[k] or counted, counted, "counts of window " .. k)
    if not windows[k] then sum = sum + counted end
    latest, holders[call.token], windows[k] = call.token, call.holder, counted
  end
  return sum, latest
end

local sent = 0
local function load(daemons, seconds)
  local until_ms = run.now() + 1000 * seconds
  while run.now() < until_ms do
    for i, daemon in pairs(daemons) do
      local path = sent % 2 == 0 and "/scan/a" or "/stream/a"
      if words.call(daemon, path).status == 200 then sent = sent + 1 end
    end
    run.sleep(20)
  end
end

local function wait_reported(what)
  lib.wait_until(what, function()
    return checked_sum() >= #w:all_runs()
  end, 30000)
  lib.equal(checked_sum(), #w:all_runs(), what)
end

load(w.daemons, 3)
wait_reported("what ran is reported")

-- The interface is unavailable, then loses its responses.
lib.fault(w.duties.address, {status = 503})
load(w.daemons, 3)
lib.fault(w.duties.address, {lose = true})
run.sleep(2000)
lib.fault(w.duties.address, {})
wait_reported("what ran meanwhile is reported")

-- The daemon that reports leaves; the next one reports.
local _, before = checked_sum()
local reader = w:reader()
for i, daemon in pairs(w.daemons) do
  if daemon == reader then w.daemons[i] = nil end
end
reader:signal("TERM")
load(w.daemons, 3)
wait_reported("the next daemon reports")
local _, after = checked_sum()
lib.check(after > before, "token %d after %d", after, before)

-- It is killed. Others know its counts up to the last second.
reader = w:reader()
for i, daemon in pairs(w.daemons) do
  if daemon == reader then w.daemons[i] = nil end
end
load(w.daemons, 1)
run.sleep(1500)
reader:signal("KILL")
load(w.daemons, 2)
wait_reported("another one reports")
local _, last = checked_sum()
lib.check(last > after, "token %d after %d", last, after)
lib.say("ok")
