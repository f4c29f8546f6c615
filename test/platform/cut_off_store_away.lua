-- Guards against refusing callers of a VM that has lost its links to all endpoints
-- while the store is unavailable too, and against running their requests with a
-- key that was taken away while they are sent on through another VM.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lost_links = require("lost_links")
local lib = words.lib
local STABLE_MS, SPAN_MS, PAUSE_MS = 3000, 3000, 80
local SERVED_PART = 2 / 3
-- bounds.revoke_ms of the settings.
local REVOKE_MS = 2500
local CUT = {1, 4}
local w = lost_links.world()

local function is_cut(i) return i == CUT[1] or i == CUT[2] end

-- Requests that need no key, as keys are refused without the store.
local function load(ms)
  local calls = {}
  local finish = run.now() + ms
  while run.now() < finish do
    for i, daemon in ipairs(w.daemons) do
      local call = words.begin(daemon, "/open/a", {key = false, deadline = 4000})
      call.path, call.daemon = "/open/a", i
      calls[#calls + 1] = call
    end
    run.sleep(PAUSE_MS)
  end
  lost_links.finish(w, calls)
  return calls
end

local function check(what, calls)
  local good, tried = lost_links.served(calls, is_cut)
  local good_else, tried_else = lost_links.served(calls,
    function(i) return not is_cut(i) end)
  lib.say("%s: served %d of %d, the others %d of %d", what, good, tried,
    good_else, tried_else)
  lib.check(good_else == tried_else, "%s: not all served elsewhere", what)
  lib.check(good / tried >= SERVED_PART, "%s: %d of %d served", what, good,
    tried)
end

load(500)
lib.fault(w.store.address, {down = true})
w:links(CUT, "lost")
load(STABLE_MS)
check("store away before the cut", load(SPAN_MS))
w:links({})
lib.wait_until("all daemons reach the endpoints", function()
  load(100)
  return w:all_show("services_unreachable", 0)
end)
lib.fault(w.store.address, {down = false})
for _, daemon in ipairs(w.daemons) do words.wait_ready(daemon) end

w:links(CUT, "refused")
load(STABLE_MS)
lib.fault(w.store.address, {down = true})
check("store away during the cut", load(SPAN_MS))
lib.fault(w.store.address, {down = false})
for _, daemon in ipairs(w.daemons) do words.wait_ready(daemon) end

-- Both daemons of a request check its key.
local forwards = words.metric(w.daemons[1], "forwards_total")
lib.equal(words.call(w.daemons[1], "/scan/a", {key = "k2"}).status, 200,
  "with a key")
lib.check(words.metric(w.daemons[1], "forwards_total") > forwards,
  "the request was not sent on")
w:configure({"k1"})
run.sleep(REVOKE_MS)
for _, i in ipairs(CUT) do
  for _ = 1, 5 do
    local call = words.begin(w.daemons[i], "/scan/a", {key = "k2"})
    lib.equal(call:finish().status, 401, "with a key that was taken away")
    lib.equal(w:ran(call.id), 0, "runs of " .. call.id)
  end
end
w:links({})
lost_links.check_healed(w)
lib.say("ok")
