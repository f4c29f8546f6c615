-- Guards against a signal right after a process was started killing all processes
-- of the scenario: the forked child had not called exec yet and still had the
-- runner's signal handler, which kills all that the runner started. In the soak, a
-- daemon was ended by signal 9 in 3 of 62 runs; the kernel's trace of signals showed
-- that the new process had sent it.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local STARTS = 50

local bystander = lib.spawn("standin-store",
  {"--listen", network .. "1:8000"}, {}, "bystander.log")
for i = 1, STARTS do
  local process = lib.spawn("standin-store",
    {"--listen", network .. "2:8000"}, {}, "process.log")
  process:signal("TERM")
  process:wait()
  lib.equal(run.reap(bystander.pid), nil, "end of another process, start " .. i)
end
lib.say("ok")
