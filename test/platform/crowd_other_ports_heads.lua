-- Clients of the ports for the registry, readiness and metrics send heads in fields
-- of a few bytes. Guards against ports without a bound on heads.
package.path = script_dir .. "/?.lua;" .. package.path
local crowd = require("crowd")
local plays = {}
for _, port in ipairs({"registry", "readiness", "metrics"}) do
  plays[#plays + 1] = {what = port .. ": 100 heads of tiny fields", port = port,
    count = 100, spec = crowd.fields(port, crowd.HEAD_MAX - 64)}
end
crowd.play({memory_mb = 48}, plays)
