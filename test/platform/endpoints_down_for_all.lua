-- Guards against taking endpoints that are down for lost links: nothing is sent on
-- through other VMs, which don't reach them either, and callers are refused at
-- once.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lost_links = require("lost_links")
local lib = words.lib
local w = lost_links.world()
local ALL = {1, 2, 3, 4, 5, 6, 7}
local REFUSED_MS = 1000

local function check_refused(what)
  local refused, calls, before = {}, {}, {}
  -- Endpoints go down one after the other: others may reach some for a moment.
  lost_links.load(w, 1500, calls)
  for i, daemon in ipairs(w.daemons) do
    before[i] = words.metric(daemon, "forwards_total")
  end
  lost_links.load(w, 3000, calls)
  for _, call in ipairs(calls) do call:finish() end
  for i in ipairs(w.daemons) do
    for _ = 1, 3 do
      local call = lost_links.try(w, i, "/scan/a")
      local begun = run.now()
      lib.check(call:finish().status ~= 200, "served although all are down")
      refused[#refused + 1] = run.now() - begun
    end
  end
  table.sort(refused)
  lib.say("%s: refused after %d ms, %d at most", what, refused[#refused // 2],
    refused[#refused])
  lib.check(refused[#refused] <= REFUSED_MS, "refused after %d ms",
    refused[#refused])
  for i, daemon in ipairs(w.daemons) do
    lib.equal(words.metric(daemon, "forwards_total"), before[i],
      "requests sent on by daemon " .. i)
  end
end

w:links(ALL, "lost")
check_refused("packets lost")
w:links({})
lost_links.check_healed(w)
for _, replica in ipairs(w.replicas) do replica:kill() end
check_refused("killed")
lib.say("ok")
