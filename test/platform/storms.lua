-- Series of crashes that a part of a prompt causes: each endpoint that begins to
-- answer a prompt with the part ends, and is back later under another id. Requests
-- with the part come at all daemons, no two alike, beside sound ones that share their
-- caller and all other parts, some of which are new.
local words = require("words")
local lib = words.lib
local Storms = {}
Storms.__index = Storms

-- From this time after the fifth crash on, three more sends are allowed; from
-- twice this time on, sound requests have to be served as before.
local CRASHES, SENDS_MORE, KNOWN_MS = 5, 3, 3000
local BACK_MS, STORM_MS, CALM_MS = 1500, 9000, 2000
local FILLER = 34 -- parts before one that is beyond those kept for placing

-- @param options of the storms: faults of the endpoints, step_ms between requests
function Storms.new(world, options)
  local self = setmetatable({world = world, faults = options.faults,
    step_ms = options.step_ms or 60, count = 0}, Storms)
  for i in ipairs(world.replicas) do world:faults(i, self.faults) end
  self.crashes = world:watch_crashes(self.faults, BACK_MS)
  return self
end

function Storms:send(parts)
  self.count = self.count + 1
  local header = {}
  for _, part in ipairs(parts) do header[#header + 1] = part .. ":100" end
  header[#header + 1] = string.format("c%x:50", self.count)
  local daemons = self.world.daemons
  return words.begin(daemons[self.count % #daemons + 1], "/stream/a",
    {body = "request " .. self.count, headers = {["Moortack-Token-Count"] = "900,30",
      ["Moortack-Prefix-Hash"] = table.concat(header, ",")}})
end

function Storms:served(call)
  local answer = call:finish()
  return answer.status == 200 and words.whole(answer.body, self.faults.events)
end

-- The sound parts of a prompt, one of which is new in each storm.
local function sound_parts(storm, number)
  local parts = {"a1", string.format("b%x", number % 6)}
  if number % 3 == 0 then parts[#parts + 1] = string.format("d%x", storm) end
  return parts
end

local function with_bad(storm, number, bad)
  local parts = sound_parts(storm, number)
  if bad.where == "late" then
    for i = 1, FILLER do parts[#parts + 1] = string.format("f%x", i) end
  end
  local places = {first = 1, middle = 2, late = #parts + 1}
  table.insert(parts, places[bad.where], bad.part)
  return parts
end

-- Sends sound requests, and beside them those with bad parts, for a time.
-- @param at function(ms) called at each step; may be nil
-- @return endpoints that ended, how many may have (nil: too few crashes), counts of
-- sound requests
function Storms:run(storm, bads, ms, at)
  local crashes = self.crashes
  local from, start, number = crashes.ended, run.now(), 0
  local sound, others, fifth_at, allowed = {}, {}, nil, nil
  while run.now() < start + ms do
    number = number + 1
    if at then at(run.now() - start) end
    sound[#sound + 1] = {call = self:send(sound_parts(storm, number)),
      since = fifth_at and run.now() - fifth_at}
    local bad = #bads > 0 and bads[number % (2 * #bads) + 1]
    if bad then others[#others + 1] = self:send(with_bad(storm, number, bad)) end
    run.sleep(self.step_ms)
    crashes.look()
    local ended = crashes.ended - from
    if not fifth_at and ended >= CRASHES * #bads then fifth_at = run.now() end
    if fifth_at and not allowed and run.now() >= fifth_at + KNOWN_MS then
      allowed = ended + SENDS_MORE * #bads
    end
  end
  local tally = {early = 0, early_served = 0, late = 0, late_served = 0}
  for _, request in ipairs(sound) do
    local when = request.since and request.since >= 2 * KNOWN_MS and "late" or "early"
    tally[when] = tally[when] + 1
    if self:served(request.call) then
      tally[when .. "_served"] = tally[when .. "_served"] + 1
    end
  end
  for _, call in ipairs(others) do call:finish() end
  crashes.look()
  lib.say("storm %d: ended=%d sound=%d/%d later=%d/%d", storm,
    crashes.ended - from, tally.early_served, tally.early, tally.late_served,
    tally.late)
  return crashes.ended - from, allowed, tally
end

function Storms:calm(storm)
  return self:run(storm, {}, CALM_MS)
end

-- Runs a storm and checks it, then that all sound requests are served after it.
-- @param bads list of {part, where}, where: first, middle, or late for one that is
-- beyond the parts kept for placing
function Storms:check(storm, bads, at)
  local ended, allowed, tally = self:run(storm, bads, STORM_MS, at)
  allowed = allowed or (CRASHES + SENDS_MORE) * #bads
  lib.check(ended <= allowed, "%d endpoints ended, %d allowed", ended, allowed)
  lib.check(tally.late_served >= 0.9 * tally.late, "%d of %d sound requests",
    tally.late_served, tally.late)
  -- All endpoints are back: nothing is left that excuses a sound request.
  run.sleep(BACK_MS)
  self.crashes.look()
  local _, _, after = self:calm(storm)
  lib.equal(after.early_served, after.early, "sound requests after the storm")
end

return Storms
