-- Two regions of two daemons lose each other; one of them reaches the table.
-- That one goes on and can withdraw a version; the other refuses new work, and
-- is back when they meet.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard({relays = true, places =
  {"vantaa-hall", "vantaa-hall", "espoo-depot", "espoo-depot"}})
-- The second region's way to the table.
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

local function apart(fault)
  for i = 1, 4 do
    local others = {}
    for j = 1, 4 do
      if (i <= 2) ~= (j <= 2) then others[#others + 1] = c.daemons[j].ip end
    end
    lib.fault(c.relays[i].address, {target = c.daemons[i].ip .. ":9090",
      [fault] = others})
  end
end
apart("cut")
lib.fault(relay.address, {target = c.store.address, cut = {"*"}})
for i = 3, 4 do
  lib.wait_until("daemon " .. i .. " refuses new work", function()
    local answer = lib.chat(c.daemons[i], {})
    return answer.json and answer.json.error and
      answer.json.error.type == "config_stale"
  end)
end
-- The other side goes on, also with a withdrawal.
local plan = c:plan({{set = "version", name = "linen-lm@2",
  value = {state = "live"}}, {set = "version", name = "linen-lm@1",
  value = {state = "withdrawn"}}}, c.daemons[1])
local answer = c:confirm(plan, c.daemons[1])
lib.equal(answer.status, 200, "confirm by the half with the table")
c:wait_revision(answer.json.revision, {c.daemons[1], c.daemons[2]})
for i = 1, 2 do
  lib.equal(lib.chat(c.daemons[i], {}).headers["Moortack-Version"],
    "linen-lm@2", "version at daemon " .. i)
end
for i = 3, 4 do
  lib.equal(lib.chat(c.daemons[i], {}).status, 503, "chat at daemon " .. i)
end
local before = c:runs_of("linen-lm@1")
-- They meet again.
c:heal()
lib.fault(relay.address, {target = c.store.address})
c:wait_joined(4)
c:wait_revision(answer.json.revision)
for i = 3, 4 do
  lib.wait_until("daemon " .. i .. " serves again", function()
    local back = lib.chat(c.daemons[i], {})
    return back.status == 200 and
      back.headers["Moortack-Version"] == "linen-lm@2"
  end)
end
lib.equal(c:runs_of("linen-lm@1"), before, "runs of the withdrawn version since")
lib.say("ok")
