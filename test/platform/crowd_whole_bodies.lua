-- Clients send whole requests of the largest size while their endpoint takes its
-- time. Guards against accepting more of them than the memory holds.
package.path = script_dir .. "/?.lua;" .. package.path
local crowd = require("crowd")
local spec = crowd.body("callers", crowd.BODY_MAX)
spec.suffix = spec.suffix .. "x"
crowd.play({memory_mb = 48}, {
  {what = "24 requests of 4 MB", port = "callers", count = 24, spec = spec,
    held = true},
})
