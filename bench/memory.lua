-- Memory of one daemon for each of what it holds: unflushed bills, used tickets
-- that it witnesses, streams in flight.
package.path = script_dir .. "/../test/scenario/?.lua;" .. package.path
local lib = require("lib")
local cluster = lib.standard({settings = {["bills-max"] = 100000,
  ["exchanges-max"] = 5000, ["cutoff-ms"] = 60000, ["waiting-max"] = 5000},
  engines = {{place = "vantaa-hall", versions = {"linen-lm@1"},
    faults = {slots = 5000, token_ms = 1}}}})
local daemon = cluster.daemons[1]

local function resident()
  local _, kib = lib.usage(daemon)
  return kib
end
local function load(options)
  return lib.finish_load(lib.load(daemon.address, options))
end

load({key = "fachschule-key", rate = 300, seconds = 2, tickets = 1, seed = 9,
  service = "buchungsdienst/book"})
run.sleep(1500)
local before = resident()
local ticketed = load({key = "fachschule-key", rate = 400, seconds = 12,
  tickets = 1, seed = 3, service = "buchungsdienst/book"})
lib.say("tickets: %d used, %d KiB more: %.0f bytes each", ticketed.whole,
  resident() - before, (resident() - before) * 1024 / ticketed.whole)

lib.fault(cluster.store.address, {down = true})
before = resident()
local bills = load({key = "pyykki-dock-key", rate = 400, seconds = 12,
  tokens = 2, seed = 2})
lib.say("bills: %d unflushed, %d KiB more: %.0f bytes each at their owner",
  bills.whole, resident() - before, (resident() - before) * 1024 / bills.whole)
lib.fault(cluster.store.address, {down = false})
lib.wait_until("the bills are flushed", function()
  return tonumber(lib.http("GET", daemon.address, "/metrics").body:match(
    "moortack_bills_unflushed (%d+)")) == 0
end, 60000)

before = resident()
lib.fault(cluster.engines[1].address, {token_ms = 100})
local streams = lib.load(daemon.address, {key = "pyykki-dock-key", rate = 200,
  seconds = 10, tokens = 150, seed = 4})
run.sleep(9500)
local in_flight = tonumber(lib.http("GET", daemon.address, "/metrics").body:match(
  "moortack_exchanges (%d+)"))
lib.say("streams: %d in flight, %d KiB more: %.0f bytes each", in_flight,
  resident() - before, (resident() - before) * 1024 / in_flight)
lib.finish_load(streams)
