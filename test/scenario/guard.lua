-- A version that is rolling out starts to fail. The guard stops it at one
-- daemon, which notifies the others, and daemons that start later. Only a plan
-- starts the version again. Then the same with responses that are rated bad.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard({settings = {["rating-ms"] = 200,
  ["rate-percent"] = 50}})


c:set_version("linen-lm@2", "rolling", 30)
for i = 1, 2 do lib.fault(c.engines[i].address, {bad = "linen-lm@2"}) end
local load = lib.load(c:entries(),
  {key = "pyykki-dock-key", rate = 60, seconds = 7, tokens = 4})
for i = 1, 3 do
  lib.wait_until("daemon " .. i .. " stopped the version", function()
    return #c:events("guard_stopped", c.daemons[i]) > 0
  end)
end
local stopped = c:runs_of("linen-lm@2")
c:daemon_start(4, "vantaa-hall")
c:wait_joined(4)
c:wait_ready()
run.sleep(500)
local late = lib.load(c.daemons[4].address,
  {key = "pyykki-dock-key", rate = 60, seconds = 2, tokens = 4, seed = 3})
lib.equal(lib.finish_load(late).whole > 100, true,
  "the daemon that started later serves")
local summary = lib.finish_load(load)
lib.say("%s; %d runs of the bad version", run.encode(summary), stopped)
lib.equal(c:runs_of("linen-lm@2"), stopped, "runs of it after the stop")
lib.check(stopped <= 60, "the bad version ran %d times", stopped)
-- The failed requests were retried on the good version, within the budget.
lib.check(summary.whole >= summary.sent - stopped, "chats served")

-- An unrelated change does not start it again; a plan for it does.
for i = 1, 2 do lib.fault(c.engines[i].address, {bad = ""}) end
c:change({{set = "place", name = "kerava-hall", value = {region = "x"}}})
lib.finish_load(lib.load(c:entries(),
  {key = "pyykki-dock-key", rate = 60, seconds = 1, tokens = 4, seed = 4}))
lib.equal(c:runs_of("linen-lm@2"), stopped, "runs after another plan")
c:set_version("linen-lm@2", "rolling", 40)
lib.finish_load(lib.load(c:entries(),
  {key = "pyykki-dock-key", rate = 60, seconds = 1, tokens = 4, seed = 5}))
lib.check(c:runs_of("linen-lm@2") > stopped, "a plan starts it again")

-- Bad by its ratings alone: its responses are complete and fast.
lib.fault(c.rating.address, {bad = "linen-lm@2", share = 100})
local events = #c:events("guard_stopped")
lib.finish_load(lib.load(c:entries(),
  {key = "pyykki-dock-key", rate = 60, seconds = 5, tokens = 4, seed = 6}))
lib.check(#c:events("guard_stopped") > events, "ratings stop it")
lib.say("ok")
