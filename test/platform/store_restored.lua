-- The store is restored from an older copy. The newer rows that were in force
-- stay so until they are written again, changes made then take effect although
-- their versions are lower, and the daemons write their own rows again.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS = 3
-- Far longer than any daemon needs to read the store again.
local OBSERVED_MS = 4000
local w = words.world(4, DAEMONS)
for i = 1, 4 do w:faults(i, {crash_on = "poison"}) end

local function each(check)
  for i, daemon in ipairs(w.daemons) do check(daemon, i) end
end
local function status(daemon, key)
  return words.call(daemon, "/book/1", {key = key}).status
end
local function wait_all(what, condition)
  lib.wait_until(what, function()
    for _, daemon in ipairs(w.daemons) do
      if not condition(daemon) then return false end
    end
    return true
  end)
end
local function refuses(key)
  return function(daemon) return status(daemon, key) == 401 end
end
local function serves(key)
  return function(daemon) return status(daemon, key) == 200 end
end
-- How many of a few requests to each daemon run at the replica of that number.
local function runs_at(i)
  local before = #w:runs(i)
  for _ = 1, 6 do
    each(function(daemon) words.call(daemon, "/scan/1", {method = "GET"}) end)
  end
  return #w:runs(i) - before
end

wait_all("all daemons serve", serves("k2"))
lib.fault(w.store.address, {save = true})
-- After the copy: a key is revoked, an endpoint leaves, another one is removed,
-- and other rows increase the store's version.
w:configure({"k1"})
w:replica(3, "v1", "draining")
w:put("servers", w.replicas[4].id, nil)
for n = 1, 20 do w:put("op", "note", {n = n}) end
wait_all("the key is refused", refuses("k2"))
wait_all("the changes of the endpoints have arrived", function(daemon)
  return words.metric(daemon, "endpoints_leaving") == 1 and
    words.metric(daemon, "endpoints") == 3
end)

lib.fault(w.store.address, {restore = true})
local finish = run.now() + OBSERVED_MS
while run.now() < finish do
  each(function(daemon)
    lib.equal(status(daemon, "k2"), 401, "a revoked key")
    lib.equal(status(daemon, "k1"), 200, "a key that is in force")
  end)
  lib.equal(runs_at(3), 0, "runs at an endpoint that leaves")
  lib.equal(runs_at(4), 0, "runs at a removed endpoint")
  run.sleep(100)
end
each(function(daemon)
  lib.equal(words.metric(daemon, "store_era"), 1, "the era")
end)

-- A daemon that starts now gets the newer rows from other daemons.
w.daemons[DAEMONS]:kill()
w:daemon(DAEMONS)
words.wait_ready(w.daemons[DAEMONS])
lib.equal(status(w.daemons[DAEMONS], "k2"), 401, "a key at a daemon that starts")
lib.equal(status(w.daemons[DAEMONS], "k1"), 200, "a key at a daemon that starts")

-- So does the daemon that reads the store, although no other one reads it then.
run.sleep(2000)
local reader = w:reader()
for i, daemon in ipairs(w.daemons) do
  if daemon == reader then
    daemon:kill()
    w:daemon(i)
    words.wait_ready(w.daemons[i])
    lib.equal(status(w.daemons[i], "k2"), 401, "a key at a reader that starts")
  end
end

-- The operator and the replicas write again: the same as before, then changes.
w.version = w.version - 3
w:configure({"k1"})
w:replica(3, "v1", "draining")
w:configure({"k1", "k3"})
wait_all("a new key is served", serves("k3"))
wait_all("the old one is refused", refuses("k2"))
w:replica(2, "v1", "draining")
wait_all("an endpoint leaves", function(daemon)
  return words.metric(daemon, "endpoints_leaving") == 2
end)
lib.equal(runs_at(2), 0, "runs at an endpoint that leaves now")
-- An endpoint that sends heartbeats after the restore is used.
w:replica(4, "v1")
run.sleep(1000)
w:replica(4, "v1")
lib.wait_until("an endpoint that writes again is used", function()
  return runs_at(4) > 0
end)
lib.say("ok")
