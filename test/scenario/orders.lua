-- A withdrawn version is unloaded at every engine, by one daemon at a time under a
-- lease. Guards against late orders of a daemon that was suspended until its lease
-- had expired: they do no harm, even at an engine that ignores fencing numbers.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard()
lib.fault(c.engines[2].address, {ignore_fence = true})

local function has(engine, version)
  return lib.http("GET", engine.address, "/load").json.versions[version] ~= nil
end
local function holder()
  local response = lib.http("POST", c.store.address, "/table/get",
    {body = {keys = {"lease/orders"}}})
  local text = response.json.values["lease/orders"]
  return text and run.decode(text)
end
c:set_version("linen-lm@2", "withdrawn")
for i = 1, 2 do
  lib.wait_until("engine " .. i .. " unloaded the version", function()
    return not has(c.engines[i], "linen-lm@2")
  end)
  lib.check(has(c.engines[i], "linen-lm@1"), "the other version stays loaded")
end
local first = holder()
lib.equal(first.fence, 1, "fence of the first holder")
local sender = 0
for i = 1, 3 do
  if #c:events("order_sent", c.daemons[i]) > 0 then sender = i end
end
lib.check(sender > 0, "a daemon sent an order")

-- The holder is suspended, and the version is loaded again at the engines, as it may
-- be at an engine that restarts. Another daemon takes over with a higher fence.
c.daemons[sender]:stop()
for i = 1, 2 do
  lib.http("POST", c.engines[i].address, "/orders",
    {body = {op = "load", version = "linen-lm@2", fence = 1}})
end
local other = c.daemons[sender % 3 + 1]
for i = 1, 2 do
  lib.wait_until("engine " .. i .. " unloaded it again", function()
    return not has(c.engines[i], "linen-lm@2")
  end, 40000)
end
lib.check(holder().fence > first.fence, "the fence increased")
c.daemons[sender]:continue()
run.sleep(1500)
for i = 1, 2 do
  lib.check(has(c.engines[i], "linen-lm@1"), "the live version stays loaded")
end
lib.equal(lib.chat(other, {}).status, 200, "chat")
lib.say("ok")
