-- The table's head goes backwards: that is an alarm and no configuration.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard()
local held = c:set_version("linen-lm@2", "live")

lib.http("POST", c.store.address, "/table/txn",
  {body = {puts = {{key = "head", value = tostring(held - 1)}}}})
for i = 1, 3 do
  lib.wait_until("daemon " .. i .. " raises the alarm", function()
    return c:counter(c.daemons[i], "store_behind") > 0
  end)
  lib.equal(c:status(c.daemons[i]).held, held, "what daemon " .. i .. " holds")
end
-- Peers vouch meanwhile, so work goes on.
run.sleep(2500)
lib.equal(lib.chat(c.daemons[1], {}).status, 200, "chat with the head behind")
lib.http("POST", c.store.address, "/table/txn",
  {body = {puts = {{key = "head", value = tostring(held)}}}})
c:set_version("linen-lm@2", "draining")
lib.say("ok")
