-- Guards against two attempts of one request at the same time: in a fleet in which
-- the owners of endpoints are asked before a prompt is placed, the links are lost
-- while their responses are awaited.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lost_links = require("lost_links")
local lib = words.lib
local DAEMONS, ROUNDS = 11, 6
local CUT = {1, 3, 5, 7, 9}
local w = lost_links.world(DAEMONS)

local function stream(i, calls, n)
  local call = words.begin(w.daemons[i], "/stream/a", {deadline = 4000,
    headers = words.prompt(n % 7, n)})
  call.path = "/stream/a"
  call.daemon = i
  calls[#calls + 1] = call
end

local n, calls = 0, {}
for round = 1, ROUNDS do
  w:links(CUT, round % 2 == 0 and "lost" or "refused")
  local finish = run.now() + 1500
  while run.now() < finish do
    for _, i in ipairs(CUT) do
      n = n + 1
      stream(i, calls, n)
    end
    run.sleep(20)
  end
  w:links({})
  run.sleep(300)
end
lost_links.finish(w, calls)
lib.check(words.metric(w.daemons[1], "owners_asked") > 0, "no owner is asked")
lib.check(words.metric(w.daemons[1], "forwards_total") > 0, "none sent on")
for i, daemon in ipairs(w.daemons) do
  lib.check(not run.reap(daemon.pid), "daemon %d has ended", i)
end
local good, tried = lost_links.served(calls, function() return true end)
lib.say("served %d of %d", good, tried)
lost_links.check_healed(w)
lib.say("ok")
