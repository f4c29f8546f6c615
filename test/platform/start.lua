-- Starting daemons read every table from the store, and then got all rows again
-- from their parent: 301 daemons started at once made 905 full reads and 2,650
-- polls of the store in the first two seconds, two thirds of all its calls on a
-- calm day. A daemon that starts beside others has to read only the rows of the
-- daemons, and get the others from its parent.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS = 6
local w = words.world(2, DAEMONS)

-- Some may not know the others yet, or may get no response in time.
local MAX_READERS = DAEMONS // 2

local function full_reads()
  return w:calls("rows-get", "servers") + w:calls("rows-get", "op")
end

lib.check(full_reads() <= 2 * MAX_READERS, "%d full reads by %d daemons that start",
  full_reads(), DAEMONS)
-- Only the first daemon in the order reads again when it restarts.
local before = full_reads()
for i = 1, DAEMONS do
  w.daemons[i]:kill()
  w:daemon(i)
  words.wait_ready(w.daemons[i])
end
lib.check(full_reads() - before <= 2 * MAX_READERS,
  "%d full reads by %d daemons that restart", full_reads() - before,
  DAEMONS)
lib.equal(words.call(w.daemons[DAEMONS], "/book/1").status, 200, "a booking")

-- Its parents are down: it reads the store itself.
for i = 1, DAEMONS do w.daemons[i]:kill() end
w:daemon(1)
words.wait_ready(w.daemons[1])
lib.equal(words.call(w.daemons[1], "/book/2").status, 200, "a booking alone")
lib.say("ok")
