-- Guards against lost or duplicate billing records. While the store is
-- unavailable, one daemon is killed when only its peers hold copies of its
-- records, and another leaves gracefully and hands over the records that it
-- holds. Once the store is available again, each complete response must have
-- exactly one record.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard({places =
  {"vantaa-hall", "espoo-depot", "halle-nord", "vantaa-hall"}})

lib.fault(c.store.address, {down = true})
local first = lib.load(c.daemons[1].address,
  {key = "pyykki-dock-key", rate = 60, seconds = 2, tokens = 4})
local second = lib.load(c.daemons[2].address,
  {key = "pyykki-dock-key", rate = 60, seconds = 2, tokens = 4, seed = 2})
local complete = {}
for _, load in ipairs({first, second}) do
  local summary, rows = lib.finish_load(load)
  lib.equal(summary.whole, summary.sent, "chats completed during the outage")
  for _, row in ipairs(rows) do complete[row.request] = true end
end
c.daemons[1]:kill()
c.daemons[2]:signal("TERM")
lib.equal(c.daemons[2]:wait(), 0, "exit status of the daemon that left")
local _, stored = c:bills()
lib.equal(stored, 0, "billing records before the store is available again")
lib.fault(c.store.address, {down = false})
c.daemons[1] = c.daemons[3]
c.daemons[2] = nil
local total = c:check_billed_once(complete)
lib.say("%d billing records, one for each response", total)
lib.say("ok")
