-- Connections between daemons stall one after the other under load: what is
-- held by peers moves on, bookings run at most once, bills come once.
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
lib.equal(summary.bad + book_summary.bad, 0, "bad answers")
lib.equal(summary.whole, summary.sent, "chats served")
local runs = lib.runs(c.services[2])
for _, row in ipairs(book_rows) do
  local count = runs[row.prompt] or 0
  lib.check(count <= 1, "booking %s ran %d times", row.prompt, count)
  lib.check(not (row.ran == "not_run" and count > 0),
    "booking %s was called not run and ran", row.prompt)
end
local whole = {}
for _, list in ipairs({rows, book_rows}) do
  for _, row in ipairs(list) do
    if row.verdict == "whole" then whole[row.request] = true end
  end
end
c:check_billed_once(whole)
for id, count in pairs((c:bills())) do lib.equal(count, 1, "bills of " .. id) end
lib.say("ok")
