-- The next request of a session stays on its version in the first half of a
-- roll-out, also if the request before it was in flight for far longer than a
-- session lasts without requests, and also in the second roll-out of a service.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local SESSIONS = 120
local EVENTS = 60
local w = words.world(2, 2, 2)
local d = w.daemons

local function runs(replicas)
  return #w:runs(replicas[1]) + #w:runs(replicas[2])
end

local function session(i)
  return {headers = {["Session"] = "session-" .. i}}
end

-- Order the new version while streams of all sessions run on the old replicas.
-- Then each session continues at the other daemon.
local function rollout(old, new, version)
  for _, i in ipairs(old) do
    w:faults(i, {events = EVENTS, pause_ms = 100})
  end
  for _, i in ipairs(new) do w:replica(i, version) end
  local before, new_before = runs(old), runs(new)
  local calls = {}
  for i = 1, SESSIONS do
    calls[i] = words.begin(d[1 + i % 2], "/stream/s", session(i))
  end
  lib.wait_until("the streams run", function()
    return runs(old) == before + SESSIONS
  end)
  w:put("op", "rollout/lm", {service = "lm", to = version, duration_s = 22})
  for i = 1, SESSIONS do
    lib.check(words.whole(calls[i]:finish().body, EVENTS),
      "stream %d was truncated", i)
    calls[i] = words.begin(d[1 + (i + 1) % 2], "/book/s", session(i))
  end
  for i = 1, SESSIONS do
    lib.equal(calls[i]:finish().status, 200, "a booking")
  end
  lib.equal(runs(new), new_before, "sessions moved to " .. version)
end

-- Requests without a session may go to the new version, and in the end all do.
local function completed(old, new)
  lib.wait_until("the roll-out is completed", function()
    local before = runs(old)
    for _ = 1, 10 do
      words.call(d[1], "/book/n")
      words.call(d[2], "/book/n")
    end
    return runs(old) == before and words.status(w, "completed")
  end, 30000)
  lib.check(runs(new) > 0, "nothing ran on the new version")
end

rollout({1, 2}, {3, 4}, "v2")
completed({1, 2}, {3, 4})
for i = 1, 2 do w:put("servers", w.replicas[i].id, nil) end
rollout({3, 4}, {5, 6}, "v3")
lib.say("ok")
