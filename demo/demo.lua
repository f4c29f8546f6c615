-- make demo: three daemons in three places with fake services around them, and what
-- they do for requests. Prints each step and how to repeat it by hand; a check that
-- fails ends it with an error.
local here = script_dir
package.path = here .. "/../test/scenario/?.lua;" .. package.path
local lib = require("lib")
local dock = lib.ORGANISATIONS["pyykki-dock"]
local school = lib.ORGANISATIONS["fachschule"]

local function title(text) lib.say("\n== %s", text) end

local function by_hand(format, ...)
  lib.say("   by hand: " .. format, ...)
end

local function command(c, args)
  local ctl = lib.spawn("moortackctl", args,
    {"MOORTACKCTL_ENTRIES=" .. c:entries(),
      "MOORTACKCTL_KEY=" .. lib.OPERATOR_KEY}, "ctl.log")
  local status = ctl:wait()
  local file = io.open(ctl.log)
  local text = file:read("a")
  file:close()
  os.remove(ctl.log)
  lib.check(status == 0, "moortackctl %s: exit %d\n%s",
    table.concat(args, " "), status, text)
  return text
end

local function indent(text)
  lib.say("%s", (text:gsub("\n$", ""):gsub("([^\n]+)", "   %1")))
end

title("Start: 3 daemons, 3 engines, 2 services, store, VM list, rating")
local c = lib.cluster({
  places = {"vantaa-hall", "espoo-depot", "halle-nord"},
  engines = {
    {place = "vantaa-hall", versions = {"linen-lm@1", "linen-lm@2"}},
    {place = "espoo-depot", versions = {"linen-lm@1", "linen-lm@2"}},
    {place = "halle-nord", versions = {"ofenrat@1"}},
  },
  services = {
    {place = "vantaa-hall", versions = {"dock-app@1"}},
    {place = "halle-nord", versions = {"buchungsdienst@1"}},
  },
})
c:wait_joined(3)
local entry = c.daemons[1].address
lib.say("   entries: %s", c:entries())

title("An operator's intent becomes a plan; confirming puts it in force")
local plan = c:plan(lib.standard_changes())
lib.say("   plan %s from revision %d: %d effects, nothing changed yet",
  plan.id, plan.base, #plan.effects)
by_hand("curl -s -H 'Authorization: Bearer KEY' -d @intent.json " ..
  "http://%s/admin/plan", entry)
indent(command(c, {"--yes", "confirm", plan.id}))
c:wait_ready()

title("A caller requests the list of entries")
local entries = lib.http("GET", entry, "/v1/entries", {key = dock.key})
lib.equal(entries.status, 200, "entries")
indent(entries.body)
by_hand("curl -s -H 'Authorization: Bearer %s' http://%s/v1/entries",
  dock.key, entry)

title("A streamed chat request")
local first = lib.chat(c.daemons[1], {stream = true, prompt = "cart 7"})
local text, done = lib.stream_text(first.body)
lib.check(done, "the stream does not end with [DONE]")
lib.equal(text, lib.whole_text("cart 7", 8), "the text of the stream")
lib.say("   %s, place %s: %s", first.headers["Moortack-Version"],
  first.headers["Moortack-Place"], text)
by_hand("curl -sN -H 'Authorization: Bearer %s' -d '{\"model\":" ..
  "\"linen-lm\",\"stream\":true,\"messages\":[{\"role\":\"user\"," ..
  "\"content\":\"cart 7\"}]}' http://%s/v1/chat/completions", dock.key, entry)

title("A new version goes live; the session stays on the old one")
c:set_version("linen-lm@2", "live")
c:set_version("linen-lm@1", "draining")
local second = lib.chat(c.daemons[2],
  {prompt = "cart 8", session = first.headers["Moortack-Session"]})
lib.equal(second.headers["Moortack-Version"], "linen-lm@1",
  "the session's version")
local fresh = lib.chat(c.daemons[2], {prompt = "cart 9"})
lib.equal(fresh.headers["Moortack-Version"], "linen-lm@2",
  "a new session's version")
lib.say("   the session: %s; a new one: %s",
  second.headers["Moortack-Version"], fresh.headers["Moortack-Version"])
by_hand("send the Moortack-Session header of the response with the next request")

title("A booking under an idempotency key, sent twice to two entries")
local booked = lib.book(c.daemons[1], {idempotency_key = "shelf-4"})
local again = lib.book(c.daemons[3], {idempotency_key = "shelf-4"})
lib.equal(booked.status, 200, "booking")
lib.equal(again.body, booked.body, "the repeated response")
local _, runs = c:service_runs()
lib.equal(runs, 1, "runs of the booking")
lib.say("   the service ran it %d time; both callers got %s", runs,
  booked.body:gsub("\n", ""))
by_hand("curl -s -H 'Authorization: Bearer %s' -H 'Idempotency-Key: " ..
  "shelf-4' -d '{\"kiln\":3}' http://%s/v1/services/buchungsdienst/book",
  school.key, entry)

title("A withdrawal by plan")
indent(command(c, {"withdraw", "linen-lm@1"}))
c:set_version("linen-lm@1", "withdrawn")
local withdrawn = lib.chat(c.daemons[3],
  {session = first.headers["Moortack-Session"]})
lib.equal(withdrawn.status, 410, "a session on a withdrawn version")
indent(withdrawn.body)

title("Each request was billed once")
local requests = {}
for _, response in ipairs({first, second, fresh, booked}) do
  requests[response.headers["Moortack-Request"]] = true
end
c:check_billed_once(requests)
local _, bills = c:bills()
lib.equal(bills, 4, "bills")
lib.say("   4 requests ran, %d bills in the store", bills)

title("The time line of the first request, across all daemons")
indent(command(c, {"timeline", first.headers["Moortack-Request"]}))
by_hand("moortackctl timeline %s", first.headers["Moortack-Request"])

title("Counters")
for line in command(c, {"counters"}):gmatch("[^\n]+") do
  if line:match("^moortack_answers") or line:match("^moortack_bills_r")
    or line:match("^# entry") or line:match("^moortack_tickets") then
    lib.say("   %s", line)
  end
end

title("Stop: requests in flight are completed")
for i = 1, 3 do c.daemons[i]:signal("TERM") end
for i = 1, 3 do lib.equal(c.daemons[i]:wait(), 0, "exit of daemon " .. i) end
lib.say("\nAll checks passed.")
