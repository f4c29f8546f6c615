-- A configuration takes a key away and adds routes with long texts, many
-- backends, models and regions, and large numbers. Guards against refusing all of
-- it, so that the key stays valid and the routes are missing.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local w = words.world(2, 2)

local SERVICE = string.rep("s", 150)
local LONG_PREFIX = "/" .. string.rep("long-part-of-a-path/", 150)

local function route(name, prefix, fields)
  local all = {name = name, host = "a.example", prefix = prefix, type = "safe",
    service = "lm", max_attempts = 3, timeout_ms = 8000, slo_ms = 1000,
    priority = 1}
  for k, v in pairs(fields or {}) do all[k] = v end
  return all
end

local backends, sizes, regions = {}, {}, {}
for i = 1, 40 do
  backends[i] = {service = "lm", weight = i % 2 * 2000000}
  sizes[i] = i % 2 == 0 and "small" or "large"
  regions[i] = i == 40 and "r" or "region-" .. i
end

local replica = w.replicas[2]
replica.service = SERVICE
w:replica(2)
w.version = w.version + 3
w:put("op", "config", {version = w.version, routes = {
    route("book", "/book/", {type = "unsafe"}),
    route("long", LONG_PREFIX),
    route(string.rep("n", 300), "/name/"),
    route("service", "/service/", {service = SERVICE}),
    route("backends", "/backends/", {backends = backends}),
    route("fractions", "/fractions/", {backends = {
      {service = "lm", weight = 0.25}, {service = "lm", weight = 0.75}}}),
    route("sizes", "/stream/sizes/", {type = "streaming", sizes = sizes}),
    route("regions", "/regions/", {regions_allowed = regions}),
    route("numbers", "/numbers/", {timeout_ms = 1000000000000,
      slo_ms = 1000000000, max_attempts = 1000000, priority = 5000}),
    route("odd", "/book/odd/", {type = "unknown"})},
  services = {{name = "lm", max_conns = 2000000, warmup_s = 1000000},
    {name = SERVICE}},
  limits = {idle_timeout_ms = 1000000000},
  tenants = {{name = string.rep("t", 300),
    api_keys = {"k1", string.rep("k", 2000)}}}})
lib.wait_until("the key that was taken away is refused", function()
  for _, daemon in ipairs(w.daemons) do
    if words.call(daemon, "/book/a", {key = "k2"}).status ~= 401 then
      return false
    end
  end
  return true
end)

lib.wait_until("the endpoint with a long service is known", function()
  for _, daemon in ipairs(w.daemons) do
    if words.call(daemon, "/service/a").status ~= 200 then return false end
  end
  return true
end)
for _, daemon in ipairs(w.daemons) do
  for _, path in ipairs({"/book/a", LONG_PREFIX .. "a", "/name/a",
    "/service/a", "/backends/a", "/fractions/a", "/stream/sizes/a", "/regions/a",
    "/numbers/a"}) do
    lib.equal(words.call(daemon, path).status, 200, path:sub(1, 20))
  end
  lib.equal(words.call(daemon, "/book/a",
    {key = string.rep("k", 2000)}).status, 200, "a long key")
  -- Not served by the route with the shorter prefix.
  local answer = words.call(daemon, "/book/odd/a")
  lib.equal(answer.status, 503, "a route that can't be read")
  lib.equal(w:ran(answer.id), 0, "runs of it")
  lib.equal(words.call(daemon, "/none/a").status, 404, "no route")
  lib.equal(words.metric(daemon, "config_version"), w.version, "version")
  lib.equal(words.metric(daemon, "config_parts_refused"), 1, "parts refused")
  lib.check(words.ready(daemon), "a daemon is not ready")
end
lib.say("ok")
