-- An endpoint that responds with raw bytes, see standin_raw.c.
local words = require("words")
local lib = words.lib
local Raw = {}
Raw.__index = Raw
local raw_endpoint = {}

-- Its field "others" is how many endpoints are listed beside it.
-- @param world of moortack-edge; optional
-- @param service optional
function raw_endpoint.start(world, service)
  local address = network .. "40:8000"
  local raw = setmetatable({world = world, service = service or "lm",
    address = address, link = network .. "40:8001", incarnation = 0, others = 0,
    process = lib.spawn("test/platform/standin-raw", {"--listen", address}, {},
      "raw.log")}, Raw)
  lib.wait_until("the raw endpoint listens", function()
    return lib.http("GET", address, "/runs", {timeout_ms = 500}).status ~= 0
  end)
  return raw
end

-- Sets the response. @param how other fields of the fault; optional
function Raw:set(bytes, how)
  local faults = {["end"] = "keep",
    hex = bytes:gsub(".", function(c)
      return string.format("%02x", c:byte())
    end)}
  faults.hex = faults.hex:gsub("\n", "0a")
  for name, value in pairs(how or {}) do faults[name] = value end
  lib.fault(self.address, faults)
end

function Raw:wait_endpoints(count)
  lib.wait_until("the daemons know the endpoints", function()
    return self.world:all_show("endpoints", count)
  end)
end

-- The same as another incarnation, whose earlier failures don't count.
function Raw:respond(bytes, how)
  self:set(bytes, how)
  if self.id then
    self.world:put("servers", self.id, nil)
    self:wait_endpoints(self.others)
  end
  self.incarnation = self.incarnation + 1
  self.id = "raw-" .. self.incarnation
  self.world:put("servers", self.id, {service = self.service,
    address = self.link, zone = "a", version = "v1", batch_slots = 8,
    state = "ready", sequence = 1})
  self:wait_endpoints(self.others + 1)
end

-- The requests with this id that reached it.
function Raw:runs(id)
  local found = {}
  for _, executed in ipairs(lib.http("GET", self.address, "/runs").json.runs) do
    if executed["Moortack-Attempt-Id"] == id then found[#found + 1] = executed end
  end
  return found
end

-- How many POST requests reached it.
function Raw:posts()
  local count = 0
  for _, executed in ipairs(lib.http("GET", self.address, "/runs").json.runs) do
    if executed.method == "POST" then count = count + 1 end
  end
  return count
end

function Raw:ran(id) return #self:runs(id) end

-- The connection on which a request reached it.
function Raw:connection(id) return self:runs(id)[1].connection end

return raw_endpoint
