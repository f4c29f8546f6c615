-- Requests only run on versions and in places that their organisation may use,
-- also under load and while these change.
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
-- One place is no longer allowed: once the change is in force, nothing runs
-- there.
organisation({places = {"vantaa-hall"}})
local espoo = #lib.runs(c.engines[2])
run.sleep(1500)
lib.equal(#lib.runs(c.engines[2]), espoo, "runs in a place no longer allowed")
organisation({places = {"vantaa-hall", "espoo-depot"}})
run.sleep(500)
-- A version is no longer allowed, for this organisation alone.
c:set_version("linen-lm@2", "live")
organisation({allow = {"linen-lm@2", "dock-app@*"}})
local old = c:runs_of("linen-lm@1")
run.sleep(1500)
lib.equal(c:runs_of("linen-lm@1"), old, "runs of a version no longer allowed")
local summary = lib.finish_load(load)
lib.say("%s", run.encode(summary))
lib.equal(summary.bad, 0, "bad responses")
for _, engine_run in ipairs(c:engine_runs()) do
  lib.check(engine_run.place == "vantaa-hall" or
    engine_run.place == "espoo-depot",
    "a run of %s in %s", engine_run.organisation, engine_run.place)
  lib.equal(engine_run.organisation, "pyykki-dock", "organisation of a run")
  lib.check(engine_run.version:match("^linen%-lm@"),
    "version of a run: %s", engine_run.version)
end
-- A model that was never allowed is refused without showing that it exists.
local response = lib.chat(c.daemons[1], {model = "ofenrat"})
lib.equal(response.json.error.type, "not_allowed",
  "a model that is not allowed")
lib.equal(lib.chat(c.daemons[1], {model = "no-such"}).json.error.type,
  "not_allowed", "a model that does not exist")
lib.say("ok")
