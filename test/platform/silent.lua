-- Idle connections to endpoints stop passing data for good, without a reset,
-- while new ones work: an idempotent request is retried and succeeds, an unsafe
-- one is reported with its true outcome.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local ROUNDS = 3
local w = words.world(2, 0)
for i = 1, 2 do w:link(i) end
local d = w:daemon(1)
words.wait_ready(d)

for _ = 1, ROUNDS do
  for _ = 1, 8 do
    lib.equal(words.call(d, "/scan/1", {method = "GET"}).status, 200, "a scan")
  end
  for i = 1, 2 do w:silence(i) end
  local scan = words.call(d, "/scan/2", {method = "GET", deadline = 4000})
  lib.equal(scan.status, 200, "a scan on a silent connection")
end
lib.check(words.metric(d, "repeats_total") >= ROUNDS,
  "only %d retries", words.metric(d, "repeats_total"))

-- A booking that was sent on such a connection may have run: it is not reported
-- as not run.
for _ = 1, 8 do words.call(d, "/book/1") end
for i = 1, 2 do w:silence(i) end
local booked = words.call(d, "/book/2", {deadline = 1500})
lib.check(booked.status == 504 or booked.status == 502,
  "a booking on a silent connection: %d", booked.status)
lib.check(w:ran(booked.id) <= 1, "it ran more than once")
lib.say("ok")
