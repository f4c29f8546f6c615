-- Guards against losing requests that are sent on through another VM, or running
-- them twice, when that VM is lost as well.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lost_links = require("lost_links")
local lib = words.lib
local w = lost_links.world()
local CUT = {1, 2}

-- Loses one helper after the other while requests of all kinds are sent to the
-- daemons that are cut off.
local function lose(what, i, begin, finish)
  local before, calls = {}, {}
  lost_links.load(w, 1000, before, CUT)
  begin(i)
  w.daemons[i].lost = true
  lost_links.load(w, 3000, calls, CUT)
  lost_links.finish(w, before)
  lost_links.finish(w, calls)
  finish(i)
  local good, tried = lost_links.served(calls, function() return true end)
  lib.say("%s: served %d of %d", what, good, tried)
  -- A booking that was with the helper has an unknown outcome.
  lib.check(good >= tried * 9 / 10, "%s: served %d of %d", what, good, tried)
end

w:links(CUT, "lost")
local ignored = {}
lost_links.load(w, 3000, ignored, CUT)
lost_links.finish(w, ignored)
lib.check(words.metric(w.daemons[1], "forwards_total") > 0, "none sent on")

lose("killed", 3, function(i) w.daemons[i]:kill() end, function() end)
lose("frozen", 4, function(i) w.daemons[i]:signal("STOP") end,
  function(i) w.daemons[i]:signal("CONT") end)
lose("terminated", 5, function(i) w.daemons[i]:signal("TERM") end,
  function() end)
CUT = {1, 2, 6}
lose("cut off itself", 6, function() w:links({1, 2, 6}, "lost") end,
  function() end)

-- A request is sent on once, and not by the daemon that it was sent on to.
local senders = {}
for i in ipairs(w.daemons) do
  local log = io.open(string.format("%s/scenario-logs/%s/daemon%d.log", build,
    network, i))
  for line in log:lines() do
    local id = line:match("event=forward id=(%S+)")
    if id then
      lib.check((senders[id] or i) == i, "%s is sent on by daemons %d and %d",
        id, senders[id] or 0, i)
      senders[id] = i
    end
  end
  log:close()
end

-- Strangers can't have requests handled as those of daemons.
local port = w.daemons[7].callers:gsub(":%d+$", ":8105")
for _, text in ipairs({"", "QUJD", "overload 1"}) do
  local response = lib.http("POST", port, "/book/stranger", {body = "b",
    headers = {["Host"] = "a.example", ["Moortack-Credential"] = "k1",
      ["Moortack-Attempt-Id"] = "stranger", ["Moortack-Forwarded"] = text}})
  lib.equal(response.status, 503, "status of a stranger's request")
end
lib.equal(w:ran("stranger"), 0, "runs of a stranger's request")
lib.say("ok")
