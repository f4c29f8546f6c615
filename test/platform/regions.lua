-- Two regions. Guards against running a request outside the regions of its
-- route or its organisation, whichever daemon receives it; it is refused at once if
-- the two have no region in common. The directory names daemons in the caller's
-- region.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local ROUNDS = 30
local w = words.world(4, 2, 5, {daemon_zones = {"a", "b"},
  zone_regions = {a = "r", b = "q"}, extra_settings = "zones.a=r\nzones.b=q\n"})
for i = 3, 4 do w:set_zone(i, "b") end
w:wait_joined()

-- Send requests; returns how many ran in each region, and how many were not
-- served.
local function send_load(path)
  local before = {r = #w:runs(1) + #w:runs(2), q = #w:runs(3) + #w:runs(4)}
  local unserved = 0
  for round = 1, ROUNDS do
    local answer = words.call(w.daemons[round % 2 + 1], path)
    if answer.status ~= 200 then unserved = unserved + 1 end
  end
  return #w:runs(1) + #w:runs(2) - before.r,
    #w:runs(3) + #w:runs(4) - before.q, unserved
end

local function configure(routes, organisation)
  w.route_regions, w.organisation_regions = routes, organisation
  w:configure()
  lib.wait_until("the configuration is in force", function()
    for _, daemon in ipairs(w.daemons) do
      if words.metric(daemon, "config_version") ~= w.version then
        return false
      end
    end
    return true
  end)
end

local function expect(path, r, q, unserved, what)
  local got_r, got_q, got_unserved = send_load(path)
  lib.check(got_r == r and got_q == q and got_unserved == unserved,
    "%s: %d in r, %d in q, %d unserved", what, got_r, got_q, got_unserved)
end

configure({stream = {"r"}, book = {"q"}, scan = {"r", "q"}})
expect("/stream/a", ROUNDS, 0, 0, "a route restricted to r")
expect("/book/a", 0, ROUNDS, 0, "a route restricted to q")
local r, q, unserved = send_load("/scan/a")
lib.check(r > 0 and q > 0 and unserved == 0,
  "a route restricted to both: %d %d %d", r, q, unserved)
configure({scan = {"r", "q"}, stream = {"r"}}, {"q"})
expect("/scan/a", 0, ROUNDS, 0, "an organisation restricted to q")
expect("/stream/a", 0, 0, ROUNDS, "restricted to r and to q")
local since = run.now()
local answer = words.call(w.daemons[1], "/stream/a")
lib.equal(answer.status, 503, "restricted to r and to q")
lib.check(run.now() - since < 500, "refused after %d ms", run.now() - since)
expect("/open/a", ROUNDS / 2, ROUNDS / 2, 0, "not restricted")

for _, daemon in ipairs(w.daemons) do
  lib.equal(words.addresses(daemon, "r")[1], w.daemons[1].callers, "named in r")
  lib.equal(#words.addresses(daemon, "r"), 1, "daemons named in r")
  lib.equal(words.addresses(daemon, "q")[1], w.daemons[2].callers, "named in q")
  -- No daemons in that region: those in the regions of the host's routes, or
  -- all if a route is not restricted.
  lib.equal(#words.addresses(daemon, "x"), 2, "daemons named to x")
end
configure({stream = {"r"}, book = {"r"}, scan = {"r"}, open = {"r"}})
for _, daemon in ipairs(w.daemons) do
  lib.equal(#words.addresses(daemon, "x"), 1, "daemons named to x")
  lib.equal(words.addresses(daemon, "x")[1], w.daemons[1].callers, "named to x")
end
lib.say("ok")
