-- Overload of real daemons: three entries in front of one engine of known
-- capacity. Dock scans (critical) arrive at a constant rate while reports
-- (sheddable) raise the offered load to 1, 2, 3 and 5 times the capacity.
package.path = script_dir .. "/../test/scenario/?.lua;" .. package.path
local lib = require("lib")
local REPORTS_HASH =
  "b853515d33a80f0fdd09afafa33230671b60a64f1fe81e6e709e66516ab31be3"
local SECONDS, TOKENS, DOCK_RATE = 8, 20, 6
local cluster = lib.standard({settings = {["cutoff-ms"] = 2000}, engines = {{
  place = "vantaa-hall", versions = {"linen-lm@1"},
  faults = {slots = 8, token_ms = 10}}}})
cluster:change({{set = "organisation", name = "reports", value = {
  class = "sheddable", places = {"vantaa-hall"}, allow = {"linen-lm@*"},
  keys = {REPORTS_HASH}}}})

local function offer(rate, key, seed)
  return lib.load(cluster:entries(), {key = key, rate = rate, seconds = SECONDS,
    tokens = TOKENS, seed = seed, ["deadline-ms"] = 3000})
end
-- The capacity is what the engine completes in time of a load that exceeds it.
local probe = lib.finish_load(offer(200, "pyykki-reports-key", 1))
local capacity = probe.whole / SECONDS
lib.say("capacity: %.1f requests a second", capacity)
for _, load_factor in ipairs({1, 2, 3, 5}) do
  run.sleep(1500)
  local dock_load = offer(DOCK_RATE, "pyykki-dock-key", 2)
  local report_rate = math.floor(load_factor * capacity - DOCK_RATE)
  local report_load = offer(math.max(1, report_rate), "pyykki-reports-key", 3)
  local dock_summary = lib.finish_load(dock_load)
  local report_summary = lib.finish_load(report_load)
  lib.say("%dx: docks %d of %d complete, p99 %.0f ms | reports %d of %d | " ..
    "goodput %.0f %% | bad %d", load_factor, dock_summary.whole, dock_summary.sent,
    dock_summary.total_us.p99 / 1000, report_summary.whole, report_summary.sent,
    100 * (dock_summary.whole + report_summary.whole) / SECONDS / capacity,
    dock_summary.bad + report_summary.bad)
end
run.sleep(1500)
local after = lib.finish_load(offer(math.floor(capacity * 0.5),
  "pyykki-reports-key", 4))
lib.say("after: %d of %d complete", after.whole, after.sent)
