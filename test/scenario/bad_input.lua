-- Invalid input gets a typed error, which says whether the request ran, and ends no
-- daemon.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard()
local KEY = lib.ORGANISATIONS["pyykki-dock"].key
local d = c.daemons[1]

local function refused(what, type, status, method, path, options)
  local response = lib.http(method, d.address, path, options)
  lib.equal(response.status, status, what .. ": status")
  lib.check(response.json and response.json.error, "%s: no error in %s", what,
    response.body)
  lib.equal(response.json.error.type, type, what .. ": type")
  lib.check(response.json.error.message ~= "", "%s: no message", what)
  return response
end
local function chat(what, type, status, body, headers, key)
  return refused(what, type, status, "POST", "/v1/chat/completions",
    {key = key or KEY, body = body, headers = headers})
end
local good = {model = "linen-lm",
  messages = {{role = "user", content = "x"}}}

chat("malformed JSON", "bad_request", 400, "{\"model\": ")
chat("not an object", "bad_request", 400, "[1]")
chat("duplicate field", "bad_request", 400, "{\"model\":1,\"model\":2}")
chat("empty body", "bad_request", 400, "")
chat("no messages", "bad_request", 400, {model = "linen-lm"})
chat("unknown model", "not_allowed", 403,
  {model = "nothing", messages = good.messages})
chat("a service as a model", "not_allowed", 403,
  {model = "dock-app", messages = good.messages})
chat("wrong key", "authentication", 401, good, nil, "wrong")
refused("no key", "authentication", 401, "POST", "/v1/chat/completions",
  {body = good})
chat("forged session", "session_token", 400, good,
  {["Moortack-Session"] = "AQEaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"})
chat("forged ticket", "ticket_invalid", 400, good,
  {["Moortack-Ticket"] = "no"})
chat("bad deadline", "bad_request", 400, good,
  {["Moortack-Deadline-Ms"] = "soon"})
chat("bad idempotency key", "bad_request", 400, good,
  {["Idempotency-Key"] = "a/b c"})
refused("unknown path", "not_found", 404, "GET", "/nothing", {})
refused("booking without a ticket", "ticket_required", 400, "POST",
  "/v1/services/buchungsdienst/book",
  {key = lib.ORGANISATIONS["fachschule"].key, body = {kiln = 1}})
refused("another organisation's service", "not_allowed", 403, "POST",
  "/v1/services/buchungsdienst/book", {key = KEY, body = {kiln = 1}})

-- A ticket and a session of one organisation aren't valid for another.
local ticket = lib.ticket(d, "fachschule")
chat("another organisation's ticket", "ticket_invalid", 400, good,
  {["Moortack-Ticket"] = ticket})
local school = lib.chat(c.daemons[3], {organisation = "fachschule",
  model = "ofenrat"})
chat("another organisation's session", "session_token", 400, good,
  {["Moortack-Session"] = school.headers["Moortack-Session"]})

-- Operators.
local function plan(what, type, status, body, key)
  return refused(what, type, status, "POST", "/admin/plan",
    {key = key or lib.OPERATOR_KEY, body = body})
end
plan("no changes", "bad_request", 400, {changes = {}})
plan("an unknown kind", "bad_request", 400,
  {changes = {{set = "thing", name = "x", value = {a = 1}}}})
plan("an unknown field", "bad_request", 400,
  {changes = {{set = "place", name = "x", value = {colour = "red"}}}})
plan("an undeclared place", "bad_request", 400, {changes = {{
  set = "organisation", name = "pyykki-dock", value = {places = {"moon"}}}}})
plan("more than 100 percent", "bad_request", 400, {changes = {
  {set = "version", name = "linen-lm@1",
    value = {state = "rolling", percent = 60}},
  {set = "version", name = "linen-lm@2",
    value = {state = "rolling", percent = 60}}}})
plan("a caller's key", "authentication", 401,
  {changes = {{remove = "place", name = "x"}}}, KEY)
plan("a place in use", "bad_request", 400,
  {changes = {{remove = "place", name = "vantaa-hall"}}})
plan("a kind that the operator's key excludes", "forbidden", 403, {changes = {{
  set = "version", name = "linen-lm@1", value = {state = "withdrawn"}}}},
  lib.LIMITED_KEY)
refused("unknown plan", "not_found", 404, "POST", "/admin/confirm/0123",
  {key = lib.OPERATOR_KEY, body = {}})

-- A body and a header that are too large are refused by the HTTP library, and the
-- daemon goes on serving.
local big = lib.http("POST", d.address, "/v1/chat/completions",
  {key = KEY, body = string.rep("x", 2 * 1024 * 1024)})
lib.check(big.status == 413 or big.status == 0, "a body that is too large: %d",
  big.status)
local socket = run.connect(d.address)
run.write(socket, "GET / HTTP/1.1\r\nX: " .. string.rep("y", 40000) ..
  "\r\n\r\n")
-- An earlier sending under its ticket may have run, so no refusal says that it did not.
local ticketed = run.connect(d.address)
run.write(ticketed, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n" ..
  "Moortack-Ticket: x\r\nContent-Length: 99999999\r\n\r\n")
local refusal = ""
lib.wait_until("a refusal at its head", function()
  refusal = refusal .. run.read(ticketed)
  return refusal:find('"ran":"%w')
end)
lib.equal(refusal:match('"ran":"([%w_]+)"'), "unknown",
  "a body that is too large, under a ticket")
local junk = run.connect(d.address)
run.write(junk, string.rep("\0\255\r\n", 5000))
run.sleep(200)
lib.equal(lib.chat(d, {}).status, 200, "the next chat")

-- An invalid setting keeps the daemon from starting, and the error names it.
local function setting(what, name, value, expected)
  local daemon = c:daemon_start(9, "vantaa-hall", {[name] = value})
  c.daemons[9] = nil
  lib.equal(daemon:wait(), 2, what .. ": exit status")
  local file = io.open(daemon.log)
  local text = file:read("a")
  file:close()
  lib.check(text:find(expected, 1, true), "%s: got %s", what, text)
  os.remove(daemon.log)
end
setting("out of range", "head-ms", 7, "head-ms is '7'; allowed: a whole " ..
  "number from 50 to 10000 ms (from flag --head-ms)")
setting("contradictory", "fresh-ms", 300, "fresh-ms at least twice head-ms")
setting("unknown", "no-such", 1, "--no-such")
setting("no address", "store", "nowhere", "store is 'nowhere'")
lib.say("ok")
