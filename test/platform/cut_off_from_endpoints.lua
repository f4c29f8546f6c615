-- Guards against refusing callers of a VM that has lost its links to all
-- endpoints while other VMs reach them.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lost_links = require("lost_links")
local lib = words.lib
local w = lost_links.world()

local cuts = {
  {"one VM, packets lost", {1}, "lost"},
  {"one VM, new connections refused", {2}, "refused"},
  {"half of the VMs, lost one way", {1, 3, 5}, "lost_one_way"},
  {"a zone, packets lost", {1, 4, 7}, "lost"},
  {"all but one, new connections refused", {1, 2, 3, 4, 5, 6}, "refused"},
}
for _, cut in ipairs(cuts) do
  w:links(cut[2], cut[3])
  lost_links.check_served(w, cut[1], cut[2])
  w:links({})
  lost_links.check_healed(w)
end
lib.say("ok")
