-- Guards against admission control that acts though it is switched off: requests
-- are all sent at once, as without it.
package.path = script_dir .. "/?.lua;" .. package.path
local load = require("admission_load")
local words, lib = load.words, load.lib
local OBJECTIVE_MS, WORK_MS, SLOTS = 300, 100, 2
local w = load.world({daemons = 2, replicas = 1, slots = SLOTS, queue = 10,
  work_ms = WORK_MS, objective_ms = OBJECTIVE_MS, organisations = {"a"},
  environment = {"MOORTACK_ADMISSION=0"}})

-- Twice what the endpoint can process.
local results = load.results(load.send(w, 3000,
  {a = 2 * SLOTS * 1000 / WORK_MS}, {1, 2}), OBJECTIVE_MS)
load.check_refusals(w, results)
lib.check(#results.a.refused > 0, "the endpoint is never full")
for _, name in ipairs({"waited_total", "admitted_after_wait_total",
    "refused_above_share_total", "refused_rank_total", "refused_late_total",
    "refused_queue_full_total", "escalations_withheld_total",
    "services_crowded"}) do
  lib.equal(load.sum(w, name), 0, name)
end
for _, daemon in ipairs(w.daemons) do
  lib.check(not load.log(daemon):find("event=crowded", 1, true),
    "a crowded service with admission switched off")
end

-- Values that make no sense are refused.
for _, setting in ipairs({"--admission=2", "--admission=yes",
    "--waiting-max=-1", "--waiting-max=100001"}) do
  lib.equal(lib.spawn("platform/moortack-edge", {setting}, {},
    "setting.log"):wait(), 2, "exit status with " .. setting)
end
lib.say("ok")
