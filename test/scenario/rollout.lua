-- An interrupted roll-out: daemons are killed and replaced while it is in
-- progress, and its steps come from different operators. The share stays what
-- the plan says, and sessions keep their version until the roll-out ends.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard({places =
  {"vantaa-hall", "espoo-depot", "vantaa-hall"}})

local function share(seed)
  local summary, rows = lib.finish_load(lib.load(c:entries(),
    {key = "pyykki-dock-key", rate = 120, seconds = 5, tokens = 2,
      seed = seed}))
  local new, all = 0, 0
  for _, row in ipairs(rows) do
    if row.verdict == "whole" then
      all = all + 1
      if row.version == "linen-lm@2" then new = new + 1 end
    end
  end
  return 100 * new / all, all
end
-- With about 600 sessions at 30 %, 8 points are over four standard deviations.
local function check_share(got, want, what)
  lib.say("%s: %.1f %% on the new version", what, got)
  lib.check(math.abs(got - want) < 8, "%s: %.1f %%, want %d", what, got, want)
end

c:set_version("linen-lm@2", "rolling", 30)
check_share(share(1), 30, "before")
local sessions = {}
for i = 1, 20 do
  local response = lib.chat(c.daemons[i % 3 + 1], {prompt = "s" .. i})
  sessions[i] = {token = response.headers["Moortack-Session"],
    version = response.headers["Moortack-Version"]}
end
-- Two of three daemons are killed, one after the other, and replaced.
for i = 1, 2 do
  c.daemons[i]:kill()
  c:daemon_start(i, i == 1 and "vantaa-hall" or "espoo-depot")
  c:wait_ready()
  run.sleep(3500) -- until the killed daemon is removed
end
c:wait_joined(3)
check_share(share(2), 30, "after two daemons were replaced")
-- The next step comes from another operator at another daemon.
c:change({{set = "version", name = "linen-lm@2",
  value = {state = "rolling", percent = 70}}}, c.daemons[2])
check_share(share(3), 70, "after the next step")
c:change({{set = "version", name = "linen-lm@2", value = {state = "live"}},
  {set = "version", name = "linen-lm@1", value = {state = "draining"}}},
  c.daemons[3])
for i, session in ipairs(sessions) do
  local response = lib.chat(c.daemons[i % 3 + 1],
    {prompt = "again", session = session.token})
  lib.equal(response.status, 200, "session " .. i)
  lib.equal(response.headers["Moortack-Version"], session.version,
    "version of session " .. i)
end
check_share(share(4), 100, "at the end")
lib.say("ok")
