-- The operator's newest configuration can't be read. Guards against counting it as
-- read: keys that it may have taken away would stay valid for as long as it is the
-- newest.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local REVOKE_MS = 2500
local w = words.world(1, 2, 5, {extra_settings = "bounds.revoke_strict=true\n"})
local readable = w.version

local function all(what, condition)
  lib.wait_until(what, function()
    for _, daemon in ipairs(w.daemons) do
      if not condition(daemon) then return false end
    end
    return true
  end)
end

local unreadable = {{version = "text", routes = {}, services = {}},
  "no object", {version = 99, routes = {}, services = {}, tenants = 5}}
for i, value in ipairs(unreadable) do
  w:put("op", "config", value)
  local acknowledged = run.now()
  all("it is shown as not in force", function(daemon)
    return words.metric(daemon, "config_outdated") == 1
  end)
  -- A daemon that starts knows no configuration, and nobody's keys.
  if i == 1 then
    w:daemon(3)
    lib.wait_until("it listens", function()
      return words.listens(w.daemons[3])
    end)
  end
  run.sleep(acknowledged + REVOKE_MS + 100 - run.now())
  for round = 1, 5 do
    for _, daemon in ipairs(w.daemons) do
      local answer = words.call(daemon, "/book/a", {key = "k2"})
      lib.equal(answer.status, 503, "a key that may be taken away")
      lib.equal(w:ran(answer.id), 0, "runs of it")
    end
  end
  all("it is not ready", function(daemon) return not words.ready(daemon) end)
  for j = 1, 2 do
    lib.equal(words.metric(w.daemons[j], "config_version"), readable,
      "the version in force")
    lib.check(words.metric(w.daemons[j], "config_age_ms") > REVOKE_MS, "age")
    lib.equal(words.call(w.daemons[j], "/open/a", {key = false}).status, 200,
      "a route that needs no key")
  end
  -- A readable one ends it.
  w:configure({"k1"})
  readable = w.version
  all("the next one is in force", function(daemon)
    return words.metric(daemon, "config_version") == readable and
      words.metric(daemon, "config_outdated") == 0 and words.ready(daemon)
  end)
  for _, daemon in ipairs(w.daemons) do
    lib.equal(words.call(daemon, "/book/a").status, 200, "a key that stays")
    lib.equal(words.call(daemon, "/book/a", {key = "k2"}).status, 401,
      "a key that is gone")
  end
  w:configure()
  readable = w.version
  all("both keys are valid", function(daemon)
    return words.metric(daemon, "config_version") == readable
  end)
end
lib.say("ok")
