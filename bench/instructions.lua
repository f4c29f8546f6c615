-- Instructions that the daemon executes per request, counted by callgrind:
--   runner BUILD bench/instructions.lua served|refused|idle OUT_FILE
package.path = script_dir .. "/../test/scenario/?.lua;" .. package.path
local lib = require("lib")
local case, out = arguments[1], arguments[2]
lib.wrap = {"/usr/bin/valgrind", "--tool=callgrind",
  "--callgrind-out-file=" .. out, "-q"}
local cluster = lib.standard({places = {"vantaa-hall"}, settings = {
  ["fresh-ms"] = 9000}, engines = {{place = "vantaa-hall",
  versions = {"linen-lm@1"}, faults = {slots = 400, token_ms = 2}}}})
local options = {rate = 40, seconds = 10, tokens = 8, key = "pyykki-dock-key"}
if case == "refused" then options.key = "nobody" end
if case ~= "idle" then
  local summary = lib.finish_load(lib.load(cluster.daemons[1].address, options))
  lib.say("%s: %d sent, %d complete, %d refused", case, summary.sent,
    summary.whole, summary.refused)
else
  run.sleep(10000)
end
cluster.daemons[1]:signal("TERM")
cluster.daemons[1]:wait(60000)
