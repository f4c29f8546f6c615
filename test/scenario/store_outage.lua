-- The table is down for long, under load: requests and ticketed bookings go on,
-- bills wait and arrive once, and what needs the table is refused with a type.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard()

local plan = c:plan({{set = "place", name = "kerava-hall",
  value = {region = "uusimaa"}}})
local load = lib.load(c:entries(),
  {key = "pyykki-dock-key", rate = 60, seconds = 10, tokens = 6})
local bookings = lib.load(c:entries(), {key = "fachschule-key", rate = 30,
  seconds = 10, tickets = 1, seed = 2, service = "buchungsdienst/book"})
run.sleep(1000)
lib.fault(c.store.address, {down = true})
run.sleep(4000)

-- In the outage, well past the window of freshness.
local confirm = c:confirm(plan)
lib.equal(confirm.json.error.type, "store", "confirm in an outage")
local keyed = lib.book(c.daemons[1], {idempotency_key = "no-store"})
lib.equal(keyed.json.error.type, "store", "a bare key in an outage")
lib.equal(keyed.json.error.ran, "unknown", "what a bare key's refusal says")
local _, during = c:bills()
lib.fault(c.store.address, {down = false})

local summary, rows = lib.finish_load(load)
local book_summary, book_rows = lib.finish_load(bookings)
lib.say("chat: %s", run.encode(summary))
lib.say("bookings: %s", run.encode(book_summary))
lib.equal(summary.whole, summary.sent, "chats served through the outage")
lib.equal(book_summary.whole, book_summary.sent,
  "ticketed bookings served through the outage")
c:check_billed_once(lib.whole_of(rows, book_rows))
-- The plan was either taken or not; to confirm it again settles that.
local again = c:confirm(plan)
lib.equal(again.status, 200, "confirm after the outage")
c:wait_revision(again.json.revision)
lib.say("ok")
