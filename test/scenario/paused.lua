-- A daemon is paused with requests in flight, its callers retry through others,
-- and it continues much later. A request that may not be repeated must not run
-- twice, one reported as "not run" must not have run, and the daemon must not
-- send requests by an outdated configuration.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard()

lib.fault(c.services[2].address, {late_ms = 6})
local total, not_run, unknown, complete, final = 0, {}, 0, 0, 0
for round = 1, 6 do
  local first, tickets = {}, {}
  for i = 1, 20 do tickets[i] = lib.ticket(c.daemons[1], "fachschule") end
  for i = 1, 20 do
    first[i] = lib.book_begin(c.daemons[1], {ticket = tickets[i],
      body = {prompt = "r" .. round .. "b" .. i}})
    if i % 7 == 0 then run.sleep(round) end
  end
  c.daemons[1]:stop()
  -- The callers give up and retry through other daemons.
  local retried = {}
  for i = 1, 20 do
    retried[i] = lib.book_begin(c.daemons[2 + i % 2], {ticket = tickets[i],
      body = {prompt = "r" .. round .. "b" .. i}})
  end
  for i = 1, 20 do
    local response = retried[i]:finish()
    total = total + 1
    if response.status == 200 then
      complete = complete + 1
    elseif response.json.error.ran == "not_run" then
      not_run["r" .. round .. "b" .. i] = true
    else
      unknown = unknown + 1
    end
  end
  run.sleep(400)
  c.daemons[1]:continue()
  for i = 1, 20 do
    local response = first[i]:finish()
    if response.json and response.json.error
      and response.json.error.ran == "not_run" then
      not_run["r" .. round .. "b" .. i] = true
    end
  end
  c:wait_joined(3)
  -- Once the first daemon continues, each outcome is final: complete or not
  -- run.
  for i = 1, 20 do
    local response = lib.book(c.daemons[3], {ticket = tickets[i],
      body = {prompt = "r" .. round .. "b" .. i}})
    final = final + ((response.status == 200 or
      response.json.error.ran == "not_run") and 1 or 0)
  end
end
local runs = lib.runs(c.services[2])
local count = 0
for name, times in pairs(runs) do
  lib.equal(times, 1, "runs of " .. name)
  count = count + 1
end
local not_run_count = 0
for name in pairs(not_run) do
  not_run_count = not_run_count + 1
  lib.check(not runs[name], "%s was reported as not run, but ran", name)
end
lib.say("%d retried: %d complete, %d not run, %d unknown; %d ran, %d final " ..
  "afterwards", total, complete, not_run_count, unknown, count, final)
lib.equal(final, total, "outcomes that are final afterwards")

-- A daemon that is paused while a version is withdrawn.
local session = lib.chat(c.daemons[1], {prompt = "before"})
lib.equal(session.status, 200, "chat before")
c.daemons[1]:stop()
local plan = c:plan({{set = "version", name = "linen-lm@2",
  value = {state = "live"}}, {set = "version", name = "linen-lm@1",
  value = {state = "withdrawn"}}}, c.daemons[2])
lib.equal(c:confirm(plan, c.daemons[2]).status, 200, "confirm")
run.sleep(2000)
local before = c:runs_of("linen-lm@1")
lib.equal(before, 1, "runs of the version before it was withdrawn")
local calls = {}
for i = 1, 10 do
  calls[i] = lib.chat_begin(c.daemons[1], {prompt = "late" .. i,
    session = session.headers["Moortack-Session"]})
end
run.sleep(100)
c.daemons[1]:continue()
for i = 1, 10 do
  local response = calls[i]:finish()
  lib.check(response.status ~= 200,
    "a paused daemon served a withdrawn version")
end
lib.equal(c:runs_of("linen-lm@1"), before,
  "runs of the withdrawn version at the end")
lib.say("ok")
