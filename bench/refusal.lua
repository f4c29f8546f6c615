-- Processor time of the daemon for a refusal, relative to serving a request: r of
-- "Load shedding: the arithmetic that decides whether it works". The argument is
-- the number of other organisations.
package.path = script_dir .. "/../test/scenario/?.lua;" .. package.path
local lib = require("lib")
local RATE, SECONDS = 400, 6
local cluster = lib.standard({places = {"vantaa-hall"}, engines = {{
  place = "vantaa-hall", versions = {"linen-lm@1"},
  faults = {slots = 400, token_ms = 2}}}})
local daemon = cluster.daemons[1]
local changes = {}
for i = 1, tonumber(arguments[1] or 0) do
  changes[i] = {set = "organisation", name = "o" .. i, value = {
    keys = {lib.OPERATOR_HASH:sub(1, 56) .. string.format("%08d", i)}}}
end
if #changes > 0 then cluster:change(changes) end

local function background_ms_per_s()
  local before = lib.usage(daemon)
  run.sleep(SECONDS * 1000)
  return (lib.usage(daemon) - before) / SECONDS
end

local function cost(name, options, background)
  options.rate, options.seconds = RATE, SECONDS
  local before, started = lib.usage(daemon), run.now()
  local summary = lib.finish_load(lib.load(daemon.address, options))
  local cpu_ms = lib.usage(daemon) - before -
    background * (run.now() - started) / 1000
  local us_each = cpu_ms * 1000 / summary.sent
  lib.say("%-34s sent %d, complete %d, refused %d: %.0f us of processor time each",
    name, summary.sent, summary.whole, summary.refused, us_each)
  return us_each
end

local background = background_ms_per_s()
lib.say("background: %.1f ms of processor time a second", background)
cost("warm-up", {key = "pyykki-dock-key", tokens = 8}, background)
local short = cost("served, 8 tokens", {key = "pyykki-dock-key", tokens = 8},
  background)
local long = cost("served, 60 tokens", {key = "pyykki-dock-key", tokens = 60},
  background)
cluster:change({{set = "organisation", name = "pyykki-dock", value = {limit = 1}}})
local limit = cost("refused: over its limit", {key = "pyykki-dock-key"},
  background)
local key = cost("refused: no such key", {key = "nobody"}, background)
lib.say("r over its limit: %.2f of 8 tokens, %.2f of 60; no such key: %.2f, " ..
  "%.2f", limit / short, limit / long, key / short, key / long)
