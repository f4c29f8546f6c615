-- A part of a prompt crashes each endpoint that begins to answer it. Requests with
-- it come at all daemons, no two alike, beside sound ones that share their caller
-- and all other parts. Guards against sending it on and on, and against refusing
-- sound requests for what they share with it.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local REPLICAS, DAEMONS = 10, 7
-- From this time after the fifth crash on, three more sends are allowed; from
-- twice this time on, sound requests have to be served as before.
local CRASHES, SENDS_MORE, KNOWN_MS = 5, 3, 3000
local BACK_MS, STEP_MS = 1500, 60
local SOUND_MS = 9000 -- duration of each storm
local FILLER = 34 -- parts before one that is beyond those kept for placing
local BAD = {first = "bad1", middle = "bad2", late = "bad3", twin = "bad4"}
local FAULTS = {crash_parts = " bad1 bad2 bad3 bad4 ", pause_ms = 25, events = 30}
local w = words.world(REPLICAS, DAEMONS)
for i = 1, REPLICAS do w:faults(i, FAULTS) end
w:wait_joined()
local crashes = w:watch_crashes(FAULTS, BACK_MS)

local count = 0
local function send(parts)
  count = count + 1
  local header = {}
  for _, part in ipairs(parts) do header[#header + 1] = part .. ":100" end
  header[#header + 1] = string.format("c%x:50", count)
  return words.begin(w.daemons[count % DAEMONS + 1], "/stream/a",
    {body = "request " .. count, headers = {["Moortack-Token-Count"] = "900,30",
      ["Moortack-Prefix-Hash"] = table.concat(header, ",")}})
end

local function served(call)
  local answer = call:finish()
  return answer.status == 200 and words.whole(answer.body, FAULTS.events)
end

-- The sound parts of a prompt, one of which is new in each storm.
local function sound_parts(storm, number)
  local parts = {"a1", string.format("b%x", number % 6)}
  if number % 3 == 0 then parts[#parts + 1] = string.format("d%x", storm) end
  return parts
end

local function with_bad(storm, number, bad, where)
  local parts = sound_parts(storm, number)
  if where == "late" then
    for i = 1, FILLER do parts[#parts + 1] = string.format("f%x", i) end
  end
  local places = {first = 1, middle = 2, late = #parts + 1}
  table.insert(parts, places[where], bad)
  return parts
end

-- Sends sound requests, and with them those with bad parts, for a time.
-- @return sound calls with the time since the fifth crash
local function run_storm(storm, bads, ms)
  local from, start, number = crashes.ended, run.now(), 0
  local sound, others, fifth_at, allowed = {}, {}, nil, nil
  while run.now() < start + ms do
    number = number + 1
    sound[#sound + 1] = {call = send(sound_parts(storm, number)),
      since = fifth_at and run.now() - fifth_at}
    local bad = #bads > 0 and bads[number % (2 * #bads) + 1]
    if bad then
      others[#others + 1] = send(with_bad(storm, number, BAD[bad.name], bad.where))
    end
    run.sleep(STEP_MS)
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
    if served(request.call) then
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

local function check_storm(storm, bads)
  local ended, allowed, tally = run_storm(storm, bads, SOUND_MS)
  lib.check(not allowed or ended <= allowed, "%d endpoints ended, %s allowed",
    ended, tostring(allowed))
  if not allowed then
    lib.check(ended <= (CRASHES + SENDS_MORE) * #bads, "%d endpoints ended", ended)
  end
  -- All endpoints are back: nothing is left that excuses a sound request.
  run.sleep(BACK_MS)
  crashes.look()
  local _, _, after = run_storm(storm, {}, 2000)
  lib.equal(after.early_served, after.early, "sound requests after the storm")
  lib.check(tally.late_served >= 0.9 * tally.late, "%d of %d sound requests",
    tally.late_served, tally.late)
end

run_storm(0, {}, 2000)
check_storm(1, {{name = "middle", where = "middle"}})
check_storm(2, {{name = "first", where = "first"}})
check_storm(3, {{name = "late", where = "late"}, {name = "twin", where = "middle"}})
lib.say("ok")
