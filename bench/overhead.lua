-- Overhead of the daemon: the same load on an engine directly and then through
-- one entry, in one run.
package.path = script_dir .. "/../test/scenario/?.lua;" .. package.path
local lib = require("lib")
local RATE, SECONDS, TOKENS = tonumber(arguments[1] or 200), 5, 8
local cluster = lib.standard({engines = {{place = "vantaa-hall",
  versions = {"linen-lm@1"}, faults = {slots = 200, token_ms = 2}}}})

local function measure(name, addresses, options, process)
  options.rate, options.seconds, options.tokens = RATE, SECONDS, TOKENS
  local before = lib.usage(process)
  local summary = lib.finish_load(lib.load(addresses, options))
  local after, resident = lib.usage(process)
  lib.say("%-16s sent %d complete %d | first token us p50 %d p95 %d p99 %d | " ..
    "total us p50 %d p99 %d | CPU us a request %.0f, RSS %d KiB", name,
    summary.sent, summary.whole, summary.first_us.p50, summary.first_us.p95,
    summary.first_us.p99, summary.total_us.p50, summary.total_us.p99,
    (after - before) * 1000 / summary.sent, resident)
  return summary
end

local engine, daemon = cluster.engines[1], cluster.daemons[1]
measure("warm-up", daemon.address, {key = "pyykki-dock-key"}, daemon)
measure("engine directly", engine.address, {engine = "linen-lm@1"}, engine)
measure("through an entry", daemon.address, {key = "pyykki-dock-key"}, daemon)
local cpu_before = lib.usage(daemon)
run.sleep(5000)
local cpu_after, resident = lib.usage(daemon)
lib.say("idle: %.2f %% of a core, RSS %d KiB", (cpu_after - cpu_before) / 50,
  resident)
