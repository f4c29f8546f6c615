-- Clients that send more than a VM can hold, one crowd after the other, while the
-- soak's faults come and go (SOAK_CROWDS=1).
local crowd = require("crowd")
local lib = crowd.lib
local crowds = {}

local MEMORY_MB, FDS = 32, 400
local LASTS_MS = 2500
crowds.settings = crowd.settings({memory_mb = MEMORY_MB, max_fds = FDS})

local kinds = {
  {"callers", 24, crowd.body("callers", crowd.BODY_MAX)},
  {"callers", 200, crowd.body("callers", 60000)},
  {"registry", 24, crowd.body("registry", 4 * crowd.BODY_MAX)},
  {"callers", 40, crowd.chunks("callers", 100000, 1)},
  {"forward", 60, crowd.fields("forward", crowd.HEAD_MAX - 64)},
  {"callers", 500, {}},
  {"peers", 500, {}},
  {"callers", 24, {unit = "GET /none HTTP/1.1\r\nHost: a.example\r\n\r\n",
    units = 20000, reads = false}},
  {"readiness", 300, {}},
  {"metrics", 60, crowd.fields("metrics", crowd.HEAD_MAX - 64)},
}
local next_kind, now_here, until_ms = 1, nil, 0
crowds.count = 0

local function memory_check(daemon)
  local status = io.open("/proc/" .. daemon.pid .. "/status")
  local kb = status and tonumber(status:read("a"):match("VmHWM:%s+(%d+)") or 0)
  if status then status:close() end
  lib.check((kb or 0) <= MEMORY_MB * 1024, "%d KB of memory, %d allowed",
    kb or 0, MEMORY_MB * 1024)
end

-- Ends the crowd that is there once its time is over, and starts the next one.
function crowds.step(daemons, stopped)
  if run.now() < until_ms then return end
  crowds.stop()
  local i = math.random(#daemons)
  if stopped[i] then return end
  memory_check(daemons[i])
  local kind = kinds[next_kind]
  next_kind = next_kind % #kinds + 1
  crowds.count = crowds.count + 1
  now_here = crowd.start(crowd.address(daemons[i], kind[1]), kind[2], kind[3])
  until_ms = run.now() + LASTS_MS
end

function crowds.stop()
  if now_here then now_here:stop() end
  now_here = nil
end

return crowds
