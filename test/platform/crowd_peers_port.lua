-- Clients connect to the port for the daemons' own rows, and send nothing, or bytes
-- that are no message. Guards against leaving no descriptor for callers, endpoints
-- and the store.
package.path = script_dir .. "/?.lua;" .. package.path
local crowd = require("crowd")
crowd.lib.wrap = {"/usr/bin/prlimit", "--nofile=600"}
crowd.play({max_fds = 600}, {
  {what = "peers: 1500 idle connections", port = "peers", count = 1500,
    spec = {}},
  {what = "peers: 1500 clients of another protocol", port = "peers",
    count = 1500, spec = crowd.body("callers", 100000)},
  {what = "peers: 1500 greetings", port = "peers", count = 1500,
    spec = {prefix = "\xff\0\0\0\0\0\0\0\x01\x7f\3\0CURVE" ..
      string.rep("\0", 47)}},
})
