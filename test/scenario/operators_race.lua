-- Conflicting plans are confirmed concurrently through three daemons, in
-- several rounds: exactly one must succeed in each round, the others must get
-- the changes, and all daemons must end up with the same configuration.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard()

local conflicts = 0
for round = 1, 8 do
  local plans, calls, confirmed = {}, {}, 0
  for i = 1, 3 do
    plans[i] = c:plan({{set = "version", name = "linen-lm@2",
      value = {state = "rolling", percent = round * 10 + i}}}, c.daemons[i])
  end
  for i = 1, 3 do
    calls[i] = lib.begin("POST", c.daemons[i].address,
      "/admin/confirm/" .. plans[i].id, {key = lib.OPERATOR_KEY, body = {}})
  end
  for i = 1, 3 do
    local response = calls[i]:finish()
    if response.status == 200 then
      confirmed = confirmed + 1
    else
      lib.equal(response.json.error.type, "conflict",
        "error type of a plan that lost")
      lib.check(#response.json.changed >= 1, "the changes are returned")
      conflicts = conflicts + 1
    end
  end
  lib.equal(confirmed, 1, "plans confirmed in round " .. round)
  c:wait_revision(c:status().accepted)
end
lib.equal(conflicts, 16, "conflicts")
local documents = {}
for i = 1, 3 do
  local shown = c:admin("GET", "plan/", nil, c.daemons[i]).json
  documents[i] = shown.document.versions["linen-lm@2"].percent
  lib.equal(documents[i], documents[1], "percentage held by daemon " .. i)
end
-- The revision never decreases: each daemon's timeline lists them in order.
for i = 1, 3 do
  local last = 0
  for _, event in ipairs(c:events("revision_taken", c.daemons[i])) do
    local number = tonumber(event.note:match("%d+"))
    lib.check(number > last, "revision %d after %d", number, last)
    last = number
  end
end
lib.say("ok")
