-- Clients send on while their request is at work. Guards against keeping it, in the
-- process or in the receive buffers of its sockets.
package.path = script_dir .. "/?.lua;" .. package.path
local crowd = require("crowd")
local spec = crowd.body("callers", 1)
spec.suffix, spec.unit, spec.units = "", "x", 512 * 1024
crowd.play({memory_mb = 48}, {
  {what = "320 clients that send ahead", port = "callers", count = 320,
    spec = spec, held = true},
})
