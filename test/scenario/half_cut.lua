-- The connections between pairs of daemons stall, one pair after the other, under
-- load. Chats must still be served, non-idempotent requests (bookings) run at most
-- once, and each request must be billed exactly once: bills that wait for a
-- stalled peer go to another one.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard({relays = true})

local load = lib.load(c:entries(),
  {key = "pyykki-dock-key", rate = 40, seconds = 8, tokens = 6})
local bookings = lib.load(c:entries(), {key = "fachschule-key", rate = 25,
  seconds = 8, tickets = 1, seed = 2, service = "buchungsdienst/book"})
run.sleep(800)
for i = 1, 3 do
  c:cut(i, {i % 3 + 1}, "stall")
  run.sleep(900)
  c:heal()
  run.sleep(600)
end
local summary, rows = lib.finish_load(load)
local book_summary, book_rows = lib.finish_load(bookings)
lib.say("chat: %s", run.encode(summary))
lib.say("bookings: %s", run.encode(book_summary))
lib.equal(summary.bad + book_summary.bad, 0, "bad responses")
lib.equal(summary.whole, summary.sent, "chats served")
local runs = lib.runs(c.services[2])
lib.check_at_most_once(book_rows, runs)
c:check_billed_once(lib.whole_of(rows, book_rows))
lib.say("ok")
