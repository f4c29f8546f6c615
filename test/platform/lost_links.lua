-- Daemons whose links to replicas can be cut, and what callers get there.
local words = require("words")
local lib = words.lib
local lost_links = {}

local DAEMONS, REPLICAS, ZONES = 7, 6, 3
-- bounds.stable_ms of the settings: a cut counts from here on.
local STABLE_MS = 3000
local SPAN_MS = 3000
local PAUSE_MS = 80
-- The part of the service's rate for others that callers of a cut-off VM are due.
local SERVED_PART = 2 / 3
local paths = {"/stream/a", "/scan/a", "/book/a"}

-- @param daemons number of them; nil: as many as notify each other of prompts
function lost_links.world(daemons, fields)
  local zones = {}
  daemons = daemons or DAEMONS
  for i = 1, daemons do zones[i] = "z" .. (i % ZONES) end
  local all = {own_sources = true, daemon_zones = zones}
  for name, value in pairs(fields or {}) do all[name] = value end
  local w = words.world(REPLICAS, 0, nil, all)
  for i = 1, REPLICAS do
    w:link(i)
    w:faults(i, {events = 5, pause_ms = 10})
  end
  w.first_start = true
  for i = 1, daemons do w:daemon(i) end
  w.first_start = false
  for i = 1, daemons do words.wait_ready(w.daemons[i]) end
  lib.wait_until("the daemons know of each other", function()
    return w:all_show("entries", daemons)
  end)
  return w
end

local count = 0
-- One first try at a daemon.
-- @param path optional
function lost_links.try(w, i, path)
  count = count + 1
  path = path or paths[count % #paths + 1]
  local call = words.begin(w.daemons[i], path, {deadline = 4000,
    headers = path:match("^/stream") and words.prompt(1, count) or {}})
  call.path = path
  call.daemon = i
  return call
end

-- Sends first tries for a time; keeps them in a list.
-- @param daemons by number; nil: all
function lost_links.load(w, ms, calls, daemons)
  local finish = run.now() + ms
  if not daemons then
    daemons = {}
    for i in ipairs(w.daemons) do daemons[i] = i end
  end
  while run.now() < finish do
    for _, i in ipairs(daemons) do
      if not w.daemons[i].lost then
        calls[#calls + 1] = lost_links.try(w, i)
      end
    end
    run.sleep(PAUSE_MS)
  end
end

-- How many of the calls at chosen daemons were served, and of how many.
function lost_links.served(calls, chosen)
  local tried, good, failures = 0, 0, {}
  for _, call in ipairs(calls) do
    if chosen(call.daemon) then
      tried = tried + 1
      if call.answer.status == 200 then
        good = good + 1
      else
        local key = call.path .. " " .. call.answer.status
        failures[key] = (failures[key] or 0) + 1
      end
    end
  end
  for key, times in pairs(failures) do
    lib.say("    %s: %d times", key, times)
  end
  return good, tried
end

-- Bodies are those of the replicas, no request that may run once ran twice, and
-- what was refused as not run did not run.
local function check_answers(w, calls)
  local runs = w:runs_by_id()
  for _, call in ipairs(calls) do
    local answer, ran = call.answer, runs[call.id] or 0
    if answer.status == 200 and call.path:match("^/stream") then
      lib.check(words.whole(answer.body, 5), "the stream %s is not whole",
        call.id)
    elseif answer.status == 200 then
      lib.equal(answer.body, "done\n", "body of " .. call.id)
    end
    if call.path:match("^/book") then
      lib.check(ran <= 1, "%s ran %d times", call.id, ran)
      if answer.status == 503 then
        lib.equal(ran, 0, "runs of " .. call.id .. ", refused as not run")
      end
    end
  end
end

function lost_links.finish(w, calls)
  for _, call in ipairs(calls) do call.answer = call:finish() end
  check_answers(w, calls)
end

-- First tries at the daemons that are cut off are served two thirds as often as
-- those at the others, from STABLE_MS on.
function lost_links.check_served(w, what, cut)
  local before, calls, is_cut = {}, {}, {}
  for _, i in ipairs(cut) do is_cut[i] = true end
  lost_links.load(w, STABLE_MS, before)
  lost_links.load(w, SPAN_MS, calls)
  lost_links.finish(w, before)
  lost_links.finish(w, calls)
  local good, tried = lost_links.served(calls, function(i) return is_cut[i] end)
  local good_else, tried_else = lost_links.served(calls,
    function(i) return not is_cut[i] end)
  lib.say("%s: served %d of %d, the others %d of %d", what, good, tried,
    good_else, tried_else)
  lib.check(good / tried >= SERVED_PART * good_else / tried_else,
    "%s: %d of %d served there, %d of %d elsewhere", what, good, tried,
    good_else, tried_else)
end

-- After the end of a cut, all is served without another daemon again.
function lost_links.check_healed(w)
  local ignored, calls = {}, {}
  lib.wait_until("all daemons reach the endpoints", function()
    lost_links.load(w, 100, ignored)
    return w:all_show("services_unreachable", 0)
  end)
  lost_links.load(w, 500, calls)
  lost_links.finish(w, ignored)
  lost_links.finish(w, calls)
  local good, tried = lost_links.served(calls, function() return true end)
  lib.equal(good, tried, "served after the cut")
end

return lost_links
