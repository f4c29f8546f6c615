-- Guards against making endpoints fall that say in their responses that they are
-- brittle: all daemons together get fewer than they name refused for want of room.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS, REPLICAS, SLOTS = brittle_daemons or 7, 4, 6
local BRITTLE = 4
local STABLE_MS = 3000
local w = words.world(REPLICAS, DAEMONS)
lib.wait_until("the daemons know of each other", function()
  return w:all_show("entries", DAEMONS)
end)

local function faults(room, brittle)
  for i = 1, REPLICAS do
    w:faults(i, {events = 6, pause_ms = 50, confidence_small = 5,
      slots = SLOTS, room = room, brittle = brittle})
  end
end

local n = 0
-- Streams to all daemons, whose responses of the small model are discarded for a
-- larger one's.
local function load(ms, pause_ms)
  local calls = {}
  local finish = run.now() + ms
  while run.now() < finish do
    for i = 1, DAEMONS do
      n = n + 1
      calls[#calls + 1] = words.begin(w.daemons[i], "/stream/a",
        {headers = words.prompt(n % 5, n)})
    end
    run.sleep(pause_ms)
  end
  return words.tally(calls)
end

local function check_alive(what)
  for i, replica in ipairs(w.replicas) do
    lib.check(not run.reap(replica.pid), "%s: replica %d has fallen", what, i)
    lib.say("%s: replica %d refused %d in a second at most", what, i,
      lib.http("GET", replica.address, "/runs").json.refusals_peak)
  end
end

-- Room for all; then it is named, and from STABLE_MS on there is less.
faults(SLOTS + 8)
load(1000, 150)
faults(SLOTS + 8, tostring(BRITTLE))
local counts = load(STABLE_MS, 150)
lib.equal(counts.other, 0, "neither served nor refused")
faults(SLOTS + 1, tostring(BRITTLE))
counts = load(3000, 150)
lib.say("usual load: served %d, refused %d", counts.served, counts.refused)
check_alive("usual load")
counts = load(3000, 25)
lib.say("burst: served %d, refused %d", counts.served, counts.refused)
lib.equal(counts.other, 0, "neither served nor refused in the burst")
check_alive("burst")
-- Half of the slots are in use in a burst, or more.
lib.check(counts.served >= REPLICAS * SLOTS / 2 * 3 / 0.6, "%d served",
  counts.served)

-- No longer brittle: all room is used.
faults(nil)
counts = load(1000, 150)
counts = load(2000, 150)
lib.equal(counts.refused + counts.other, 0, "not served without limits")
lib.say("ok")
