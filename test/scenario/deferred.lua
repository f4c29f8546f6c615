-- Work that can wait is accepted once it is held, and answered once, whoever
-- dies: daemons are killed and stopped past their lease while jobs run, and a
-- caller that sends its request again under its key gets the same one.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard({engines = {
  {place = "vantaa-hall", versions = {"linen-lm@1"},
    faults = {token_ms = 60}},
  {place = "espoo-depot", versions = {"linen-lm@1"},
    faults = {token_ms = 60}}}})
local KEY = lib.ORGANISATIONS["pyykki-dock"].key

local function defer(daemon, n)
  return lib.http("POST", daemon.address, "/v1/chat/completions", {key = KEY,
    headers = {Prefer = "respond-async", ["Idempotency-Key"] = "route" .. n},
    body = {model = "linen-lm", max_tokens = 20,
      messages = {{role = "user", content = "route " .. n}}}})
end

local ids = {}
for n = 1, 30 do
  local answer = defer(c.daemons[n % 3 + 1], n)
  lib.equal(answer.status, 202, "accepted")
  ids[n] = answer.json.id
end
-- The reply of an acceptance is lost, and it is sent again elsewhere.
lib.fault(c.store.address, {lose_replies = 1})
ids[31] = defer(c.daemons[1], 31).json.id
lib.equal(defer(c.daemons[2], 31).json.id, ids[31], "the same request again")
lib.equal(defer(c.daemons[3], 1).json.id, ids[1], "an earlier one again")

run.sleep(900)
c.daemons[1]:kill()
c.daemons[2]:stop()
run.sleep(4500)
c:daemon_start(1, "vantaa-hall")
run.sleep(500)
c.daemons[2]:continue()

local function collect(id, daemon)
  return lib.http("GET", daemon.address, "/v1/deferred/" .. id, {key = KEY})
end
for n = 1, 31 do
  local answer
  lib.wait_until("the answer of request " .. n, function()
    answer = collect(ids[n], c.daemons[3])
    return answer.status ~= 202
  end, 90000)
  lib.equal(answer.status, 200, "status of request " .. n)
  lib.equal(answer.json.choices[1].message.content,
    lib.whole_text("route " .. n, 20), "answer of request " .. n)
  lib.equal(collect(ids[n], c.daemons[1]).body, answer.body,
    "the same answer through another entry")
end
local wanted = {}
for n = 1, 31 do wanted[ids[n]] = true end
c:check_billed_once(wanted)
local lost = c:counter(c.daemons[2], "deferred_lost")
lib.say("%d engine runs for 31 requests; %d ends of the stopped daemon came " ..
  "too late", #c:engine_runs(), lost)
lib.check(#c:engine_runs() > 31, "jobs were under way when daemons died")
local _, total = c:bills()
lib.equal(total, 31, "bills in all")
-- Another organisation can't see it.
lib.equal(lib.http("GET", c.daemons[1].address, "/v1/deferred/" .. ids[1],
  {key = lib.ORGANISATIONS["fachschule"].key}).status, 404, "another's")
lib.say("ok")
