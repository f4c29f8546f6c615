-- A configuration gives all services of a route the weight 0, or a service that does
-- not exist. Guards against a daemon that ends at a request on such a route.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local w = words.world(2, 2)

local KINDS = {"streaming", "safe", "unsafe"}
local SERVICES = {weights = {backends = {{service = "lm", weight = 0},
    {service = "other", weight = 0}}}, missing = {service = "none"}}

local routes = {}
local function add(name, prefix, kind, fields)
  local all = {name = name, host = "a.example", prefix = prefix, type = kind,
    max_attempts = 3, timeout_ms = 8000, slo_ms = 1000, priority = 1}
  for k, v in pairs(fields) do all[k] = v end
  routes[#routes + 1] = all
end
for _, kind in ipairs(KINDS) do
  for name, fields in pairs(SERVICES) do
    local path = name .. "-" .. kind
    add(path, "/stream/" .. path .. "/", kind, fields)
    fields.sizes = {"small", "large"}
    add(path .. "-models", "/stream/" .. path .. "-models/", kind, fields)
    fields.sizes = nil
  end
end

local function configure(with)
  w.version = w.version + 3
  local all = {{name = "stream", host = "a.example", prefix = "/stream/",
    type = "streaming", service = "lm", max_attempts = 3, timeout_ms = 8000,
    slo_ms = 1000, priority = 1, resumable = true, sizes = {"small", "large"}}}
  for _, route in ipairs(with) do all[#all + 1] = route end
  w:put("op", "config", {version = w.version, routes = all,
    services = {{name = "lm", max_conns = 400}},
    tenants = {{name = "t1", api_keys = {"k1"}}}})
  lib.wait_until("the configuration is in force", function()
    for _, daemon in ipairs(w.daemons) do
      if words.metric(daemon, "config_version") ~= w.version then
        return false
      end
    end
    return true
  end)
end

-- Requests that are under way lose their service.
for i = 1, 2 do w:faults(i, {work_ms = 1500}) end
configure({})
local under_way = {}
for i, route in ipairs(routes) do
  under_way[i] = words.begin(w.daemons[i % 2 + 1], route.prefix .. "a",
    {headers = words.prompt(1, i)})
end
run.sleep(300)
configure(routes)
for _, call in ipairs(under_way) do
  lib.check(call:finish().status >= 200, "no answer")
end

for i = 1, 2 do w:faults(i, {}) end
for _, daemon in ipairs(w.daemons) do
  for i, route in ipairs(routes) do
    for _, headers in ipairs({words.prompt(1, i), {},
      {["Moortack-Model-Id"] = "small"}, {["Last-Event-Id"] = "3"}}) do
      local since = run.now()
      local answer = words.call(daemon, route.prefix .. "a",
        {headers = headers})
      lib.equal(answer.status, 503, route.prefix)
      lib.equal(w:ran(answer.id), 0, "runs of it")
      lib.check(run.now() - since < 2000, "refused after %d ms",
        run.now() - since)
    end
  end
  lib.equal(words.call(daemon, "/stream/a").status, 200, "the other route")
end
lib.say("ok")
