-- A caller that sends its next request before it has the response to the previous
-- one must not make the daemon exit (libevent 2.1 exits on that unless its read
-- callback is removed).
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard({engines = {{place = "vantaa-hall",
  versions = {"linen-lm@1"}, faults = {token_ms = 150}}}})

local body = run.encode({model = "linen-lm", stream = true, max_tokens = 6,
  messages = {{role = "user", content = "one"}}})
local head = "POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\n" ..
  "Authorization: Bearer pyykki-dock-key\r\nContent-Length: " .. #body ..
  "\r\n\r\n"
local socket = run.connect(c.daemons[1].address)
-- The first response starts after 300 ms: the second request arrives before that,
-- the third in the middle of a response.
run.write(socket, head .. body)
run.sleep(80)
run.write(socket, head .. body)
run.sleep(500)
run.write(socket, head .. body)
local text = ""
lib.wait_until("three responses on one connection", function()
  text = text .. run.read(socket)
  local _, count = text:gsub("%[DONE%]", "")
  return count == 3
end)
lib.equal(lib.chat(c.daemons[1], {tokens = 2}).status, 200, "the next chat")
lib.say("ok")
