-- The daemon that reads the store for all others lost its power. For 13 s the
-- directory of each other daemon went on naming it, and callers that picked it
-- waited for a connection that never came.
--
-- Order of events: the followers get no answer and leave it after 1.3 s; the
-- next one in the order reads the store, and takes what it was told last for a
-- sign of life of that moment: it has never heard the lost one ask for anything,
-- so a lease of 12 s began anew. 3 s later all of them went back to follow it.
-- Evidence, from the log of the one that took over:
--   event=unfollow source=A why=no_answer                      at  9.17 s
--   event=member name=A named=0 heard_ms=-1 row_ms=12200       at 21.43 s
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS = 4
-- The users' bound for naming a daemon that is off.
local BOUND_MS = 6000
-- For how long it must stay unnamed after that.
local AFTER_MS = 3000
local w = words.world(1, DAEMONS)

local function names(daemon, other)
  for _, address in ipairs(words.addresses(daemon)) do
    if address == other.callers then return true end
  end
  return false
end

local function all_name_all()
  for _, daemon in ipairs(w.daemons) do
    for _, other in ipairs(w.daemons) do
      if not names(daemon, other) then return false end
    end
  end
  return true
end

local function each_other(off, check)
  for _, daemon in ipairs(w.daemons) do
    if daemon ~= off then check(daemon) end
  end
end

-- Nobody names a daemon that has stood still for the bound, nor later, and all
-- others are named.
local function goes_off(off, what)
  local since = run.now()
  off:stop()
  run.sleep(BOUND_MS)
  repeat
    each_other(off, function(daemon)
      lib.check(not names(daemon, off), "%s is named %d ms after it went off",
        what, run.now() - since)
    end)
    run.sleep(200)
  until run.now() - since > BOUND_MS + AFTER_MS
  each_other(off, function(daemon)
    each_other(off, function(other)
      lib.check(names(daemon, other), "a daemon that serves is not named")
    end)
  end)
  off:continue()
  lib.wait_until("all are named again", all_name_all)
end

lib.wait_until("all are named", all_name_all)
local first = w:reader()
goes_off(first, "the one that reads the store")
first = w:reader()
for _, daemon in ipairs(w.daemons) do
  if daemon ~= first then
    goes_off(daemon, "one that follows")
    break
  end
end
lib.say("ok")
