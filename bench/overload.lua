-- Overload on the real daemons: three entries before one engine of known
-- capacity; dock scans (critical) keep coming while reports (sheddable) are
-- offered at 1, 2, 3 and 5 times what the engine can do.
package.path = script_dir .. "/../test/scenario/?.lua;" .. package.path
local lib = require("lib")
local REPORTS_HASH =
  "b853515d33a80f0fdd09afafa33230671b60a64f1fe81e6e709e66516ab31be3"
local SECONDS, TOKENS, DOCK_RATE = 8, 20, 6
local c = lib.standard({settings = {["cutoff-ms"] = 2000}, engines = {{
  place = "vantaa-hall", versions = {"linen-lm@1"},
  faults = {slots = 8, token_ms = 10}}}})
c:change({{set = "organisation", name = "reports", value = {
  class = "sheddable", places = {"vantaa-hall"}, allow = {"linen-lm@*"},
  keys = {REPORTS_HASH}}}})

local function offer(rate, key, seed)
  return lib.load(c:entries(), {key = key, rate = rate, seconds = SECONDS,
    tokens = TOKENS, seed = seed, ["deadline-ms"] = 3000})
end
-- What it can do: all it is offered, and no more than it finishes in time.
local probe = lib.finish_load(offer(200, "pyykki-reports-key", 1))
local capacity = probe.whole / SECONDS
lib.say("capacity: %.1f requests a second", capacity)
for _, times in ipairs({1, 2, 3, 5}) do
  run.sleep(1500)
  local docks = offer(DOCK_RATE, "pyykki-dock-key", 2)
  local reports = offer(math.max(1, math.floor(times * capacity - DOCK_RATE)),
    "pyykki-reports-key", 3)
  local dock = lib.finish_load(docks)
  local report = lib.finish_load(reports)
  lib.say("%dx: docks %d of %d whole, p99 %.0f ms | reports %d of %d | " ..
    "goodput %.0f %% | bad %d", times, dock.whole, dock.sent,
    dock.total_us.p99 / 1000, report.whole, report.sent,
    100 * (dock.whole + report.whole) / SECONDS / capacity,
    dock.bad + report.bad)
end
run.sleep(1500)
local after = lib.finish_load(offer(math.floor(capacity * 0.5),
  "pyykki-reports-key", 4))
lib.say("after: %d of %d whole", after.whole, after.sent)
