-- The replica's stand-in crashed with a segmentation fault in 1 of 6 soak runs,
-- and a control call got no response. It truncates a stream by freeing the
-- connection a millisecond later, and freed it twice if the caller had closed it
-- meanwhile.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local ROUNDS, CALLERS = 40, 50
local w = words.world(1, 0)
local at = w.replicas[1].address

w:faults(1, {cut_after = 1, pause_ms = 3})
for round = 1, ROUNDS do
  local sockets = {}
  for i = 1, CALLERS do
    sockets[i] = run.connect(at)
    run.write(sockets[i], words.bare_request("/stream/1", "drop" .. i))
  end
  -- About when it truncates them.
  run.sleep(4 + round % 4)
  for i = 1, CALLERS do run.hang_up(sockets[i]) end
end
lib.equal(run.reap(w.replicas[1].pid), nil, "exit status of the stand-in")
lib.check(#w:runs(1) > 0, "the stand-in executed no request")
lib.say("ok")
