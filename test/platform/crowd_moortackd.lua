-- Clients of moortackd send bodies but for the last byte, or only connect. Guards
-- against keeping all of them: each is within its limit, their sum is not bounded.
package.path = script_dir .. "/?.lua;" .. package.path
local crowd = require("crowd")
local lib = crowd.lib
-- memory-mb has this default; descriptors are limited by the system.
local MEMORY_MB, DESCRIPTORS, BODY = 128, 600, 1024 * 1024

local function play(c, what, count, spec)
  local d = c.daemons[4]
  local watch = crowd.watch(d, MEMORY_MB * 1024,
    DESCRIPTORS - crowd.DESCRIPTORS_RESERVED)
  local clients = crowd.start(d.address, count, spec)
  watch:settle({clients})
  lib.equal(lib.http("GET", d.address, "/healthz").status, 200, what)
  local seen = clients:look()
  lib.say("%s: sent %d bytes, %d open, %d closed", what, seen.sent, seen.open,
    seen.closed)
  clients:stop()
  lib.equal(lib.http("GET", d.address, "/healthz").status, 200,
    what .. ", afterwards")
  watch:sample()
  watch:check(what)
end

local c = lib.standard()
lib.wrap = {"/usr/bin/prlimit", "--nofile=" .. DESCRIPTORS}
c:daemon_start(4, "vantaa-hall")
c:wait_joined(4)
c:wait_ready()
local head = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
play(c, "180 bodies of 1 MB", 180, {prefix = head ..
    string.format("Content-Length: %d\r\n\r\n", BODY),
  unit = string.rep("x", 1023), units = (BODY - 1) // 1023})
play(c, "700 idle connections", 700, {})
lib.say("ok")
