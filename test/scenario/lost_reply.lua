-- The table applies a write and the response is lost. Each kind of write is resolved
-- by reading the rows back. Guards against a change, a run or a bill that is applied
-- twice.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard()

-- The confirmation of a plan.
local plan = c:plan({{set = "place", name = "kerava-hall",
  value = {region = "uusimaa"}}})
local before = c:status().accepted
lib.fault(c.store.address, {lose_replies = 1})
local response = c:confirm(plan)
lib.equal(response.status, 200, "confirm with a lost response")
lib.equal(response.json.revision, before + 1, "revision")
local again = c:confirm(plan, c.daemons[2])
lib.equal(again.status, 200, "the same plan confirmed again")
lib.equal(again.json.revision, before + 1, "the same revision")
c:wait_revision(before + 1)
lib.equal(c:status().accepted, before + 1, "accepted")

-- The claim of an idempotency key.
for i = 1, 5 do
  lib.fault(c.store.address, {lose_replies = 1})
  local booked = lib.book(c.daemons[1], {idempotency_key = "k" .. i,
    body = {prompt = "k" .. i}})
  local retried = lib.book(c.daemons[2], {idempotency_key = "k" .. i,
    body = {prompt = "k" .. i}})
  lib.check(booked.status == 200 or retried.status == 200,
    "the booking was run: %s / %s", booked.body, retried.body)
end
for name, times in pairs(lib.runs(c.services[2])) do
  lib.equal(times, 1, "runs of " .. name)
end

-- Repeated flushes of bills.
local load = lib.load(c:entries(),
  {key = "pyykki-dock-key", rate = 60, seconds = 5, tokens = 4})
for _ = 1, 10 do
  lib.fault(c.store.address, {lose_replies = 2})
  run.sleep(400)
end
local summary, rows = lib.finish_load(load)
lib.equal(summary.whole, summary.sent, "chats served")
c:check_billed_once(lib.whole_of(rows))
lib.say("ok")
