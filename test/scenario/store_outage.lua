-- The store is unavailable for several seconds under load: requests and
-- bookings with tickets must continue, billing records must be stored exactly
-- once afterwards, and operations that need the store must fail with an error
-- type.
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

-- During the outage, well after the freshness window has passed.
local confirm = c:confirm(plan)
lib.equal(confirm.json.error.type, "store", "confirm during the outage")
local without_ticket = lib.book(c.daemons[1], {idempotency_key = "no-store"})
lib.equal(without_ticket.json.error.type, "store",
  "an idempotency key without a ticket during the outage")
lib.equal(without_ticket.json.error.ran, "unknown",
  "execution reported with this error")
local _, during = c:bills()
lib.fault(c.store.address, {down = false})

local summary, rows = lib.finish_load(load)
local book_summary, book_rows = lib.finish_load(bookings)
lib.say("chat: %s", run.encode(summary))
lib.say("bookings: %s", run.encode(book_summary))
lib.equal(summary.whole, summary.sent, "chats completed through the outage")
lib.equal(book_summary.whole, book_summary.sent,
  "bookings with tickets completed through the outage")
c:check_billed_once(lib.whole_of(rows, book_rows))
-- The plan may or may not be in force; to confirm it again is safe and decides.
local confirm_again = c:confirm(plan)
lib.equal(confirm_again.status, 200, "confirm after the outage")
c:wait_revision(confirm_again.json.revision)
lib.say("ok")
