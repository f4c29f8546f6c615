-- Clients send a byte of a head, or of a body, at a time. Guards against time limits
-- that start again with each byte: a head has header_timeout_ms from its first
-- byte, a body the time that its request has.
package.path = script_dir .. "/?.lua;" .. package.path
local crowd = require("crowd")
local lib = crowd.lib

local function all_closed(clients)
  lib.wait_until("all are closed", function()
    return clients:look().open == 0
  end)
end

local function slow(spec)
  spec.unit, spec.units, spec.byte_ms = "x", 2000, 20
  return spec
end

local body = {prefix = "POST /book/a HTTP/1.1\r\nHost: a.example\r\n" ..
  "Moortack-Attempt-Id: crowd\r\nMoortack-Credential: k1\r\n" ..
  "Moortack-Deadline-Ms: 1000\r\nContent-Length: 100000\r\n\r\n"}
crowd.play({client_limits = {idle_timeout_ms = 15000, header_timeout_ms = 2000}},
  {
    {what = "slow heads", port = "callers", count = 40,
      spec = slow({prefix = "GET /book/a HTTP/1.1\r\na: "}),
      after = all_closed, slow = true},
    {what = "slow bodies", port = "callers", count = 40, spec = slow(body),
      after = all_closed, slow = true},
  })
