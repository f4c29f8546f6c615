-- A daemon gets SIGTERM while callers go on to use their open connections. Guards
-- against requests that it takes and cuts at its end: those that it can't finish
-- are refused as not run, and those that it can are served.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local LONG_MS = 5000 -- longer than the 4 s of grace
local w = words.world(2, 1)

w.version = w.version + 3
local function route(name, kind, fields)
  local all = {name = name, host = "a.example", prefix = "/" .. name .. "/",
    type = kind, service = "lm", max_attempts = 1, timeout_ms = 8000,
    slo_ms = 1000, priority = 1}
  for k, v in pairs(fields or {}) do all[k] = v end
  return all
end
w:put("op", "config", {version = w.version, routes = {
    route("long", "unsafe"), route("short", "unsafe", {timeout_ms = 1200}),
    route("book", "unsafe")},
  services = {{name = "lm", max_conns = 400}},
  tenants = {{name = "t1", api_keys = {"k1"}}}})
local daemon = w.daemons[1]
lib.wait_until("the configuration is in force", function()
  return words.metric(daemon, "config_version") == w.version
end)
local function work(ms)
  for i = 1, 2 do w:faults(i, {work_ms = ms}) end
end

-- The daemon learns how long requests of the route take.
work(LONG_MS)
lib.equal(words.call(daemon, "/long/a").status, 200, "a long request")
work(100)
lib.equal(words.call(daemon, "/short/a").status, 200, "a short request")

local function send(connection, path, id)
  run.write(connection, string.format("POST %s HTTP/1.1\r\nHost: a.example\r\n" ..
    "Moortack-Attempt-Id: %s\r\nMoortack-Deadline-Ms: 8000\r\n" ..
    "Moortack-Credential: k1\r\nContent-Length: 0\r\n\r\n", path, id))
end
-- Returns the status of the response, 0 if none comes, and its text.
local function receive(connection, limit)
  local text = ""
  local finish = run.now() + limit
  while not text:match("\r\n\r\n") and run.now() < finish do
    text = text .. run.read(connection)
    run.sleep(20)
  end
  return tonumber(text:match("^HTTP/1.1 (%d+)")) or 0, text
end
local connections = {}
for i = 1, 6 do
  connections[i] = run.connect(daemon.callers)
  -- One that has been used is kept open, too.
  if i % 2 == 0 then
    send(connections[i], "/short/a", "before-" .. i)
    lib.equal(receive(connections[i], 1000), 200, "before")
  end
end

daemon:signal("TERM")
local since = run.now()
run.sleep(200)
-- Early on: what is known to take too long is refused.
work(LONG_MS)
send(connections[1], "/long/a", "long-early")
local code, text = receive(connections[1], LONG_MS)
lib.equal(code, 503, "a request of a route known to be long")
lib.check(text:lower():match("connection: close"), "its connection stays open")
-- Later: what might take too long.
run.sleep(since + 1100 - run.now())
send(connections[2], "/book/a", "long-late")
lib.equal(receive(connections[2], LONG_MS), 503, "a request that might take too long")
work(300)
send(connections[3], "/short/a", "short-late")
lib.equal(receive(connections[3], LONG_MS), 200, "a request that ends in time")
lib.equal(w:ran("long-early") + w:ran("long-late"), 0, "runs")
lib.equal(w:ran("short-late"), 1, "runs of the short one")
-- The connections that are idle are closed, and the process ends.
daemon:wait(5000)
for i = 4, 6 do lib.equal(run.read(connections[i]), "", "bytes") end
lib.say("ok")
