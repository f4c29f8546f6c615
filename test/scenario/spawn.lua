-- A process that was told to end right after its start took all others of its
-- scenario with it: in the soak a daemon ended by signal 9, in 3 of 62 runs. The
-- kernel's trace of signals showed who sent it: the new process, which did not run
-- its program yet and still had the runner's way of ending, which is to end all
-- that it started.
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
