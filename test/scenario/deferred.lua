-- Each deferred request that was accepted gets one result and one bill, although
-- daemons that run jobs are killed, or stopped until their leases have expired.
-- A caller that repeats a request with its idempotency key gets the same job.
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
-- The store's response to an accepted request is lost, and the caller repeats
-- the request at another daemon.
lib.fault(c.store.address, {lose_replies = 1})
ids[31] = defer(c.daemons[1], 31).json.id
lib.equal(defer(c.daemons[2], 31).json.id, ids[31],
  "job of the repeated request")
lib.equal(defer(c.daemons[3], 1).json.id, ids[1],
  "job of an earlier request, repeated")

-- Both daemons run jobs when they are killed and stopped.
local function incarnation(daemon)
  for line in io.lines(daemon.log) do
    local found = line:match(" as (%x+)%.")
    if found then return found end
  end
end
local function jobs_of(daemon)
  local count, name = 0, incarnation(daemon)
  for _, row in ipairs(lib.http("POST", c.store.address, "/table/scan",
    {body = {prefix = "defer/", after = ""}}).json.rows) do
    if run.decode(row[2]).by == name then count = count + 1 end
  end
  return count
end
lib.wait_until("two daemons run jobs at once", function()
  if jobs_of(c.daemons[1]) > 0 and jobs_of(c.daemons[2]) > 0 then
    return true
  end
  ids[#ids + 1] = defer(c.daemons[3], #ids + 1).json.id
end)
c.daemons[1]:kill()
c.daemons[2]:stop()
run.sleep(4500)
c:daemon_start(1, "vantaa-hall")
run.sleep(500)
c.daemons[2]:continue()

local function collect(id, daemon)
  return lib.http("GET", daemon.address, "/v1/deferred/" .. id, {key = KEY})
end
for n = 1, #ids do
  local answer
  lib.wait_until("the result of request " .. n, function()
    answer = collect(ids[n], c.daemons[3])
    return answer.status ~= 202
  end, 90000)
  lib.equal(answer.status, 200, "status of request " .. n)
  lib.equal(answer.json.choices[1].message.content,
    lib.whole_text("route " .. n, 20), "response to request " .. n)
  lib.equal(collect(ids[n], c.daemons[1]).body, answer.body,
    "the same result from another daemon")
end
local wanted = {}
for n = 1, #ids do wanted[ids[n]] = true end
c:check_billed_once(wanted)
-- What the stopped daemon ended after its lease had expired changed nothing.
lib.wait_until("the stopped daemon lost its claims", function()
  return c:counter(c.daemons[2], "deferred_lost") > 0
end)
local lost = c:counter(c.daemons[2], "deferred_lost")
lib.say("%d engine runs for %d requests; the stopped daemon lost %d claims",
  #c:engine_runs(), #ids, lost)
lib.check(#c:engine_runs() > #ids,
  "jobs were in progress when daemons were killed")
local _, total = c:bills()
lib.equal(total, #ids, "total of bills")
-- Another organisation can't collect it.
lib.equal(lib.http("GET", c.daemons[1].address, "/v1/deferred/" .. ids[1],
  {key = lib.ORGANISATIONS["fachschule"].key}).status, 404,
  "status for another organisation")
lib.say("ok")
