-- Clients of the port for requests that other daemons send on send large bodies, and
-- heads of tiny fields. Guards against a second port with memory of its own.
package.path = script_dir .. "/?.lua;" .. package.path
local crowd = require("crowd")
crowd.play({memory_mb = 48}, {
  {what = "forward: 16 bodies of 4 MB", port = "forward", count = 16,
    spec = crowd.body("forward", crowd.BODY_MAX)},
  {what = "forward: 100 heads of tiny fields", port = "forward", count = 100,
    spec = crowd.fields("forward", crowd.HEAD_MAX - 64)},
})
