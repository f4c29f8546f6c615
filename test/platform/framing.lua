-- Request smuggling: input that can be parsed as one or as two messages is
-- refused, its connection is closed after the response, and no part of it runs.
-- Valid messages with unusual framing are served.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local w = words.world(1, 1)
local d = w.daemons[1]
local number = 0

local HIDDEN = "POST /book/hidden HTTP/1.1\r\nHost: a.example\r\n" ..
  "Moortack-Credential: k1\r\nContent-Length: 0\r\n\r\n"

local function head(lines, method, target)
  number = number + 1
  return string.format("%s %s HTTP/1.1\r\nHost: a.example\r\n" ..
    "Moortack-Attempt-Id: f%d\r\nMoortack-Credential: k1\r\n%s\r\n",
    method or "POST", target or "/book/1", number, lines)
end

-- Send bytes, read until the heads of all responses were received, and then for
-- 150 ms more.
local function exchange(bytes, responses)
  local socket = run.connect(d.callers)
  local text = ""
  run.write(socket, bytes)
  lib.wait_until("a response", function()
    text = text .. run.read(socket)
    local _, count = text:gsub("HTTP/1.1 %d+", "")
    return count >= (responses or 1)
  end)
  run.sleep(150)
  return text .. run.read(socket)
end

local function refused(what, bytes)
  local before = #w:runs(1)
  local text = exchange(bytes)
  lib.check(text:match("^HTTP/1.1 400 "), "%s: %s", what, text)
  lib.check(text:match("Connection: close"), "%s is not closed", what)
  local _, count = text:gsub("HTTP/1.1 %d+", "")
  lib.equal(count, 1, "responses to " .. what)
  lib.equal(#w:runs(1), before, "runs after " .. what)
end

local function served(what, bytes, responses)
  local before = #w:runs(1)
  local text = exchange(bytes, responses)
  lib.check(text:match("^HTTP/1.1 200 "), "%s: %s", what, text)
  lib.equal(#w:runs(1), before + (responses or 1), "runs of " .. what)
end

refused("two lengths", head("Content-Length: 4\r\nContent-Length: " ..
  #HIDDEN .. "\r\n") .. HIDDEN)
refused("a space before the colon",
  head("Content-Length : " .. #HIDDEN .. "\r\n") .. HIDDEN)
refused("a length together with chunks", head("Content-Length: 5\r\n" ..
  "Transfer-Encoding: chunked\r\n") .. "0\r\n\r\n" .. HIDDEN)
refused("an unknown encoding", head("Transfer-Encoding: xchunked\r\n") ..
  "0\r\n\r\n" .. HIDDEN)
refused("a second encoding", head("Transfer-Encoding: gzip, chunked\r\n") ..
  "0\r\n\r\n" .. HIDDEN)
refused("an unknown method", head("Content-Length: " .. #HIDDEN .. "\r\n",
  "FETCH") .. HIDDEN)
refused("a NUL", head("X-Odd: a\0b\r\nContent-Length: 0\r\n"))
refused("an absolute target", head("Content-Length: 0\r\n", "POST",
  "http://a.example/book/1"))
refused("two hosts", head("Host: b.example\r\nContent-Length: 0\r\n"))
refused("no request at all", "\22\3\1 hello\r\n\r\n")

served("chunks with an extension and a trailer",
  head("Transfer-Encoding: chunked\r\n") ..
  "4;a=b\r\nabcd\r\n0\r\nX-Sum: 1\r\n\r\n")
served("a body on DELETE", head("Content-Length: 4\r\n", "DELETE") .. "abcd")
served("two requests at once", head("Content-Length: 4\r\n") .. "abcd" ..
  head("Content-Length: 2\r\n") .. "ef", 2)

-- A request that is received in small pieces is one request.
local socket = run.connect(d.callers)
local before = #w:runs(1)
for piece in (head("Content-Length: 4\r\n") .. "abcd"):gmatch("..?.?") do
  run.write(socket, piece)
end
local text = ""
lib.wait_until("a response to a request in pieces", function()
  text = text .. run.read(socket)
  return text:match("^HTTP/1.1 200 ") ~= nil
end)
lib.equal(#w:runs(1), before + 1, "runs of a request in pieces")

-- Headers longer than the configured limit.
local large = exchange(head("X: " .. string.rep("x", 70000) .. "\r\n"))
lib.check(large:match("^HTTP/1.1 431 "), "a large head: %.60s", large)
lib.say("ok")
