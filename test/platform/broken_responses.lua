-- Endpoints whose responses break the grammar of HTTP: guards against passing them
-- on, against reading any field of a broken head, and against repeating a request
-- that may have run. Sound responses of unusual form are served.
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
local NOT_RUN = "Moortack-Attempt-Id: @ID@\r\nMoortack-Not-Executed: 1\r\n"
local OK = "HTTP/1.1 200 OK\r\n"
local BODY = "Content-Length: 5\r\n\r\ndone\n"
local CHUNKS = "Transfer-Encoding: chunked\r\n\r\n"
local EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
local ROUTES = {{"GET", "/scan/a"}, {"POST", "/book/a"}, {"POST", "/stream/a"}}

-- How many responses the daemon found to have this defect.
local function bad_responses(defect)
  local text = lib.http("GET", d.metrics, "/metrics").body
  return tonumber(text:match('bad_responses_total{defect="' .. defect ..
    '"} (%d+)'))
end

local function chunk(text) return string.format("%x\r\n%s\r\n", #text, text) end

local broken = {
  ["status 000"] = "HTTP/1.1 000 Zero\r\n" .. SIGNED .. BODY,
  ["status 042"] = "HTTP/1.1 042 Low\r\n" .. SIGNED .. BODY,
  ["status of two digits"] = "HTTP/1.1 20 Short\r\n" .. SIGNED .. BODY,
  ["status with a blank"] = "HTTP/1.1 2 00\r\n" .. SIGNED .. BODY,
  ["status 0200"] = "HTTP/1.1 0200 OK\r\n" .. SIGNED .. BODY,
  ["status 101"] = "HTTP/1.1 101 Switching\r\n" .. SIGNED .. BODY,
  ["status 600"] = "HTTP/1.1 600 High\r\n" .. SIGNED .. BODY,
  ["status 999"] = "HTTP/1.1 999 High\r\n" .. SIGNED .. BODY,
  ["version 2.0"] = "HTTP/2.0 200 OK\r\n" .. SIGNED .. BODY,
  ["version 9.9"] = "HTTP/9.9 200 OK\r\n" .. SIGNED .. BODY,
  ["protocol HTTQ"] = "HTTQ/1.1 200 OK\r\n" .. SIGNED .. BODY,
  ["blank in a name"] = OK .. SIGNED .. "X Y: 1\r\n" .. BODY,
  ["blank in a name, 404"] = "HTTP/1.1 404 No\r\n" .. SIGNED .. "X Y: 1\r\n" ..
    BODY,
  ["blank before a colon"] = OK .. SIGNED .. "X : 1\r\n" .. BODY,
  ["control byte in a name"] = OK .. SIGNED .. "X\1Y: 1\r\n" .. BODY,
  ["NUL in a name"] = OK .. SIGNED .. "X\0Y: 1\r\n" .. BODY,
  ["control byte in a value"] = OK .. SIGNED .. "X: a\1b\r\n" .. BODY,
  ["length with a blank"] = OK .. SIGNED .. "Content-Length : 3\r\n" .. BODY,
  ["length in two words"] = OK .. SIGNED .. "Content Length: 3\r\n\r\ndone\n",
  ["folded line"] = OK .. SIGNED .. "X: 1\r\n more\r\n" .. BODY,
  ["folded first line"] = OK .. " X: 1\r\n" .. SIGNED .. BODY,
  ["encoding foo"] = OK .. SIGNED .. "Transfer-Encoding: foo\r\n\r\ndone\n",
  ["encoding chunked, foo"] = OK .. SIGNED ..
    "Transfer-Encoding: chunked, foo\r\n\r\n" .. chunk("done\n") ..
    "0\r\n\r\n",
  ["encoding chun ked"] = OK .. SIGNED .. "Transfer-Encoding: chun ked\r\n" ..
    "\r\n" .. chunk("done\n") .. "0\r\n\r\n",
  ["two lengths"] = OK .. SIGNED .. "Content-Length: 3\r\n" .. BODY,
  ["length beside chunks"] = OK .. SIGNED .. "Content-Length: 5\r\n" .. CHUNKS ..
    chunk("done\n") .. "0\r\n\r\n",
  ["chunk without its end"] = OK .. SIGNED .. CHUNKS .. "5\r\ndone\nXX0\r\n\r\n",
  ["trailer with a blank"] = OK .. SIGNED .. CHUNKS .. chunk("done\n") ..
    "0\r\nX Y: 1\r\n\r\n",
  ["interim head with a blank"] = "HTTP/1.1 103 Hints\r\nX Y: 1\r\n\r\n" .. OK ..
    SIGNED .. BODY,
  ["refusal with a blank"] = "HTTP/1.1 503 Busy\r\n" .. NOT_RUN ..
    "X Y: 1\r\nContent-Length: 0\r\n\r\n",
  ["refusal with status 000"] = "HTTP/1.1 000 Zero\r\n" .. NOT_RUN ..
    "Content-Length: 0\r\n\r\n",
}

local sound = {
  ["names of all token characters"] = OK .. SIGNED .. "!#$%&'*+-.^_`|~09azAZ: 1\r\n" ..
    BODY,
  ["high bytes and tabs in a value"] = OK .. SIGNED .. "X: a\tb \xc3\xa9\xff\r\n" ..
    BODY,
  ["an empty value"] = OK .. SIGNED .. "X:\r\n" .. BODY,
  ["an empty reason"] = "HTTP/1.1 200 \r\n" .. SIGNED .. BODY,
  ["HTTP/1.0"] = "HTTP/1.0 200 OK\r\n" .. SIGNED .. BODY,
  ["103 before 200"] = "HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n" .. OK ..
    SIGNED .. BODY,
  ["status 299"] = "HTTP/1.1 299 Odd\r\n" .. SIGNED .. BODY,
  ["status 404"] = "HTTP/1.1 404 No\r\n" .. SIGNED .. BODY,
  ["chunks with a trailer"] = OK .. SIGNED .. CHUNKS .. chunk("done\n") ..
    "0\r\nX-Sum: 1\r\n\r\n",
}

local GOOD = OK .. SIGNED .. BODY

-- A request that may run at most once, at the only endpoint.
local function book(what, status)
  local response = words.call(d, "/book/a", {deadline = 3000})
  lib.check(response.status == status, "%s: status %d, body %q", what,
    response.status, response.body)
  lib.equal(raw:ran(response.id), 1, "runs of " .. what)
  return response, raw:connection(response.id)
end

-- On a connection that is kept, and on a new one: the caller learns that the
-- request may have run. The connection is not used again.
raw:respond(GOOD)
for name, bytes in pairs(broken) do
  local _, first = book("a first response", 200)
  raw:set(bytes)
  local kept_response, kept = book(name .. ", kept", 502)
  local new_response, new = book(name, 502)
  raw:set(GOOD)
  local _, next_one = book("a next response", 200)
  lib.equal(kept, first, "connection of " .. name .. ", kept")
  lib.check(new ~= kept and next_one ~= new, "%s: connections %d, %d, %d", name,
    kept, new, next_one)
  for _, response in ipairs({kept_response, new_response}) do
    lib.check(not response.body:match("done"), "%s: passed on", name)
  end
end

-- Each was counted by its defect, twice.
for defect, count in pairs({status = 6, status_line = 4, version = 2,
    field_name = 10, field_value = 1, folded_line = 2, encoding = 3, length = 2,
    chunk = 1, reset = 0}) do
  lib.equal(bad_responses(defect), 2 * count, "responses with " .. defect)
end

-- Requests that may be repeated: no other endpoint can serve them.
for _, name in ipairs({"status 000", "blank in a name",
    "refusal with a blank"}) do
  for _, route in ipairs({ROUTES[1], ROUTES[3]}) do
    raw:respond(broken[name])
    local response = words.call(d, route[2], {method = route[1],
      deadline = 3000})
    lib.equal(response.status, 502, name .. ", " .. route[2])
    lib.check(raw:ran(response.id) > 0, "%s: not sent", name)
  end
end

raw:respond(GOOD)
for name, bytes in pairs(sound) do
  for i = 1, 2 do
    local route = ROUTES[i]
    raw:set(bytes)
    local response = words.call(d, route[2], {method = route[1],
      deadline = 3000})
    local status = tonumber(bytes:match("HTTP/1.%d ([2-5]%d%d)"))
    lib.equal(response.status, status, name .. ", " .. route[2])
    lib.equal(response.body, "done\n", "body of " .. name)
    lib.equal(raw:ran(response.id), 1, "runs of " .. name)
  end
end

-- Requests that may be repeated are served by another endpoint, once.
w:replica(1)
raw.others = 1
w:faults(1, {events = 4, pause_ms = 5})
for name, bytes in pairs({["status 000"] = broken["status 000"],
    ["blank in a name"] = broken["blank in a name"],
    ["chunk without its end, after events"] = OK .. SIGNED ..
      "Content-Type: text/event-stream\r\n" .. CHUNKS .. chunk(EVENTS) ..
      "3\r\nid:XX"}) do
  for _, path in ipairs({"/scan/a", "/stream/a"}) do
    raw:respond(bytes)
    local at_raw = 0
    for _ = 1, 40 do
      local response = words.call(d, path,
        {method = path == "/scan/a" and "GET" or "POST", deadline = 3000})
      lib.equal(response.status, 200, name .. ", repeated, " .. path)
      if path == "/scan/a" then
        lib.equal(response.body, "done\n", "body, " .. name)
      else
        lib.check(words.whole(response.body, 4), "%s: %s", name, response.body)
      end
      at_raw = at_raw + raw:ran(response.id)
      if at_raw > 0 then break end
    end
    lib.check(at_raw > 0, "%s: no %s at the raw endpoint", name, path)
  end
end
lib.say("ok")
