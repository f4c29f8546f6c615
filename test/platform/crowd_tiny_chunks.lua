-- Clients send bodies in chunks of a few bytes and stop short of their end. Guards
-- against what each chunk costs beside its bytes.
package.path = script_dir .. "/?.lua;" .. package.path
local crowd = require("crowd")
crowd.play({memory_mb = 48}, {
  {what = "100 bodies in chunks of 1 byte", port = "callers", count = 100,
    spec = crowd.chunks("callers", 500000, 1)},
  {what = "100 bodies in chunks of 7 bytes", port = "callers", count = 100,
    spec = crowd.chunks("callers", 500000, 7)},
})
