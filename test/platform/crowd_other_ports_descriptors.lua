-- More clients connect to the ports for the registry, readiness and metrics than the
-- process has descriptors for. Guards against leaving none for callers.
package.path = script_dir .. "/?.lua;" .. package.path
local crowd = require("crowd")
local plays = {}
for _, port in ipairs({"registry", "readiness", "metrics"}) do
  plays[#plays + 1] = {what = port .. ": 700 idle connections", port = port,
    count = 700, spec = {}}
end
crowd.play({max_fds = 600}, plays)
