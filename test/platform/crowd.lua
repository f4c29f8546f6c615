-- Helpers for scenarios with clients that send more than a VM can hold. They
-- check what does not depend on speed: the daemon runs on, its memory and
-- descriptors stay within its settings, and an ordinary request is answered.
-- With CROWD=0 in the environment nobody comes, and the checks are the same.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local crowd = {lib = lib, words = words}

local KB, MB = 1024, 1024 * 1024
local SAMPLE_MS = 20
-- Bytes that stay unread for this long are left.
local UNREAD_STILL_MS = 2000
-- Descriptors that are not sockets of callers, endpoints or other daemons.
crowd.DESCRIPTORS_RESERVED = 200
local PORTS = {callers = 8100, readiness = 8101, registry = 8102, peers = 8104,
  metrics = 8103, forward = 8105}
local PATHS = {callers = "/book/a", readiness = "/-/readyz",
  registry = "/-/resolve", metrics = "/metrics", forward = "/book/a"}

function crowd.address(daemon, port)
  return string.format("%s:%d", daemon.callers:match("[^:]+"), PORTS[port])
end

crowd.BODY_MAX = 4 * MB -- limits.max_body_bytes without a configuration of it
crowd.HEAD_MAX = 64 * KB

local function wanted(count)
  return os.getenv("CROWD") == "0" and 0 or count
end

