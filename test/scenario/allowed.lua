-- Under load and while organisations lose and gain models and places, no run
-- is outside what its organisation was allowed.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard()

local load = lib.load(c:entries(),
  {key = "pyykki-dock-key", rate = 80, seconds = 9, tokens = 2})
local function organisation(value)
  return c:change({{set = "organisation", name = "pyykki-dock",
    value = value}})
end
run.sleep(500)
-- One place is taken away: after it is in force, nothing runs there.
organisation({places = {"vantaa-hall"}})
local espoo = #lib.runs(c.engines[2])
run.sleep(1500)
lib.equal(#lib.runs(c.engines[2]), espoo, "runs in a place taken away")
organisation({places = {"vantaa-hall", "espoo-depot"}})
run.sleep(500)
-- A version is taken away, for this organisation alone.
c:set_version("linen-lm@2", "live")
organisation({allow = {"linen-lm@2", "dock-app@*"}})
local old = c:runs_of("linen-lm@1")
run.sleep(1500)
lib.equal(c:runs_of("linen-lm@1"), old, "runs of a version taken away")
local summary = lib.finish_load(load)
lib.say("%s", run.encode(summary))
lib.equal(summary.bad, 0, "bad answers")
for _, one in ipairs(c:engine_runs()) do
  lib.check(one.place == "vantaa-hall" or one.place == "espoo-depot",
    "a run of %s in %s", one.organisation, one.place)
  lib.equal(one.organisation, "pyykki-dock", "organisation of a run")
  lib.check(one.version:match("^linen%-lm@"), "version of a run: %s",
    one.version)
end
-- And what was never allowed is refused without a hint that it exists.
local answer = lib.chat(c.daemons[1], {model = "ofenrat"})
lib.equal(answer.json.error.type, "not_allowed", "another's model")
lib.equal(lib.chat(c.daemons[1], {model = "no-such"}).json.error.type,
  "not_allowed", "no model")
lib.say("ok")
