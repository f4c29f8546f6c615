-- The head in the store goes back to an earlier revision: each daemon must
-- count this as an error and keep the revision that it holds.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard()
local held = c:set_version("linen-lm@2", "live")

lib.http("POST", c.store.address, "/table/txn",
  {body = {puts = {{key = "head", value = tostring(held - 1)}}}})
for i = 1, 3 do
  lib.wait_until("daemon " .. i .. " counts the outdated head", function()
    return c:counter(c.daemons[i], "store_behind") > 0
  end)
  lib.equal(c:status(c.daemons[i]).held, held, "revision held by daemon " .. i)
end
-- Responses from peers keep the configuration fresh, so requests are accepted.
run.sleep(2500)
lib.equal(lib.chat(c.daemons[1], {}).status, 200,
  "chat while the head is outdated")
lib.http("POST", c.store.address, "/table/txn",
  {body = {puts = {{key = "head", value = tostring(held)}}}})
c:set_version("linen-lm@2", "draining")
lib.say("ok")