-- Lines of a settings file: memory_mb, max_fds.
function crowd.settings(settings)
  local lines = {}
  for _, name in ipairs({"memory_mb", "max_fds"}) do
    if settings[name] then
      lines[#lines + 1] = string.format("limits.%s=%d\n", name, settings[name])
    end
  end
  return table.concat(lines)
end

-- A daemon with these settings, and one endpoint.
function crowd.world(settings)
  return words.world(1, 1, nil, {extra_settings = crowd.settings(settings),
    limits = settings.client_limits})
end

-- The head of a request to a port, without the empty line.
function crowd.head(port, fields)
  return string.format("POST %s HTTP/1.1\r\nHost: a.example\r\n" ..
    "Moortack-Attempt-Id: crowd\r\nMoortack-Credential: k1\r\n" ..
    "Moortack-Deadline-Ms: 60000\r\n%s", PATHS[port], fields or "")
end

-- Bodies of these many bytes, of which the last one is never sent.
function crowd.body(port, bytes)
  return {prefix = crowd.head(port,
      string.format("Content-Length: %d\r\n\r\n", bytes)),
    unit = string.rep("x", KB), units = (bytes - 1) // KB,
    suffix = string.rep("x", (bytes - 1) % KB)}
end

-- The same in chunks of these many bytes.
function crowd.chunks(port, bytes, chunk)
  return {prefix = crowd.head(port, "Transfer-Encoding: chunked\r\n\r\n"),
    unit = string.format("%x\r\n%s\r\n", chunk, string.rep("x", chunk)),
    units = bytes // chunk, suffix = "0\r\n\r"}
end

-- A head of about these many bytes in empty fields, without its end.
function crowd.fields(port, bytes)
  local head = crowd.head(port)
  return {prefix = head, unit = "a:\r\n", units = (bytes - #head) // 4}
end

local Crowd = {}
Crowd.__index = Crowd
local crowds = 0

-- Starts clients of an address that all send the same.
function crowd.start(to, count, spec)
  crowds = crowds + 1
  local path = string.format("%s/scenario-logs/%s/crowd%d.json", build,
    network, crowds)
  local file = assert(io.open(path, "w"))
  spec.to = to
  spec.count = wanted(count)
  file:write(run.encode(spec))
  file:close()
  local process = lib.spawn("test/platform/standin-crowd", {path}, {},
    "crowd" .. crowds .. ".log")
  return setmetatable({process = process, count = spec.count}, Crowd)
end

-- What the clients report: sent (bytes), open, closed, settled.
function Crowd:look()
  local last = {open = self.count, sent = 0, closed = 0}
  for line in io.lines(self.process.log) do
    local report = {}
    for name, value in line:gmatch("(%w+)=(%d+)") do
      report[name] = tonumber(value)
    end
    if report.settled then last = report end
  end
  return last
end

function Crowd:stop()
  self.process:signal("TERM")
  self.process:wait()
end

-- A figure of a process by its name in /proc, in KB.
local function status_kb(d, name)
  for line in io.lines("/proc/" .. d.pid .. "/status") do
    local kb = line:match("^" .. name .. ":%s+(%d+)")
    if kb then return tonumber(kb) end
  end
  lib.check(false, "the daemon has no %s: it has ended", name)
end

-- Bytes that were received for the daemon and not read.
local function unread_kb(d)
  local a, b, c, e = (d.callers or d.address):match(
    "(%d+)%.(%d+)%.(%d+)%.(%d+)")
  local own = string.format("%02X%02X%02X%02X:", e, c, b, a)
  local bytes = 0
  for line in io.lines("/proc/net/tcp") do
    local address, state, queued =
      line:match("^%s*%d+: (%x+:%x+) %x+:%x+ (%x%x) %x+:(%x+)")
    -- The queue of a listening socket counts connections.
    if address and address:sub(1, 9) == own and state ~= "0A" then
      bytes = bytes + tonumber(queued, 16)
    end
  end
  return bytes // KB
end

local function descriptor_count(d)
  local count = 0
  local list = io.popen("ls /proc/" .. d.pid .. "/fd")
  for _ in list:lines() do count = count + 1 end
  list:close()
  return count
end

local Watch = {}
Watch.__index = Watch

-- Follows the memory and the descriptors of a process.
function crowd.watch(process, memory_kb, descriptors)
  return setmetatable({process = process, memory_kb = memory_kb,
    descriptors_max = descriptors, kb = 0, descriptors = 0}, Watch)
end

function Watch:sample()
  local d = self.process
  self.kb = math.max(self.kb, status_kb(d, "VmHWM"),
    status_kb(d, "VmRSS") + unread_kb(d))
  self.descriptors = math.max(self.descriptors, descriptor_count(d))
end

-- Samples until all clients have sent what they can, and the process has read what
-- it will.
function Watch:settle(clients)
  lib.wait_until("the crowd has sent what it can", function()
    self:sample()
    for _, group in ipairs(clients) do
      if group:look().settled ~= 1 then return false end
    end
    return true
  end, 60000)
  local unread, since = -1, 0
  lib.wait_until("the bytes sent are read or left", function()
    self:sample()
    local now = unread_kb(self.process)
    if now ~= unread then unread, since = now, run.now() end
    return unread == 0 or run.now() - since >= UNREAD_STILL_MS
  end, 60000)
  for _ = 1, 10 do
    self:sample()
    run.sleep(SAMPLE_MS)
  end
end

-- An ordinary caller is answered; so are the other ports.
function Watch:ordinary(what)
  local d = self.process
  lib.equal(words.call(d, "/book/a", {deadline = 10000}).status, 200,
    what .. ": an ordinary request")
  for _, port in ipairs({"readiness", "registry", "metrics"}) do
    lib.equal(lib.http("GET", crowd.address(d, port), PATHS[port]).status, 200, what .. ": " .. port)
  end
  self:sample()
end

function Watch:check(what)
  lib.say("%s: %d KB of %d, %d descriptors of %d", what, self.kb,
    self.memory_kb, self.descriptors, self.descriptors_max)
  lib.check(run.reap(self.process.pid) == nil, "%s: the daemon has ended", what)
  lib.check(self.kb <= self.memory_kb, "%s: %d KB of memory, %d allowed",
    what, self.kb, self.memory_kb)
  lib.check(self.descriptors <= self.descriptors_max,
    "%s: %d descriptors, %d allowed", what, self.descriptors,
    self.descriptors_max)
end

-- Plays one crowd after the other, each against a fresh process, and checks all
-- bounds: while the clients are there, and after they have gone. While they send,
-- the endpoint responds to nothing if the play is "held". Those of a "slow" play
-- send on while it is checked.
-- @param settings memory_mb, max_fds; client_limits: those of the configuration
-- @param plays {what, port, count, spec, held, slow,
-- after(clients)}
function crowd.play(settings, plays)
  local w = crowd.world(settings)
  for i, play in ipairs(plays) do
    if i > 1 then
      w.daemons[1]:kill()
      w:daemon(1)
      words.wait_ready(w.daemons[1])
    end
    local watch = crowd.watch(w.daemons[1], (settings.memory_mb or 110) * KB,
      (settings.max_fds or 4100) - crowd.DESCRIPTORS_RESERVED)
    watch:ordinary(play.what .. ", before")
    w:faults(1, {hold = play.held})
    local clients = crowd.start(crowd.address(w.daemons[1], play.port), play.count,
      play.spec)
    if not play.slow then watch:settle({clients}) end
    w:faults(1, {})
    watch:ordinary(play.what)
    if play.after then play.after(clients) end
    local seen = clients:look()
    lib.say("%s: sent %d KB, %d open, %d closed", play.what, seen.sent // KB,
      seen.open, seen.closed)
    clients:stop()
    watch:ordinary(play.what .. ", afterwards")
    watch:check(play.what)
  end
  lib.say("ok")
end

return crowd
