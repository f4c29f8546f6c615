-- One daemon is cut off from the table and from its peers when a version is
-- withdrawn: it stops taking work in time, and is back once the cut heals.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard({relays = true})

-- Its own way to the table goes through a relay too.
local relay = lib.spawn("standin-relay",
  {"--listen", network .. "9:9100"}, {}, "store-relay.log")
relay.address = network .. "9:9100"
lib.wait_until("the store's relay listens", function()
  return lib.http("GET", relay.address, "/", {timeout_ms = 500}).status ~= 0
end)
lib.fault(relay.address, {target = c.store.address})
c.daemons[3]:signal("TERM")
c.daemons[3]:wait()
c:daemon_start(3, "halle-nord", {store = network .. "9:9101"})
c:wait_joined(3)
c:wait_ready()

local session = lib.chat(c.daemons[3], {prompt = "before"})
lib.equal(session.status, 200, "chat before the cut")
c:cut(3, {1, 2})
lib.fault(relay.address, {target = c.store.address, cut = {"*"}})

local load = lib.load(c.daemons[3].address,
  {key = "pyykki-dock-key", rate = 40, seconds = 8, tokens = 2})
local plan = c:plan({{set = "version", name = "linen-lm@2",
  value = {state = "live"}}, {set = "version", name = "linen-lm@1",
  value = {state = "withdrawn"}}}, c.daemons[1])
local started = run.now()
local answer = c:confirm(plan, c.daemons[1])
lib.equal(answer.status, 200, "confirm by the majority")
-- By now every daemon holds it or has stopped: the window, two heartbeats.
run.sleep(math.max(0, started + 1500 + 400 + 300 - run.now()))
local then_runs = c:runs_of("linen-lm@1")
run.sleep(2500)
lib.equal(c:runs_of("linen-lm@1"), then_runs, "runs of the withdrawn version after that")
local refused = lib.chat(c.daemons[3], {})
lib.equal(refused.json.error.type, "config_stale", "what the cut-off one says")
lib.equal(refused.json.error.ran, "not_run", "whether it ran")

c:heal()
lib.fault(relay.address, {target = c.store.address})
local summary = lib.finish_load(load)
lib.equal(summary.bad, 0, "bad answers")
c:wait_joined(3)
c:wait_ready()
local served = lib.chat(c.daemons[3], {prompt = "after"})
lib.equal(served.headers["Moortack-Version"], "linen-lm@2",
  "the version after the cut")

-- Cut off from the table alone, with its peers in reach, it goes on.
lib.fault(relay.address, {target = c.store.address, cut = {"*"}})
run.sleep(3000)
lib.equal(lib.chat(c.daemons[3], {prompt = "on"}).status, 200,
  "chat with peers that vouch")
-- And a change confirmed meanwhile reaches it through them.
local revision = c:set_version("linen-lm@2", "draining")
lib.equal(c:status(c.daemons[3]).held, revision, "revision by way of peers")
lib.say("ok")
