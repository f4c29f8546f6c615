-- A partition between two regions of two daemons each; only one region reaches
-- the store's table. That region keeps serving and can withdraw a version. The
-- other refuses new requests, and serves again when the partition ends.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard({relays = true, places =
  {"vantaa-hall", "vantaa-hall", "espoo-depot", "espoo-depot"}})
-- The relay through which the second region reaches the table.
local relay = lib.spawn("standin-relay",
  {"--listen", network .. "9:9100"}, {}, "store-relay.log")
relay.address = network .. "9:9100"
lib.wait_until("the store's relay listens", function()
  return lib.http("GET", relay.address, "/", {timeout_ms = 500}).status ~= 0
end)
lib.fault(relay.address, {target = c.store.address})
for i = 3, 4 do
  c.daemons[i]:signal("TERM")
  c.daemons[i]:wait()
  c:daemon_start(i, "espoo-depot", {store = network .. "9:9101"})
end
c:wait_joined(4)
c:wait_ready()

local function partition(fault)
  for i = 1, 4 do
    local others = {}
    for j = 1, 4 do
      if (i <= 2) ~= (j <= 2) then others[#others + 1] = c.daemons[j].ip end
    end
    lib.fault(c.relays[i].address, {target = c.daemons[i].ip .. ":9090",
      [fault] = others})
  end
end
partition("cut")
lib.fault(relay.address, {target = c.store.address, cut = {"*"}})
for i = 3, 4 do
  lib.wait_until("daemon " .. i .. " refuses new requests", function()
    local response = lib.chat(c.daemons[i], {})
    return response.json and response.json.error and
      response.json.error.type == "config_stale"
  end)
end
-- The other region keeps serving, and a version can be withdrawn there.
local plan = c:plan({{set = "version", name = "linen-lm@2",
  value = {state = "live"}}, {set = "version", name = "linen-lm@1",
  value = {state = "withdrawn"}}}, c.daemons[1])
local confirmed = c:confirm(plan, c.daemons[1])
lib.equal(confirmed.status, 200, "confirm by the region with the table")
c:wait_revision(confirmed.json.revision, {c.daemons[1], c.daemons[2]})
for i = 1, 2 do
  lib.equal(lib.chat(c.daemons[i], {}).headers["Moortack-Version"],
    "linen-lm@2", "version at daemon " .. i)
end
for i = 3, 4 do
  lib.equal(lib.chat(c.daemons[i], {}).status, 503, "chat at daemon " .. i)
end
local before = c:runs_of("linen-lm@1")
-- The partition ends.
c:heal()
lib.fault(relay.address, {target = c.store.address})
c:wait_joined(4)
c:wait_revision(confirmed.json.revision)
for i = 3, 4 do
  lib.wait_until("daemon " .. i .. " serves again", function()
    local response = lib.chat(c.daemons[i], {})
    return response.status == 200 and
      response.headers["Moortack-Version"] == "linen-lm@2"
  end)
end
lib.equal(c:runs_of("linen-lm@1"), before, "runs of the withdrawn version since")
lib.say("ok")
