-- Clients send large bodies but for the last byte, and stay. Guards against keeping
-- all of them: each is within its limit, their sum is over the VM's memory.
package.path = script_dir .. "/?.lua;" .. package.path
local crowd = require("crowd")
crowd.play({memory_mb = 48}, {
  {what = "16 bodies of 4 MB", port = "callers", count = 16,
    spec = crowd.body("callers", crowd.BODY_MAX)},
  {what = "16 bodies of 4 MB in chunks", port = "callers", count = 16,
    spec = crowd.chunks("callers", crowd.BODY_MAX, 65536)},
  {what = "300 bodies of 200 KB", port = "callers", count = 300,
    spec = crowd.body("callers", 200 * 1024)},
})
