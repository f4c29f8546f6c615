-- More clients connect than the process has descriptors for. Guards against leaving
-- none for endpoints, the store and the other ports, and against a busy accept.
package.path = script_dir .. "/?.lua;" .. package.path
local crowd = require("crowd")
crowd.play({max_fds = 600}, {
  {what = "700 idle connections", port = "callers", count = 700, spec = {}},
  {what = "700 open bodies", port = "callers", count = 700,
    spec = crowd.body("callers", 1000)},
})
