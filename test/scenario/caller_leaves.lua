-- When callers disconnect in the middle of their streams, the engine's slots are
-- freed, what was delivered is billed, and the daemon serves the next request.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard({engines = {{place = "vantaa-hall",
  versions = {"linen-lm@1"}, faults = {token_ms = 50, slots = 4}}}})

local calls = {}
for i = 1, 4 do
  calls[i] = lib.chat_begin(c.daemons[1],
    {stream = true, tokens = 1000, prompt = "leaver" .. i})
end
for i = 1, 4 do
  lib.wait_until("stream " .. i .. " has begun", function()
    return #calls[i]:look().body > 0
  end)
end
for i = 1, 4 do calls[i]:leave() end
lib.wait_until("the engine's slots are free", function()
  local load = lib.http("GET", c.engines[1].address, "/load").json
  return load.running == 0
end)
lib.equal(c:counter(c.daemons[1], "callers_gone"), 4, "disconnected callers")
-- What was delivered to them is billed.
lib.wait_until("four bills", function()
  local _, total = c:bills()
  return total == 4
end)
lib.equal(lib.chat(c.daemons[1], {tokens = 2}).status, 200, "the next chat")
lib.say("ok")
