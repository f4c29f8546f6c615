-- TLS for callers and operators, with a certificate made for this run. A client that
-- doesn't trust it, or that uses plain HTTP, gets no response.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local dir = build .. "/scenario-logs/" .. network
local cert, key = dir .. "/cert.pem", dir .. "/key.pem"
local other = dir .. "/other.pem"
local function certificate(file, ip)
  return os.execute("openssl req -x509 -newkey ec -pkeyopt " ..
    "ec_paramgen_curve:P-256 -nodes -days 2 -subj /CN=entry -addext " ..
    "subjectAltName=IP:" .. ip .. " -keyout " .. key .. " -out " .. file ..
    " 2>/dev/null")
end
certificate(other, network .. "100")
lib.check(certificate(cert, network .. "100"), "openssl makes a certificate")
local c = lib.cluster({places = {}})
local d = c:daemon_start(1, "vantaa-hall",
  {["tls-cert"] = cert, ["tls-key"] = key})

local function ctl(ca, words)
  local process = lib.spawn("moortackctl", words, {"MOORTACKCTL_ENTRIES=" ..
    d.address, "MOORTACKCTL_KEY=" .. lib.OPERATOR_KEY,
    ca and "MOORTACKCTL_CA=" .. ca or "MOORTACKCTL_CA="}, "ctl.log")
  return process:wait()
end
lib.wait_until("an operator's request over TLS", function()
  return ctl(cert, {"status"}) == 0
end)
lib.equal(ctl(other, {"status"}), 1, "a certificate that isn't trusted")
lib.equal(ctl(nil, {"status"}), 1, "a request over plain HTTP")
-- An ordinary HTTP client of a caller.
local code = os.execute("curl -s --max-time 5 --cacert " .. cert ..
  " https://" .. d.address .. "/metrics | grep -q moortack_requests_total")
lib.check(code, "curl over TLS")
lib.say("ok")
