-- An endpoint sends bytes that are no response without end, until the daemon closes.
-- Guards against reading on until the caller's time is over, against keeping or
-- passing on what is read, and against taking it for a response.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local DEADLINE_MS, CALLS, RSS_MAX_KB = 6000, 6, 32 * 1024
local w = words.world(2, 1)
local d = w.daemons[1]

local function rss_kb()
  for line in io.lines("/proc/" .. d.pid .. "/status") do
    local kb = line:match("VmRSS:%s+(%d+)")
    if kb then return tonumber(kb) end
  end
end

local function bad_arrivals() return w:arrivals_after(1, 0) end

-- Sends requests of both kinds until the bad endpoint got some of them.
local function calls(check)
  local from, sent = bad_arrivals(), 0
  repeat
    for _ = 1, CALLS do
      sent = sent + 1
      local path = sent % 2 == 0 and "/scan/a" or "/stream/a"
      check(words.call(d, path, {deadline = DEADLINE_MS,
        method = sent % 2 == 0 and "GET" or "POST"}), path)
    end
    lib.check(sent <= 10 * CALLS, "no request at the bad endpoint")
    run.sleep(200)
  until bad_arrivals() > from
  return bad_arrivals() - from
end

for _, where in ipairs({"not_run", "failed", "unsigned", "interim", "head"}) do
  for _, slow in ipairs({false, true}) do
    -- A slow head is a slow response: it may still come, and is waited for.
    if not (slow and (where == "head" or where == "interim")) then
      local name = where .. (slow and ", slow" or "")
      local left = w:left()
      -- Another endpoint has room: the request is served there.
      w:faults(1, {endless = where, endless_slow = slow})
      w:faults(2, {})
      local longest = 0
      local reached = calls(function(response, path)
        lib.equal(response.status, 200, name .. ": status of " .. path)
        lib.check(not response.body:match("xx"), "%s: passed on", name)
        longest = math.max(longest, response.ms)
      end)
      lib.check(longest < DEADLINE_MS / 2, "%s: answered after %d ms", name,
        longest)
      lib.wait_until(name .. ": the daemon closes", function()
        return w:left() >= left + reached
      end, DEADLINE_MS)
      lib.check(rss_kb() < RSS_MAX_KB, "%s: %d KB", name, rss_kb())
      lib.say("%s: %d at the bad endpoint, longest %d ms", name, reached,
        longest)
    end
  end
end

-- No other endpoint: the caller learns what is true, before its time is over.
w:put("servers", w.replicas[2].id, nil)
lib.wait_until("one endpoint is left", function()
  return words.metric(d, "endpoints") == 1
end)
for where, status in pairs({not_run = 503, failed = 502, unsigned = 502}) do
  w:faults(1, {endless = where, endless_slow = true})
  local response = words.call(d, "/book/a", {deadline = DEADLINE_MS})
  lib.equal(response.status, status, where .. ": status of a booking")
  lib.check(response.ms < DEADLINE_MS / 2, "%s: answered after %d ms", where,
    response.ms)
end
lib.say("ok")
