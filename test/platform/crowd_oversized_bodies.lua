-- Clients send bodies of several times the limit. Guards against keeping what is
-- beyond it, or what was announced to be, until the body ends.
package.path = script_dir .. "/?.lua;" .. package.path
local crowd = require("crowd")
local BYTES = 16 * 1024 * 1024
crowd.play({memory_mb = 48}, {
  {what = "24 announced bodies of 16 MB", port = "callers", count = 24,
    spec = crowd.body("callers", BYTES)},
  {what = "24 bodies of 16 MB in chunks", port = "callers", count = 24,
    spec = crowd.chunks("callers", BYTES, 65536)},
})
