-- Clients use what the limits allow, one at a time, on a small VM. Guards against
-- bounds on the sum that refuse a single request within its limits.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local BODY_MAX, HEAD_MAX, IDLE_MS, HEADER_MS = 4 * 1024 * 1024, 65536, 2500, 1000
local w = words.world(1, 1, nil, {extra_settings =
    "limits.memory_mb=88\nlimits.max_fds=600\n",
  limits = {idle_timeout_ms = IDLE_MS, header_timeout_ms = HEADER_MS,
    max_body_bytes = BODY_MAX, max_header_bytes = HEAD_MAX}})
local d = w.daemons[1]

local requests = 0
local function head(fields)
  requests = requests + 1
  return string.format("POST /book/a HTTP/1.1\r\nHost: a.example\r\n" ..
    "Moortack-Attempt-Id: %s-%d\r\nMoortack-Credential: k1\r\n" ..
    "Moortack-Deadline-Ms: 20000\r\n%s", network, requests, fields)
end

local function send(socket, text)
  local at = 1
  while at <= #text do
    lib.wait_until("the bytes are sent", function()
      return run.write(socket, text:sub(at, at + 1023))
    end)
    at = at + 1024
  end
end

local function expect(socket, what, status)
  local text = ""
  lib.wait_until(what .. ": a response", function()
    text = text .. run.read(socket)
    return text:match("\r\n\r\n")
  end)
  lib.equal(text:match("^HTTP/1.1 (%d+)"), tostring(status or 200), what)
end

local function serve(what, text)
  local socket = run.connect(d.callers)
  send(socket, text)
  expect(socket, what)
  run.hang_up(socket)
end

lib.equal(words.call(d, "/book/a", {body = string.rep("x", BODY_MAX),
  deadline = 20000}).status, 200, "a body of the largest size")

local chunks = {}
for _ = 1, 20000 do chunks[#chunks + 1] = "1\r\nx\r\n" end
serve("a body in chunks of a byte", head("Transfer-Encoding: chunked\r\n\r\n") ..
  table.concat(chunks) .. "0\r\n\r\n")

local start = head("")
serve("a head of the largest size in tiny fields", start ..
  string.rep("a:\r\n", (HEAD_MAX - #start - 100) // 4) .. "\r\n")

local fields = {}
for i = 1, 60 do fields[i] = string.format("X-Field-%d: %d\r\n", i, i) end
serve("sixty headers", head(table.concat(fields)) .. "\r\n")

local socket = run.connect(d.callers)
send(socket, head("Expect: 100-continue\r\nContent-Length: 4\r\n\r\n"))
expect(socket, "100-continue", 100)
send(socket, "body")
expect(socket, "after 100-continue")
run.sleep(IDLE_MS * 4 // 5)
send(socket, head("\r\n"))
expect(socket, "a connection that was idle for four fifths of its limit")

-- Longer than the time for a head, and no pause as long.
send(socket, head("Content-Length: 40\r\n\r\n"))
for _ = 1, 40 do
  run.sleep(100)
  send(socket, "x")
end
expect(socket, "a slow upload")
run.hang_up(socket)
lib.say("ok")
