-- The owners of endpoints follow what these keep. After all daemons were killed,
-- prompts go where their parts are kept, though no daemon has sent them there.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DAEMONS = 11
-- Owners of that many endpoints are queried before a prompt is placed.
local REPLICAS = 3
local SUBJECTS = 9
-- From the start of the processes until the contents are used.
local KNOWN_MS = 3000
-- Least time between two lists of a replica.
local LIST_INTERVAL_MS = 5000
local CALLS_MAX = 4
-- For longer than this, a prompt that was sent counts as reported.
local RECENT_MS = 3200
local w = words.world(REPLICAS, DAEMONS, nil,
  {follow_contents = true, engine = {most = CALLS_MAX}})

local function sum(name)
  local total = 0
  for _, daemon in ipairs(w.daemons) do
    total = total + words.metric(daemon, name)
  end
  return total
end

local function kv(i)
  return lib.http("GET", w.replicas[i].address, "/kv").json
end

local function wait_known(count, limit)
  lib.wait_until(count .. " endpoints' contents are known", function()
    return sum("contents_known") == count
  end, limit)
end

-- A prompt that reaches a replica past the daemons, so that only the replica
-- knows of it.
local function place(i, subject)
  local headers = words.prompt(subject, 1000 + subject)
  headers["Moortack-Model-Id"] = "small"
  local response = lib.http("POST", w.replicas[i].address, "/stream/a",
    {headers = headers, body = "body"})
  lib.equal(response.status, 200, "a prompt past the daemons")
end

local own = 0
local function send(daemon, subject)
  own = own + 1
  local headers = words.prompt(subject, own)
  headers["Moortack-Model-Id"] = "small"
  local response = words.call(daemon, "/stream/a", {headers = headers})
  lib.equal(response.status, 200, "a prompt")
  return w:endpoint_of(response.id)
end

-- Subject s is kept by replica s modulo REPLICAS, whatever daemons would choose.
local function home(subject) return subject % REPLICAS + 1 end

local function check_homes(first, what)
  for subject = first, first + SUBJECTS - 1 do
    lib.equal(send(w.daemons[subject % DAEMONS + 1], subject), home(subject),
      what .. ", subject " .. subject)
  end
end

wait_known(REPLICAS)
for subject = 1, SUBJECTS do place(home(subject), subject) end
lib.wait_until("events on all parts", function()
  return sum("contents_parts") >= 2 * SUBJECTS
end)
check_homes(1, "a prompt whose parts were reported by events")

-- What endpoints report outweighs that this daemon sent prompts there: they have
-- dropped these, and others keep them.
local sent_to = {}
for subject = 51, 50 + SUBJECTS do
  sent_to[subject] = send(w.daemons[1], subject)
end
for i = 1, REPLICAS do
  w:faults(i, {kv_capacity = 1})
  place(i, 99)
  w:faults(i, {})
end
for subject, i in pairs(sent_to) do place(i % REPLICAS + 1, subject) end
run.sleep(RECENT_MS)
for subject, i in pairs(sent_to) do
  lib.equal(send(w.daemons[1], subject), i % REPLICAS + 1,
    "the endpoint of a prompt that another one dropped")
end

-- All daemons are lost at once.
for _, daemon in ipairs(w.daemons) do daemon:kill() end
for subject = 101, 100 + SUBJECTS do place(home(subject), subject) end
local lists = {}
for i = 1, REPLICAS do lists[i] = #kv(i).lists end
local start = run.now()
for i = 1, DAEMONS do w:daemon(i) end
for _, daemon in ipairs(w.daemons) do words.wait_ready(daemon) end
local ready = run.now()
wait_known(REPLICAS)
lib.say("ready after %d ms, known after %d ms", ready - start,
  run.now() - start)
lib.check(run.now() - start < KNOWN_MS, "contents known after %d ms",
  run.now() - start)
check_homes(101, "a prompt after the restart of all daemons")
for i = 1, REPLICAS do
  lib.check(#kv(i).lists - lists[i] <= 2, "replica %d was listed %d times", i,
    #kv(i).lists - lists[i])
end

-- A replica restarts under another id, with nothing kept.
w.replicas[1]:kill()
w:revive(1, {})
wait_known(REPLICAS)
place(1, 201)
lib.wait_until("the new replica's parts are known", function()
  return send(w.daemons[1], 201) == 1
end)

-- The owner of an endpoint is killed, later another one is stopped: others follow.
local function an_owner()
  for i, daemon in ipairs(w.daemons) do
    if words.metric(daemon, "contents_followed") > 0 then return i, daemon end
  end
end
local number, owner = an_owner()
owner:kill()
local lost = table.remove(w.daemons, number)
wait_known(REPLICAS)
table.insert(w.daemons, number, lost)
w:daemon(number)
words.wait_ready(w.daemons[number])
wait_known(REPLICAS)
number, owner = an_owner()
owner:stop()
lost = table.remove(w.daemons, number)
wait_known(REPLICAS)
place(2, 301)
lib.wait_until("the new owners know of a prompt", function()
  return send(w.daemons[1], 301) == 2
end)
owner:continue()
table.insert(w.daemons, number, lost)
wait_known(REPLICAS)

-- Lost events lead to lists, at most one in the interval.
local from = run.now()
w:faults(2, {kv_lose = 5})
for i = 1, 40 do
  place(2, 400 + i)
  run.sleep(50)
end
lib.wait_until("a gap is noticed", function()
  return sum("contents_gaps_total") > 0
end)
run.sleep(LIST_INTERVAL_MS)
local listed = 0
for _, at in ipairs(kv(2).lists) do
  if at >= from then listed = listed + 1 end
end
local bound = math.ceil((run.now() - from) / LIST_INTERVAL_MS) + 1
lib.check(listed >= 1 and listed <= bound, "%d lists, at most %d", listed,
  bound)

-- Refusals, silence and invalid responses: prompts are served as without the
-- calls, and calls are rare.
local function calls_at(i)
  local seen = kv(i)
  return #seen.polls + #seen.lists
end
for _, faults in ipairs({{kv_status = 429}, {kv_silent = 1},
    {kv_garbage = 1}, {kv_status = 503}}) do
  local before = {}
  for i = 1, REPLICAS do
    w:faults(i, faults)
    before[i] = calls_at(i)
  end
  lib.wait_until("calls in that state", function()
    for i = 1, REPLICAS do
      if calls_at(i) == before[i] then return false end
    end
    return true
  end)
  wait_known(0)
  lib.check(send(w.daemons[1], 500) ~= nil, "a prompt without contents")
end
for i = 1, REPLICAS do w:faults(i, {}) end
wait_known(REPLICAS)

-- What does not offer the calls is left alone.
for i = 1, REPLICAS do w:faults(i, {kv_status = 404}) end
wait_known(0)
run.sleep(500)
local calls = 0
for i = 1, REPLICAS do calls = calls + calls_at(i) end
run.sleep(6000)
for i = 1, REPLICAS do calls = calls - calls_at(i) end
lib.equal(calls, 0, "calls to endpoints that do not offer them")
lib.check(kv(2).held_peak <= CALLS_MAX, "%d calls at once", kv(2).held_peak)
lib.say("ok")
