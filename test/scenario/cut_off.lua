-- A daemon that is partitioned from the store and from its peers can't know that
-- a version was withdrawn. It must refuse requests before it could run one on
-- that version, and serve again once the partition ends.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard({relays = true})

-- Its connection to the store goes through a relay as well.
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
lib.equal(session.status, 200, "chat before the partition")
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
-- By now each daemon has applied the revision or refuses requests: after the
-- freshness window (1500 ms), two heartbeats (400 ms) and a margin of 300 ms.
run.sleep(math.max(0, started + 1500 + 400 + 300 - run.now()))
local runs_before = c:runs_of("linen-lm@1")
run.sleep(2500)
lib.equal(c:runs_of("linen-lm@1"), runs_before,
  "runs of the withdrawn version after that")
local refused = lib.chat(c.daemons[3], {})
lib.equal(refused.json.error.type, "config_stale",
  "error type at the partitioned daemon")
lib.equal(refused.json.error.ran, "not_run", "whether it ran")

c:heal()
lib.fault(relay.address, {target = c.store.address})
local summary = lib.finish_load(load)
lib.equal(summary.bad, 0, "bad answers")
c:wait_joined(3)
c:wait_ready()
local served = lib.chat(c.daemons[3], {prompt = "after"})
lib.equal(served.headers["Moortack-Version"], "linen-lm@2",
  "the version after the partition")

-- Without the store, but with connected peers, it continues to serve.
lib.fault(relay.address, {target = c.store.address, cut = {"*"}})
run.sleep(3000)
lib.equal(lib.chat(c.daemons[3], {prompt = "on"}).status, 200,
  "chat without the store")
-- A change confirmed meanwhile reaches it through the peers.
local revision = c:set_version("linen-lm@2", "draining")
lib.equal(c:status(c.daemons[3]).held, revision, "revision received from peers")
lib.say("ok")
