-- Clients send heads of almost the largest size in fields of a few bytes, and stay.
-- Guards against what each field costs beside its bytes, and their sum.
package.path = script_dir .. "/?.lua;" .. package.path
local crowd = require("crowd")
crowd.play({memory_mb = 48}, {
  {what = "100 heads of tiny fields", port = "callers", count = 100,
    spec = crowd.fields("callers", crowd.HEAD_MAX - 64)},
})
