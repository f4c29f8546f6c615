-- Another incarnation responds at a replica's address while the replica's entry
-- remains. The replica looks idle, but each daemon sends it at most one request
-- in the time for which it is ejected.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS, REQUESTS = 2, 40
-- How long a daemon ejects the replica.
local EJECTED_MS = 4000
local w = words.world(2, DAEMONS)
w:wait_joined()

local function metric_total(name)
  local total = 0
  for _, daemon in ipairs(w.daemons) do
    total = total + words.metric(daemon, name)
  end
  return total
end

lib.fault(w.replicas[1].address, {id = "another"})
local since = run.now()
for i = 1, REQUESTS do
  local response = words.call(w.daemons[i % DAEMONS + 1], "/book/a")
  lib.equal(response.status, 200, "status of a request")
end
lib.say("%d requests sent to the superseded replica",
  metric_total("wrong_endpoint_total"))
local limit = DAEMONS * (1 + (run.now() - since) // EJECTED_MS)
lib.check(metric_total("wrong_endpoint_total") <= limit,
  "%d requests sent to the superseded replica",
  metric_total("wrong_endpoint_total"))
lib.check(metric_total("wrong_endpoint_total") > 0,
  "no request was sent to the superseded replica")
lib.say("ok")
