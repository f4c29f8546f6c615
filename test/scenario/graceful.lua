-- Every daemon is replaced in turn, gracefully, under traffic: no response is
-- truncated, no chat fails, and every response is billed once.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard()

local load = lib.load(c:entries(), {key = "pyykki-dock-key", rate = 60,
  seconds = 14, follow = 1, tokens = 60})
local bookings = lib.load(c:entries(), {key = "fachschule-key", rate = 25,
  seconds = 14, follow = 1, tickets = 1, seed = 2,
  service = "buchungsdienst/book"})
run.sleep(1000)
local places = {"vantaa-hall", "espoo-depot", "halle-nord"}
for i = 1, 3 do
  -- The new daemon starts first, as an operator would do it; then the old one stops.
  c:daemon_start(i + 3, places[i])
  c:wait_joined(4)
  c:wait_ready()
  c.daemons[i]:signal("TERM")
  lib.equal(c.daemons[i]:wait(), 0, "exit status of daemon " .. i)
  c.daemons[i] = nil
  c:wait_joined(3)
end
c.daemons[1] = c.daemons[4]
local summary, rows = lib.finish_load(load)
local book_summary, book_rows = lib.finish_load(bookings)
lib.say("chat: %s", run.encode(summary))
lib.say("bookings: %s", run.encode(book_summary))
lib.equal(summary.bad + book_summary.bad, 0, "truncated responses")
lib.equal(summary.whole, summary.sent, "chats served")
-- A ticket whose witness has stopped is refused as not run, never as unknown.
for _, row in ipairs(book_rows) do
  lib.check(row.verdict == "whole" or row.ran == "not_run",
    "booking %s: %s", row.prompt, run.encode(row))
end
c:check_billed_once(lib.whole_of(rows, book_rows))
lib.say("ok")
