-- A deferred job that crashes each engine it runs on ends as failed, instead of
-- going round until no engine is left; others are answered meanwhile.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local ENGINES, CRASHES = 8, 3
local engines = {}
for i = 1, ENGINES do
  engines[i] = {place = i % 2 == 0 and "vantaa-hall" or "espoo-depot",
    versions = {"linen-lm@1"}, faults = {crash_on = "poison"}}
end
local c = lib.standard({engines = engines})
local KEY = lib.ORGANISATIONS["pyykki-dock"].key

local function defer(prompt)
  local answer = lib.http("POST", c.daemons[1].address,
    "/v1/chat/completions", {key = KEY, headers = {Prefer = "respond-async",
      ["Idempotency-Key"] = prompt}, body = {model = "linen-lm",
      max_tokens = 4, messages = {{role = "user", content = prompt}}}})
  lib.equal(answer.status, 202, "accepted")
  return answer.json.id
end

local function collect(id)
  local answer
  lib.wait_until("the end of a job", function()
    answer = lib.http("GET", c.daemons[2].address, "/v1/deferred/" .. id,
      {key = KEY})
    return answer.status ~= 202
  end, 60000)
  return answer
end

local poison = defer("poison")
local sound = {}
for i = 1, 6 do sound[i] = defer("sound " .. i) end
lib.check(collect(poison).status ~= 200, "a job that crashes its engines")
for i = 1, 6 do lib.equal(collect(sound[i]).status, 200, "job " .. i) end
run.sleep(3000)
local ended = 0
for _, engine in pairs(c.engines) do
  if run.reap(engine.pid) then ended = ended + 1 end
end
lib.say("ended=%d", ended)
lib.check(ended <= CRASHES, "%d engines ended by one job", ended)
lib.say("ok")
