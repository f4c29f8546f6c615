-- An endpoint responds before it has read a long request, without a length, and its
-- connection breaks: guards against taking the part that came for the whole
-- response. One that ends its own side and reads on, or that responds with a
-- length, has responded whole.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local raw_endpoint = require("raw_endpoint")
local lib = words.lib
local w = words.world(1, 1)
local d = w.daemons[1]
local raw = raw_endpoint.start(w)
w:put("servers", w.replicas[1].id, nil)
raw:wait_endpoints(0)

local SIGNED = "Moortack-Attempt-Id: @ID@\r\n" ..
  "Moortack-Response-Signature: signed\r\n"
local UPLOAD = string.rep("0123456789abcdef", 3 << 16)
local PART = string.rep("part of a response\n", 400)
local GOOD = "HTTP/1.1 200 OK\r\n" .. SIGNED .. "Content-Length: 0\r\n\r\n"

local function upload(what, head, how, status)
  how.early = true
  raw:set(head .. SIGNED .. (how.length and "Content-Length: " .. #PART ..
    "\r\n" or "") .. "\r\n" .. PART, how)
  local response = words.call(d, "/book/a", {deadline = 5000, body = UPLOAD})
  lib.check(response.status == status, "%s: status %d, body of %d bytes", what,
    response.status, #response.body)
  lib.equal(response.body == PART, status < 500, "the body of " .. what)
  lib.equal(raw:ran(response.id), 1, "runs of " .. what)
  raw:set(GOOD)
  lib.equal(words.call(d, "/book/a").status, 200, "after " .. what)
end

raw:respond(GOOD)
local OK, MISSING = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 404 Not Found\r\n"
for _, after in ipairs({0, 1, 5, 20, 100}) do
  for _, ends in ipairs({"reset", "unread", "half_reset"}) do
    for _, head in ipairs({OK, MISSING}) do
      upload(string.format("%q, %s after %d ms", head, ends, after), head,
        {["end"] = ends, end_ms = after}, 502)
    end
  end
end
for _, head in ipairs({OK, MISSING}) do
  local status = tonumber(head:match(" (%d+) "))
  upload("half", head, {["end"] = "half"}, status)
  upload("a length, half", head, {["end"] = "half", length = true}, status)
  for _, after in ipairs({0, 0, 0, 1, 1, 100}) do
    for _, ends in ipairs({"reset", "unread"}) do
      upload(string.format("a length, %s after %d ms", ends, after), head,
        {["end"] = ends, end_ms = after, length = true}, status)
    end
  end
end

-- Without an upload on its way, a reset is none either, and a close is an end.
for ends, status in pairs({reset = 502, close = 200}) do
  raw:respond(OK .. SIGNED .. "\r\n" .. PART, {["end"] = ends})
  local response = words.call(d, "/book/a", {deadline = 5000})
  lib.equal(response.status, status, ends .. " after the request")
end
lib.say("ok")
