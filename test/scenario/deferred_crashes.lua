-- A deferred job that crashes each engine it runs on must end as failed after a
-- few crashes, instead of being retried until it has crashed all engines. Other
-- jobs complete meanwhile.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local ENGINES, CRASHES_MAX = 8, 3
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
local harmless = {}
for i = 1, 6 do harmless[i] = defer("sound " .. i) end
lib.check(collect(poison).status ~= 200, "a job that crashes its engines")
for i = 1, 6 do lib.equal(collect(harmless[i]).status, 200, "job " .. i) end
run.sleep(3000)
local crashed = 0
for _, engine in pairs(c.engines) do
  if run.reap(engine.pid) then crashed = crashed + 1 end
end
lib.say("crashed engines: %d", crashed)
lib.check(crashed <= CRASHES_MAX, "%d engines crashed by one job", crashed)
lib.say("ok")
