-- Guards against taking an endpoint that crashed for one that is alive, as the next
-- process listens at its address a moment later: a request that crashes three
-- endpoints has to be refused.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local REPLICAS, ROUNDS = 8, 3
local w = words.world(REPLICAS, 1)
local daemon = w.daemons[1]
for i = 1, REPLICAS do w:faults(i, {crash_on = "poison"}) end

-- Starts the next process of each replica that ended, once the daemon has been
-- refused a connection there. The rows of the ended ones stay.
local function restart_crashed(probes)
  local ended = {}
  for i, replica in ipairs(w.replicas) do
    if not replica.restarted and run.reap(replica.pid) then
      ended[#ended + 1] = replica
    end
  end
  lib.wait_until("the daemon probes the endpoints", function()
    return words.metric(daemon, "crash_probes_total") >= probes + #ended
  end)
  for _, replica in ipairs(ended) do
    replica.restarted = lib.spawn("test/platform/standin-replica",
      {"--listen", replica.address}, {}, "restarted.log")
    lib.wait_until("the next process listens", function()
      return lib.http("GET", replica.address, "/runs",
        {timeout_ms = 500}).status ~= 0
    end)
    lib.fault(replica.address, {id = "next-" .. replica.id})
  end
  return #ended
end

local ended = 0
for _ = 1, ROUNDS do
  local probes = words.metric(daemon, "crash_probes_total")
  local answer = words.call(daemon, "/stream/a", {body = "poison"})
  lib.check(answer.status ~= 200, "status %d of a request that crashes endpoints",
    answer.status)
  ended = ended + restart_crashed(probes)
  run.sleep(300)
end
lib.check(words.metric(daemon, "quarantined") == 1,
  "not refused after %d crashes", ended)
lib.check(ended == 3, "%d crashes until it was refused", ended)
lib.say("ok")
