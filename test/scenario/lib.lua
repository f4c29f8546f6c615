-- Functions for scenarios: processes, HTTP requests, a cluster of daemons with
-- fake services around it, and checks. A wait polls for a condition up to a
-- generous limit; no check depends on how fast something was.
local lib = {}

lib.LIMIT = 20000 -- ms; default limit of a wait
lib.OPERATOR_KEY = "operator-key"
lib.LIMITED_KEY = "limited-key"
lib.OPERATOR_HASH =
  "790f9de90d5cce7ad6a1214ea3e1f3323e3304befa235f39f6facdd9cc2af8aa"
lib.LIMITED_HASH =
  "3d21fd89962b3eaf2eec61405a7e68fd7eaecb7fe1a1f868e801d5d0a8f6685b"
lib.ORGANISATIONS = {
  ["pyykki-dock"] = {key = "pyykki-dock-key",
    hash = "ed73a8911ca9ffdb391151e2a96e07c6f541c7baa113f45e2e8be7ecd5f10c32"},
  ["fachschule"] = {key = "fachschule-key",
    hash = "58dc320f261f11269675b78d1119d2c48689869910099ab0dbf567b0b53663d6"},
}
-- Keys for tests only.
local PEER_KEY = "7buN8gk#QjP#N2gOip/+CO%Q9sFLVq}kzM6plT8}"
local TOKEN_KEYS =
  "1:0a0095df9ca11401ac40fb0ca03c2c7186d69f7e02c192abf87801b3437e4b8f"
local SIGNALS = {HUP = 1, KILL = 9, TERM = 15, CONT = 18, STOP = 19}

local log_dir = build .. "/scenario-logs/" .. network
-- Addresses are used again by other runs, processes append to their logs, and
-- scenarios read them.
os.execute("rm -rf '" .. log_dir .. "' && mkdir -p '" .. log_dir .. "'")

function lib.say(format, ...)
  print(string.format(format, ...))
end

function lib.check(holds, format, ...)
  if not holds then
    error("FAILED: " .. string.format(format, ...) ..
      "\n  logs: " .. log_dir, 2)
  end
end

function lib.equal(got, want, what)
  lib.check(got == want, "%s: got %s, want %s", what, tostring(got),
    tostring(want))
end

-- Poll until condition() returns something true, and return that.
function lib.wait_until(what, condition, limit)
  local finish = run.now() + (limit or lib.LIMIT)
  while true do
    local value = condition()
    if value then return value end
    lib.check(run.now() < finish, "timed out waiting for: %s", what)
    run.sleep(20)
  end
end

-- HTTP -----------------------------------------------------------------

local Call = {}
Call.__index = Call

function lib.begin(method, address, path, options)
  options = options or {}
  local body = options.body
  if type(body) == "table" then body = run.encode(body) end
  local headers = options.headers or {}
  if options.key then headers["Authorization"] = "Bearer " .. options.key end
  return setmetatable({slot = run.begin(method, address, path, headers, body,
    options.timeout_ms or 30000)}, Call)
end

function Call:look()
  local response = {}
  response.done, response.status, response.body, response.headers, response.ms =
    run.peek(self.slot)
  response.json = response.body ~= "" and run.decode(response.body) or nil
  return response
end

function Call:finish()
  lib.wait_until("the end of a call", function()
    return (run.peek(self.slot))
  end, 60000)
  local response = self:look()
  run.close(self.slot)
  return response
end

function Call:leave()
  run.close(self.slot)
end

function lib.http(method, address, path, options)
  return lib.begin(method, address, path, options):finish()
end

function lib.fault(address, faults)
  local response = lib.http("POST", address, "/fault", {body = faults})
  lib.equal(response.status, 200, "fault at " .. address)
end

-- Processes ---------------------------------------------------------------

local Process = {}
Process.__index = Process

