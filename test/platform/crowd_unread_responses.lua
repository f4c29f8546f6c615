-- Clients pipeline requests and read no response. Guards against reading further
-- requests while responses to earlier ones wait to be sent.
package.path = script_dir .. "/?.lua;" .. package.path
local crowd = require("crowd")
crowd.play({memory_mb = 48}, {
  {what = "24 clients that pipeline", port = "callers", count = 24,
    spec = {unit = "GET /none HTTP/1.1\r\nHost: a.example\r\n\r\n",
      units = 40000, reads = false}},
})
