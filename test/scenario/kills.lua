-- Daemons are killed and replaced under load. A response must be complete or
-- fail with an error, each complete response must be billed exactly once, and
-- no booking may be executed more than once.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard()

local load = lib.load(c:entries(),
  {key = "pyykki-dock-key", rate = 60, seconds = 8, follow = 1, tokens = 20})
local bookings = lib.load(c:entries(), {key = "fachschule-key", rate = 30,
  seconds = 8, follow = 1, tickets = 1, seed = 2,
  service = "buchungsdienst/book"})
run.sleep(1500)
c.daemons[1]:kill()
run.sleep(1500)
c:daemon_start(1, "vantaa-hall")
run.sleep(1500)
c.daemons[2]:kill()
run.sleep(500)
c:daemon_start(2, "espoo-depot")
local summary, rows = lib.finish_load(load)
local book_summary, book_rows = lib.finish_load(bookings)
lib.say("chat: %s", run.encode(summary))
lib.say("bookings: %s", run.encode(book_summary))

local complete = {}
for _, row in ipairs(rows) do
  -- When a process is killed its connections close: its callers see that, and
  -- no end mark. No response may be wrong in another way.
  lib.check(row.verdict ~= "wrong", "request %d got a wrong response", row.n)
  if row.verdict == "whole" then complete[row.request] = true end
end
for _, row in ipairs(book_rows) do
  lib.check(row.verdict ~= "wrong", "booking %d got a wrong response", row.n)
  if row.verdict == "whole" then complete[row.request] = true end
end
lib.check(summary.whole > summary.sent * 0.8, "most chats were completed")
lib.check(book_summary.whole > book_summary.sent * 0.7,
  "most bookings were completed")

-- Each booking ran at most once, and none that was reported as "not run" ran.
local runs = lib.runs(c.services[2])
lib.check_at_most_once(book_rows, runs)

local failures = {}
for _, row in ipairs(book_rows) do
  if row.verdict ~= "whole" then
    local failure = row.verdict .. "/" .. row.ran
    failures[failure] = (failures[failure] or 0) + 1
  end
end
lib.say("incomplete bookings: %s", run.encode(failures))

-- Each complete response has one billing record; no request has two.
c:check_billed_once(complete)
lib.say("ok")
