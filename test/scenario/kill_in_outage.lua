-- While the table is down a daemon is killed with bills that only its peers
-- hold: once the table is back each whole answer still has its one bill. A
-- second daemon leaves gracefully in the outage and hands over what it held.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard({places =
  {"vantaa-hall", "espoo-depot", "halle-nord", "vantaa-hall"}})

lib.fault(c.store.address, {down = true})
local first = lib.load(c.daemons[1].address,
  {key = "pyykki-dock-key", rate = 60, seconds = 2, tokens = 4})
local second = lib.load(c.daemons[2].address,
  {key = "pyykki-dock-key", rate = 60, seconds = 2, tokens = 4, seed = 2})
local whole = {}
for _, load in ipairs({first, second}) do
  local summary, rows = lib.finish_load(load)
  lib.equal(summary.whole, summary.sent, "chats served in the outage")
  for _, row in ipairs(rows) do whole[row.request] = true end
end
c.daemons[1]:kill()
c.daemons[2]:signal("TERM")
lib.equal(c.daemons[2]:wait(), 0, "exit status of the one that left")
local _, stored = c:bills()
lib.equal(stored, 0, "bills before the table is back")
lib.fault(c.store.address, {down = false})
c.daemons[1] = c.daemons[3]
c.daemons[2] = nil
local total = c:check_billed_once(whole)
lib.say("%d bills, all once", total)
lib.say("ok")
