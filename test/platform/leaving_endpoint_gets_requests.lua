-- Guards against sending requests to an endpoint that said in a response that it
-- leaves, while its entry in the store says nothing of it.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS, REPLICAS = 3, 3
-- The time that the deployment allows for it.
local DRAIN_MS = 2000
local w = words.world(REPLICAS, DAEMONS)
w:wait_joined()

local n = 0
-- Sends requests of these kinds to all daemons for a time; all have to be served.
local function send_load(ms, paths)
  local calls = {}
  local finish = run.now() + ms
  while run.now() < finish do
    for i = 1, DAEMONS do
      n = n + 1
      local path = paths[n % #paths + 1]
      local options = {}
      if path == "/stream/a" then options.headers = words.prompt(n, n) end
      if path == "/open/a" then options.key = false end
      calls[#calls + 1] = words.begin(w.daemons[i], path, options)
    end
    run.sleep(40)
  end
  for _, call in ipairs(calls) do
    lib.equal(call:finish().status, 200, "a request")
  end
end

local ALL = {"/stream/a", "/scan/a", "/book/a", "/open/a"}
local ANONYMOUS = {"/open/a"}

local function draining_known(paths)
  lib.wait_until("the daemons know that it leaves", function()
    send_load(40, paths)
    return w:all_show("endpoints_draining", 1)
  end)
end

local function check_no_requests(when, paths, within_ms)
  local from = run.now() + within_ms
  send_load(DRAIN_MS + 1000, paths)
  lib.equal(w:arrivals_after(1, from), 0, "requests at a leaving endpoint " ..
    when)
end

-- Streams of the second endpoint are truncated, so that they resume elsewhere.
w:faults(2, {events = 6, cut_after = 3})
w:faults(3, {events = 6, confidence = 20})
send_load(300, ALL)
w:faults(1, {events = 6, confidence = 20, leaving = "1"})
-- No request with a key is served for long without the store.
w.store:signal("STOP")
draining_known(ANONYMOUS)
check_no_requests("while the store is down", ANONYMOUS, DRAIN_MS)
w.store:signal("CONT")
for i = 1, DAEMONS do words.wait_ready(w.daemons[i]) end
check_no_requests("whose entry says that it is ready", ALL, 0)
w:put("servers", w.replicas[1].id, nil)
lib.wait_until("its entry is removed", function()
  return w:all_show("endpoints", REPLICAS - 1)
end)
w:replica(1)
lib.wait_until("its entry is back", function()
  return w:all_show("endpoints", REPLICAS)
end)
check_no_requests("whose entry was removed and came back", ALL, 0)

-- Another incarnation of it is used.
w:faults(1, {events = 6})
w.replicas[1].born = 1700000000000
w:replica(1)
local from = run.now()
lib.wait_until("its next incarnation gets requests", function()
  send_load(40, ALL)
  return w:arrivals_after(1, from) > 0
end)
lib.say("ok")
