-- A service whose responses break the grammar of HTTP, behind moortackd: guards
-- against passing them on, and against believing that a request did not run.
package.path = script_dir .. "/?.lua;" .. package.path
local raw_endpoint = require("raw_endpoint")
local lib = require("lib")
local c = lib.standard()
local d = c.daemons[1]
local raw = raw_endpoint.start()
local BODY = "Content-Length: 11\r\n\r\n{\"done\": 1}"
local OK = "HTTP/1.1 200 OK\r\n"
local CHUNKED = OK .. "Transfer-Encoding: chunked\r\n\r\nb\r\n{\"done\": 1}"
local GOOD = OK .. BODY

local function book()
  return lib.book(d, {organisation = "pyykki-dock", service = "dock-app",
    ticket = lib.ticket(d, "pyykki-dock")})
end

local function wait_served()
  raw:set(GOOD)
  lib.wait_until("the service responds", function()
    return book().status == 200
  end)
end

-- The service's only VM is replaced by the raw one.
raw:set(GOOD)
c.services[1].address = raw.link
c:list_vms()
local posts = raw:posts()
lib.wait_until("the raw service is known", function()
  book()
  return raw:posts() > posts
end)

for name, bytes in pairs({
    ["status 000"] = "HTTP/1.1 000 Zero\r\n" .. BODY,
    ["status 0200"] = "HTTP/1.1 0200 OK\r\n" .. BODY,
    ["status 999"] = "HTTP/1.1 999 High\r\n" .. BODY,
    ["protocol HTTQ"] = "HTTQ/1.1 200 OK\r\n" .. BODY,
    ["blank in a name"] = OK .. "X Y: 1\r\n" .. BODY,
    ["blank before a colon"] = OK .. "X : 1\r\n" .. BODY,
    ["control byte in a name"] = OK .. "X\1Y: 1\r\n" .. BODY,
    ["folded line"] = OK .. "X: 1\r\n more\r\n" .. BODY,
    ["two lengths"] = OK .. "Content-Length: 11\r\n" .. BODY,
    ["encoding foo"] = OK .. "Transfer-Encoding: foo\r\n" .. BODY,
    ["chunk without its end"] = CHUNKED .. "XX0\r\n\r\n",
    ["trailer with a blank"] = CHUNKED .. "\r\n0\r\nX Y: 1\r\n\r\n",
    ["refusal with a blank"] = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n" ..
      "X Y: 1\r\nContent-Length: 0\r\n\r\n"}) do
  wait_served()
  posts = raw:posts()
  raw:set(bytes)
  local response = book()
  lib.check(response.status >= 500, "%s: status %d, %s", name, response.status,
    response.body)
  lib.equal(response.json.error.ran, "unknown", "ran of " .. name)
  lib.equal(raw:posts(), posts + 1, "runs of " .. name)
end

for name, bytes in pairs({
    ["all token characters"] = OK .. "!#$%&'*+-.^_`|~09azAZ: 1\r\n" .. BODY,
    ["high bytes and tabs"] = OK .. "X: a\tb \xc3\xa9\xff\r\n" .. BODY,
    ["an empty value and reason"] = "HTTP/1.1 200 \r\nX:\r\n" .. BODY,
    ["HTTP/1.0"] = "HTTP/1.0 200 OK\r\n" .. BODY,
    ["a trailer"] = CHUNKED .. "\r\n0\r\nX-Sum: 1\r\n\r\n"}) do
  wait_served()
  raw:set(bytes)
  local response = book()
  lib.equal(response.status, 200, name .. ", sound")
  lib.equal(response.json.done, 1, "body, " .. name)
end
lib.say("ok")
