-- Crowds of several kinds come to all ports at once, while the limits are lowered by
-- SIGHUP, while the store is away, and while the process leaves. Guards against
-- bounds that hold for one kind, one port or the limits of the start only.
package.path = script_dir .. "/?.lua;" .. package.path
local crowd = require("crowd")
local words, lib = crowd.words, crowd.lib
local before = {memory_mb = 48, max_fds = 600}
local after = {memory_mb = 40, max_fds = 500}
local w = crowd.world(before)
local d = w.daemons[1]
local watch = crowd.watch(d, before.memory_mb * 1024,
  before.max_fds - crowd.DESCRIPTORS_RESERVED)

local function crowds()
  local ahead = crowd.body("callers", 1)
  ahead.suffix, ahead.unit, ahead.units = "", "x", 512 * 1024
  local clients = {}
  for _, group in ipairs({
    {"callers", 12, crowd.body("callers", crowd.BODY_MAX)},
    {"callers", 12, crowd.body("callers", 4 * crowd.BODY_MAX)},
    {"callers", 60, crowd.body("callers", 200 * 1024)},
    {"callers", 30, crowd.chunks("callers", 200000, 1)},
    {"callers", 12, {unit = "GET /none HTTP/1.1\r\nHost: a.example\r\n\r\n",
      units = 10000, reads = false}},
    {"callers", 60, ahead},
    {"callers", 150, {}},
    {"forward", 40, crowd.fields("forward", crowd.HEAD_MAX - 64)},
    {"forward", 12, crowd.body("forward", crowd.BODY_MAX)},
    {"registry", 40, crowd.fields("registry", crowd.HEAD_MAX - 64)},
    {"readiness", 150, {}},
    {"metrics", 12, crowd.body("metrics", 4 * crowd.BODY_MAX)},
  }) do
    clients[#clients + 1] = crowd.start(crowd.address(d, group[1]), group[2],
      group[3])
  end
  return clients
end

local function stop(clients)
  for _, group in ipairs(clients) do group:stop() end
end

watch:ordinary("before")
local clients = crowds()
watch:settle(clients)
watch:ordinary("all crowds")
watch:check("all crowds")

-- The limits are lowered beside them.
w.extra_settings = crowd.settings(after)
local text, path = w:settings(1)
local file = assert(io.open(path, "w"))
file:write(text)
file:close()
local bytes_max = words.metric(d, "inbound_bytes_max")
d:signal("HUP")
lib.wait_until("the lower limits are in force", function()
  return words.metric(d, "inbound_bytes_max") < bytes_max
end)
lib.check(words.metric(d, "inbound_bytes") <=
  words.metric(d, "inbound_bytes_max"),
  "the connections hold more than the lower limit")
watch:ordinary("lower limits")
watch:check("limits of the start")
stop(clients)
watch:ordinary("between")
lib.wait_until("they are gone", function()
  return words.metric(d, "inbound_connections") < 10
end)
watch.descriptors, watch.descriptors_max = 0,
  after.max_fds - crowd.DESCRIPTORS_RESERVED

-- The store is away while they come again.
lib.fault(w.store.address, {down = true})
clients = crowds()
watch:settle(clients)
lib.fault(w.store.address, {down = false})
words.wait_ready(d)
watch:ordinary("after the outage")
watch:check("lowered limits, store away")

-- The process leaves beside them.
d:signal("TERM")
lib.equal(d:wait(60000), 0, "the daemon's exit status")
stop(clients)
lib.say("ok")