local function program(name)
  if name == "moortack-load" then return build .. "/bench/" .. name end
  if name:match("/") then return build .. "/" .. name end
  if name:match("^standin%-") then return build .. "/standin/" .. name end
  return build .. "/" .. name .. "/" .. name
end

local DAEMONS = {moortackd = true, ["platform/moortack-edge"] = true}

-- lib.wrap: arguments put before a daemon's own, such as those of a profiler.
function lib.spawn(name, args, variables, log)
  local argv = {}
  for _, arg in ipairs(DAEMONS[name] and lib.wrap or {}) do
    argv[#argv + 1] = arg
  end
  argv[#argv + 1] = program(name)
  for _, arg in ipairs(args) do argv[#argv + 1] = arg end
  local pid = run.spawn(argv, variables or {}, log_dir .. "/" .. log)
  return setmetatable({pid = pid, log = log_dir .. "/" .. log}, Process)
end

function Process:signal(name) run.signal(self.pid, SIGNALS[name]) end
function Process:kill() self:signal("KILL"); return self:wait() end
function Process:stop() self:signal("STOP") end
function Process:continue() self:signal("CONT") end

function Process:wait(limit)
  local status
  lib.wait_until("the end of process " .. self.pid, function()
    status = run.reap(self.pid)
    return status ~= nil
  end, limit)
  return status
end

local function fake(name, address, log)
  local process = lib.spawn("standin-" .. name, {"--listen", address}, {}, log)
  process.address = address
  lib.wait_until(name .. " listens", function()
    return lib.http("GET", address, "/", {timeout_ms = 500}).status ~= 0
  end)
  return process
end

-- The cluster -------------------------------------------------------------

local Cluster = {}
Cluster.__index = Cluster

local FAST = {["head-ms"] = 200, ["heartbeat-ms"] = 200, ["fresh-ms"] = 1500,
  ["dead-ms"] = 2500, ["list-ms"] = 200, ["load-ms"] = 100, ["load-reads"] = 8,
  ["flush-ms"] = 200, ["held-ms"] = 1500, ["store-timeout-ms"] = 400,
  ["entries-ttl-ms"] = 500, ["lease-ms"] = 4000,
  ["orders-lease-ms"] = 3000, ["ticket-ttl-ms"] = 60000}

function lib.cluster(options)
  options = options or {}
  local c = setmetatable({daemons = {}, engines = {}, services = {},
    options = options, started = 0}, Cluster)
  c.store = fake("store", network .. "1:7000", "store.log")
  c.vmlist = fake("vmlist", network .. "2:7000", "vmlist.log")
  c.rating = fake("rating", network .. "3:7000", "rating.log")
  for i, engine in ipairs(options.engines or {}) do
    c:engine_add(i, engine)
  end
  for i, service in ipairs(options.services or {}) do
    c:service_add(i, service)
  end
  c:list_vms()
  for i, place in ipairs(options.places) do c:daemon_start(i, place) end
  return c
end

function Cluster:engine_add(i, options)
  local address = network .. (19 + i) .. ":8000"
  local engine = fake("engine", address, "engine" .. i .. ".log")
  engine.place = options.place
  engine.kind = "engine"
  for _, version in ipairs(options.versions) do
    lib.http("POST", address, "/orders",
      {body = {op = "load", version = version, fence = 1}})
  end
  if options.faults then lib.fault(address, options.faults) end
  self.engines[i] = engine
  return engine
end

function Cluster:service_add(i, options)
  local address = network .. (59 + i) .. ":8000"
  local service = fake("service", address, "service" .. i .. ".log")
  service.place = options.place
  service.kind = "service"
  service.versions = options.versions
  self.services[i] = service
  return service
end

-- Set the platform's list to the VMs that are not marked gone; the VM `leaving`
-- is listed as leaving.
function Cluster:list_vms(leaving)
  local vms = {}
  for _, list in ipairs({self.engines, self.services}) do
    for _, vm in pairs(list) do
      if not vm.gone then
        vms[#vms + 1] = {address = vm.address, place = vm.place,
          kind = vm.kind, versions = vm.versions,
          state = vm == leaving and "leaving" or "live"}
      end
    end
  end
  lib.http("PUT", self.vmlist.address, "/vms", {body = {vms = vms}})
end

function Cluster:daemon_start(i, place, extra, variables)
  local ip = network .. (99 + i)
  local args = {}
  local settings = {}
  for name, value in pairs(FAST) do settings[name] = value end
  for name, value in pairs(self.options.settings or {}) do
    settings[name] = value
  end
  for name, value in pairs(extra or {}) do settings[name] = value end
  local fixed = {"--listen", ip .. ":8080", "--peer-listen", ip .. ":9090",
    "--place", place, "--store", self.store.address, "--vm-list",
    self.vmlist.address, "--rating", self.rating.address}
  for _, arg in ipairs(fixed) do args[#args + 1] = arg end
  for name, value in pairs(settings) do
    args[#args + 1] = "--" .. name
    args[#args + 1] = tostring(value)
  end
  if self.options.relays then
    self:relay_start(i, ip)
    args[#args + 1] = "--peer-advertise"
    args[#args + 1] = network .. (149 + i) .. ":9101"
  end
  local environment = {
    "MOORTACK_OPERATORS=ops:" .. lib.OPERATOR_HASH .. ":*,limited:" ..
      lib.LIMITED_HASH .. ":place",
    "MOORTACK_TOKEN_KEYS=" .. TOKEN_KEYS,
    "MOORTACK_PEER_KEY=" .. PEER_KEY}
  for _, variable in ipairs(variables or {}) do
    environment[#environment + 1] = variable
  end
  local daemon = lib.spawn("moortackd", args, environment,
    "daemon" .. i .. ".log")
  daemon.ip = ip
  daemon.place = place
  daemon.address = ip .. ":8080"
  self.daemons[i] = daemon
  return daemon
end

-- Start a relay in front of a daemon's peer address, which can cut other daemons
-- off from it.
function Cluster:relay_start(i, ip)
  self.relays = self.relays or {}
  if self.relays[i] then return end
  local relay = fake("relay", network .. (149 + i) .. ":9100",
    "relay" .. i .. ".log")
  lib.fault(relay.address, {target = ip .. ":9090"})
  self.relays[i] = relay
end

-- Cut daemon i off from the daemons in others, in both directions; `fault` names
-- another fault of the relay to use in place of "cut".
function Cluster:cut(i, others, fault)
  local sources = {}
  for _, other in ipairs(others) do
    sources[#sources + 1] = self.daemons[other].ip
    lib.fault(self.relays[other].address,
      {target = self.daemons[other].ip .. ":9090",
        [fault or "cut"] = {self.daemons[i].ip}})
  end
  lib.fault(self.relays[i].address,
    {target = self.daemons[i].ip .. ":9090", [fault or "cut"] = sources})
end

function Cluster:heal()
  for i, relay in pairs(self.relays) do
    lib.fault(relay.address, {target = self.daemons[i].ip .. ":9090"})
  end
end

function Cluster:entries()
  local list = {}
  for _, daemon in pairs(self.daemons) do list[#list + 1] = daemon.address end
  return table.concat(list, ",")
end

function Cluster:admin(method, path, body, daemon, key)
  return lib.http(method, (daemon or self.daemons[1]).address,
    "/admin/" .. path, {key = key or lib.OPERATOR_KEY, body = body})
end

function Cluster:status(daemon)
  return self:admin("GET", "status", nil, daemon).json
end

-- Wait until every daemon lists `count` members and all of them respond to it.
function Cluster:wait_joined(count)
  for _, daemon in pairs(self.daemons) do
    lib.wait_until(daemon.address .. " knows its peers", function()
      local status = self:status(daemon)
      if not status or status.members ~= count then return false end
      for _, entry in ipairs(status.entries) do
        if not entry.answers then return false end
      end
      return true
    end)
  end
end

-- Wait until each daemon of the list holds this revision or a later one.
function Cluster:wait_revision(revision, daemons)
  for _, daemon in pairs(daemons or self.daemons) do
    lib.wait_until(daemon.address .. " holds revision " .. revision,
      function()
        local status = self:status(daemon)
        return status and status.held >= revision
      end)
  end
end

function Cluster:plan(changes, daemon)
  local response = self:admin("POST", "plan", {changes = changes}, daemon)
  lib.check(response.status == 200, "plan: %s", response.body)
  return response.json
end

function Cluster:confirm(plan, daemon)
  return self:admin("POST", "confirm/" .. plan.id, {}, daemon)
end

-- Plan and confirm changes, and wait until every daemon holds the revision.
function Cluster:change(changes, daemon)
  local plan = self:plan(changes, daemon)
  local response = self:confirm(plan, daemon)
  lib.check(response.status == 200, "confirm: %s", response.body)
  self:wait_revision(response.json.revision)
  return response.json.revision
end

function Cluster:set_version(name, state, percent)
  return self:change({{set = "version", name = name,
    value = {state = state, percent = percent}}})
end

-- Changes that make a configuration such as users have: two organisations with
-- engines and services.
function lib.standard_changes()
  local changes = {}
  local function set(kind, name, value)
    changes[#changes + 1] = {set = kind, name = name, value = value}
  end
  set("place", "vantaa-hall", {region = "uusimaa"})
  set("place", "espoo-depot", {region = "uusimaa"})
  set("place", "halle-nord", {region = "salzkammergut"})
  set("model", "linen-lm", {kind = "engine", cost = 100, quality = 800})
  set("model", "ofenrat", {kind = "engine", cost = 200, quality = 900})
  set("model", "dock-app", {kind = "service", cost = 5})
  set("model", "buchungsdienst", {kind = "service", cost = 7})
  set("version", "linen-lm@1", {state = "live"})
  set("version", "linen-lm@2", {state = "staged"})
  set("version", "ofenrat@1", {state = "live"})
  set("version", "dock-app@1", {state = "live"})
  set("version", "buchungsdienst@1", {state = "live"})
  set("organisation", "pyykki-dock", {class = "critical",
    places = {"vantaa-hall", "espoo-depot"},
    allow = {"linen-lm@*", "dock-app@*"},
    keys = {lib.ORGANISATIONS["pyykki-dock"].hash}})
  set("organisation", "fachschule", {class = "high",
    places = {"halle-nord"}, allow = {"ofenrat@*", "buchungsdienst@*"},
    keys = {lib.ORGANISATIONS["fachschule"].hash}})
  return changes
end

-- Three daemons in three places with the standard configuration in force.
function lib.standard(options)
  options = options or {}
  options.places = options.places or
    {"vantaa-hall", "espoo-depot", "halle-nord"}
  options.engines = options.engines or {
    {place = "vantaa-hall", versions = {"linen-lm@1", "linen-lm@2"}},
    {place = "espoo-depot", versions = {"linen-lm@1", "linen-lm@2"}},
    {place = "halle-nord", versions = {"ofenrat@1"}},
  }
  options.services = options.services or {
    {place = "vantaa-hall", versions = {"dock-app@1"}},
    {place = "halle-nord", versions = {"buchungsdienst@1"}},
  }
  local c = lib.cluster(options)
  c:wait_joined(#options.places)
  c:change(lib.standard_changes())
  c:wait_ready()
  return c
end

-- Wait until every daemon is healthy and lists every endpoint.
function Cluster:wait_ready()
  local count = 0
  for _ in pairs(self.engines) do count = count + 1 end
  for _ in pairs(self.services) do count = count + 1 end
  for _, daemon in pairs(self.daemons) do
    lib.wait_until(daemon.address .. " is ready", function()
      local response = lib.http("GET", daemon.address, "/healthz")
      local list = self:admin("GET", "endpoints", nil, daemon).json
      return response.status == 200 and list and #list.endpoints >= count
    end)
  end
  -- An engine's versions are known only after a load report of it was read.
  run.sleep(300)
end

-- Requests ------------------------------------------------------------------

function lib.chat_begin(daemon, options)
  options.headers = options.headers or {}
  options.headers["Moortack-Session"] = options.session
  return lib.begin("POST", daemon.address, "/v1/chat/completions", {
    key = lib.ORGANISATIONS[options.organisation or "pyykki-dock"].key,
    headers = options.headers,
    body = {model = options.model or "linen-lm", stream = options.stream,
      max_tokens = options.tokens or 8,
      messages = {{role = "user", content = options.prompt or "hello"}}}})
end

function lib.chat(daemon, options)
  return lib.chat_begin(daemon, options or {}):finish()
end

-- The text with which the fake engine responds to a prompt.
function lib.whole_text(prompt, tokens)
  local parts = {prompt}
  for i = 1, tokens - 1 do parts[#parts + 1] = " w" .. i end
  return table.concat(parts)
end

-- The text of a stream, whether it ends with [DONE], and the type of its error.
function lib.stream_text(body)
  local parts, done, failure = {}, false, nil
  for event in body:gmatch("(.-)\n\n") do
    local data = event:match("data: (.*)")
    if data == "[DONE]" then
      done = true
    elseif event:match("^event: error") then
      failure = run.decode(data).error.type
    elseif data then
      local value = run.decode(data)
      local choice = value and value.choices and value.choices[1]
      if choice and choice.delta then
        parts[#parts + 1] = choice.delta.content
      end
    end
  end
  return table.concat(parts), done, failure
end

function lib.ticket(daemon, organisation)
  local response = lib.http("POST", daemon.address, "/v1/tickets",
    {key = lib.ORGANISATIONS[organisation].key, body = {}})
  lib.check(response.status == 200, "ticket: %s", response.body)
  return response.json.tickets[1]
end

function lib.book_begin(daemon, options)
  local organisation = options.organisation or "fachschule"
  return lib.begin("POST", daemon.address, "/v1/services/" ..
    (options.service or "buchungsdienst") .. "/book", {
    key = lib.ORGANISATIONS[organisation].key,
    headers = {["Moortack-Ticket"] = options.ticket,
      ["Idempotency-Key"] = options.idempotency_key,
      ["Moortack-Deadline-Ms"] = options.deadline_ms},
    body = options.body or {kiln = 3}})
end

function lib.book(daemon, options)
  return lib.book_begin(daemon, options):finish()
end

-- What the fakes recorded ------------------------------------------------------

function lib.runs(process)
  return lib.http("GET", process.address, "/runs").json or {}
end

-- Runs at all services by request id, and their total.
function Cluster:service_runs()
  local all, total = {}, 0
  for _, service in pairs(self.services) do
    for id, count in pairs(lib.runs(service)) do
      all[id] = (all[id] or 0) + count
      total = total + count
    end
  end
  return all, total
end

function Cluster:engine_runs()
  local all = {}
  for i, engine in pairs(self.engines) do
    for _, record in ipairs(lib.runs(engine)) do
      record.engine = i
      record.place = engine.place
      all[#all + 1] = record
    end
  end
  return all
end

-- Runs of one version at all engines.
function Cluster:runs_of(version)
  local count = 0
  for _, record in ipairs(self:engine_runs()) do
    if record.version == version then count = count + 1 end
  end
  return count
end

-- Bills in the store, by request: how many records each has.
function Cluster:bills()
  local by_request, total, after = {}, 0, ""
  while true do
    local response = lib.http("POST", self.store.address, "/table/scan",
      {body = {prefix = "bill/", after = after}})
    local rows = response.json and response.json.rows or {}
    if #rows == 0 then return by_request, total end
    for _, row in ipairs(rows) do
      after = row[1]
      for _, bill in ipairs(run.decode(row[2])) do
        by_request[bill.request] = (by_request[bill.request] or 0) + 1
        total = total + 1
      end
    end
  end
end

-- Check that every request of the list has exactly one bill, and that no request
-- has more than one. Returns the numbers of bills and of requests.
function Cluster:check_billed_once(requests)
  local count = 0
  for _ in pairs(requests) do count = count + 1 end
  lib.wait_until("all bills are in the store", function()
    local bills = self:bills()
    for id in pairs(requests) do
      if not bills[id] then return false end
    end
    return true
  end)
  local bills, total = self:bills()
  for id in pairs(requests) do
    lib.equal(bills[id], 1, "bills of request " .. id)
  end
  for id, records in pairs(bills) do
    lib.equal(records, 1, "bills of request " .. id)
  end
  return total, count
end

function Cluster:events(type, daemon)
  local found = {}
  local response = self:admin("GET", "timeline", nil, daemon)
  for _, event in ipairs(response.json and response.json.events or {}) do
    if event.type == type then found[#found + 1] = event end
  end
  return found
end

function Cluster:counter(daemon, name)
  local text = lib.http("GET", daemon.address, "/metrics").body
  return tonumber(text:match("\nmoortack_" .. name .. "_total (%d+)"))
end

-- Load in the background ------------------------------------------------------

-- Start the load generator; finish_load() waits for its end and returns results.
function lib.load(addresses, options)
  local args = {"--entries", addresses}
  for name, value in pairs(options) do
    args[#args + 1] = "--" .. name
    args[#args + 1] = tostring(value)
  end
  lib.loads = (lib.loads or 0) + 1
  local out = log_dir .. "/load" .. lib.loads .. ".jsonl"
  args[#args + 1] = "--out"
  args[#args + 1] = out
  local process = lib.spawn("moortack-load", args, {},
    "load" .. lib.loads .. ".log")
  process.out = out
  return process
end

-- Returns the summary, one row per request, and the exit status.
function lib.finish_load(process)
  local status = process:wait(120000)
  local rows = {}
  for line in io.lines(process.out) do rows[#rows + 1] = run.decode(line) end
  local file = io.open(process.log)
  local text = file:read("a")
  file:close()
  local summary = run.decode(text:match("({.*})"))
  lib.check(summary, "the load generator printed no summary: %s", text)
  return summary, rows, status
end

-- The requests of these rows whose response was complete.
function lib.whole_of(...)
  local whole = {}
  for _, rows in ipairs({...}) do
    for _, row in ipairs(rows) do
      if row.verdict == "whole" then whole[row.request] = true end
    end
  end
  return whole
end

-- Check that no booking ran twice, and that none reported as not run did run.
function lib.check_at_most_once(rows, runs)
  for _, row in ipairs(rows) do
    local count = runs[row.prompt] or 0
    lib.check(count <= 1, "booking %s ran %d times", row.prompt, count)
    lib.check(not (row.ran == "not_run" and count > 0),
      "booking %s was reported as not run but ran", row.prompt)
  end
end

-- Processor time in ms and resident memory in KiB of a process.
function lib.usage(process)
  local file = io.open("/proc/" .. process.pid .. "/stat")
  local text = file:read("a"):match("%) (.*)")
  file:close()
  local fields = {}
  for field in text:gmatch("%S+") do fields[#fields + 1] = field end
  local resident
  for line in io.lines("/proc/" .. process.pid .. "/status") do
    resident = resident or line:match("^VmRSS:%s+(%d+)")
  end
  return (tonumber(fields[12]) + tonumber(fields[13])) * 10,
    tonumber(resident)
end

return lib
