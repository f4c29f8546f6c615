-- The roll-out of a good version completes in time; that of a bad one is reverted.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local w = words.world(2, 2)
local d = w.daemons

local function traffic(state)
  lib.wait_until("the roll-out is " .. state, function()
    for i = 1, 2 do
      for _ = 1, 3 do words.call(d[i], "/scan/1") end
      words.call(d[i], "/book/1")
    end
    return words.status(w, state)
  end, 30000)
end

w:replica(3, "v2")
w:replica(4, "v2")
local before = #w:runs(3) + #w:runs(4)
for _ = 1, 20 do words.call(d[1], "/book/0") end
lib.equal(#w:runs(3) + #w:runs(4), before, "runs on a version nobody ordered")

w:put("op", "rollout/lm", {service = "lm", to = "v2", duration_s = 8})
traffic("completed")
local old = #w:runs(1) + #w:runs(2)
for i = 1, 2 do
  for _ = 1, 10 do words.call(d[i], "/book/2") end
end
lib.equal(#w:runs(1) + #w:runs(2), old, "runs on the old version")

-- The next version fails every request.
w:replica(1, "v3")
w:replica(2, "v3")
w:faults(1, {fail = true})
w:faults(2, {fail = true})
w:put("op", "rollout/lm", {service = "lm", to = "v3", duration_s = 12})
traffic("reverted")
local exposed = #w:runs(1) + #w:runs(2) - old
lib.check(exposed < 60, "runs on a bad version: %d", exposed)
-- The store's row changes a moment before the other daemon reads it.
local function served(daemon)
  for _ = 1, 10 do
    if words.call(daemon, "/book/3").status ~= 200 then return false end
  end
  return true
end
for i = 1, 2 do
  lib.wait_until("no request goes to the bad version any more", function()
    return served(d[i])
  end, 1500)
end
for i = 1, 2 do
  lib.check(served(d[i]), "a request went to the bad version again")
end
lib.say("ok")
