-- Clients of the ports for the registry, readiness and metrics send bodies. Guards
-- against ports without the bounds that the callers' port has.
package.path = script_dir .. "/?.lua;" .. package.path
local crowd = require("crowd")
local BYTES = 16 * 1024 * 1024
local plays = {}
for _, port in ipairs({"registry", "readiness", "metrics"}) do
  plays[#plays + 1] = {what = port .. ": 24 bodies of 16 MB", port = port,
    count = 24, spec = crowd.body(port, BYTES)}
  plays[#plays + 1] = {what = port .. ": 24 bodies of 4 MB", port = port,
    count = 24, spec = crowd.body(port, crowd.BODY_MAX)}
  plays[#plays + 1] = {what = port .. ": 100 bodies in tiny chunks",
    port = port, count = 100, spec = crowd.chunks(port, 500000, 1)}
end
crowd.play({memory_mb = 48}, plays)
