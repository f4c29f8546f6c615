-- A daemon that starts after many revisions must read the snapshot and only the
-- revisions after it, and then hold the same configuration as the others.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard({places = {"vantaa-hall", "espoo-depot"}})
for i = 1, 70 do
  c:change({{set = "version", name = "linen-lm@2",
    value = {state = "rolling", percent = i}}})
end
local held = c:status().held
local function value(key)
  return lib.http("POST", c.store.address, "/table/get",
    {body = {keys = {key}}}).json.values[key]
end
lib.wait_until("a snapshot is written", function() return value("snapshot") end)
local snapshot = run.decode(value("snapshot")).revision
lib.check(snapshot >= 64, "the snapshot is of revision %d", snapshot)
-- The revisions up to the snapshot are deleted: only the snapshot has them.
local puts = {}
for i = 1, snapshot do
  puts[#puts + 1] = {key = string.format("rev/%012d", i)}
end
lib.http("POST", c.store.address, "/table/txn", {body = {puts = puts}})
local late = c:daemon_start(3, "halle-nord")
c:wait_joined(3)
c:wait_revision(held)
local function document(daemon)
  return c:admin("GET", "plan/", nil, daemon).json.document.versions
end
lib.equal(document(late)["linen-lm@2"].percent, 70,
  "percentage held by the late daemon")
c:wait_ready()
lib.equal(lib.chat(late, {}).status, 200, "chat through the late daemon")
-- It also applies the next revision, like the others.
c:set_version("linen-lm@2", "live")
lib.equal(document(late)["linen-lm@2"].state, "live",
  "state in the next revision")
lib.say("ok")
