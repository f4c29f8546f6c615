-- Two daemons can't reach each other, but a third reaches both. No daemon may be
-- removed from the membership, bills must find another holder, and requests must
-- be served, also while the store is unavailable.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard({relays = true})
c:cut(1, {2})
run.sleep(4000) -- dead-ms is 2.5 s here
for i = 1, 3 do
  local status = c:status(c.daemons[i])
  lib.equal(status.members, 3, "members that daemon " .. i .. " lists")
  local file = io.open(c.daemons[i].log)
  lib.check(not file:read("a"):find("taken off"),
    "daemon %d removed a member", i)
  file:close()
end
lib.fault(c.store.address, {down = true})
run.sleep(2500)
local summary, rows = lib.finish_load(lib.load(c.daemons[1].address,
  {key = "pyykki-dock-key", rate = 30, seconds = 2, tokens = 4}))
lib.equal(summary.whole, summary.sent,
  "chats served while the store is unavailable")
lib.fault(c.store.address, {down = false})
c:check_billed_once(lib.whole_of(rows))
lib.say("ok")
