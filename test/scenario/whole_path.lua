-- The main functions, one after the other: list of entries, plan and confirmation,
-- chat, session, booking, withdrawal of a version, bills, time line, shutdown.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard()

local answer = lib.http("GET", c.daemons[1].address, "/v1/entries",
  {key = lib.ORGANISATIONS["pyykki-dock"].key})
lib.equal(answer.status, 200, "entries")
lib.equal(#answer.json.entries, 3, "listed entries")

-- A complete streamed response.
local first = lib.chat(c.daemons[1], {stream = true, prompt = "cart 7"})
local text, done, failure = lib.stream_text(first.body)
lib.equal(first.status, 200, "stream")
lib.check(done and not failure, "the stream has its end marker")
lib.equal(text, lib.whole_text("cart 7", 8), "streamed response")
lib.equal(first.headers["Moortack-Version"], "linen-lm@1", "version")

-- The session stays on its version, although another one is live meanwhile.
c:change({{set = "version", name = "linen-lm@2", value = {state = "live"}},
  {set = "version", name = "linen-lm@1", value = {state = "draining"}}})
local second = lib.chat(c.daemons[2],
  {prompt = "cart 8", session = first.headers["Moortack-Session"]})
lib.equal(second.status, 200, "plain response")
lib.equal(second.json.choices[1].message.content,
  lib.whole_text("cart 8", 8), "text of the plain response")
lib.equal(second.headers["Moortack-Version"], "linen-lm@1",
  "version of the session's second request")
local new = lib.chat(c.daemons[2], {prompt = "cart 9"})
lib.equal(new.headers["Moortack-Version"], "linen-lm@2",
  "version of a new session")

-- A booking with an idempotency key, and its retry at another daemon.
local booked = lib.book(c.daemons[1], {idempotency_key = "shelf-4"})
lib.equal(booked.status, 200, "booking")
local again = lib.book(c.daemons[3], {idempotency_key = "shelf-4"})
lib.equal(again.status, 200, "the same booking at another daemon")
lib.equal(again.body, booked.body, "the stored response")
local _, total = c:service_runs()
lib.equal(total, 1, "runs of the booking")

-- A version is withdrawn: the session gets an error.
c:set_version("linen-lm@1", "withdrawn")
local gone = lib.chat(c.daemons[1],
  {session = first.headers["Moortack-Session"]})
lib.equal(gone.status, 410, "a session on a withdrawn version")
lib.equal(gone.json.error.type, "version_withdrawn", "error type")
lib.equal(gone.json.error.ran, "not_run", "whether it ran")

c:check_billed_once({[first.headers["Moortack-Request"]] = true,
  [second.headers["Moortack-Request"]] = true,
  [new.headers["Moortack-Request"]] = true,
  [booked.headers["Moortack-Request"]] = true})
local _, bills = c:bills()
lib.equal(bills, 4, "total of bills")

local confirmed = c:events("plan_confirmed")
lib.equal(#confirmed, 3, "plans confirmed in the time line")

-- A graceful shutdown.
for i = 1, 3 do c.daemons[i]:signal("TERM") end
for i = 1, 3 do
  lib.equal(c.daemons[i]:wait(), 0, "exit status of daemon " .. i)
end
lib.say("ok")
