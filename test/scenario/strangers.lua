-- A daemon with the key of another fleet, which can write the store: the other
-- daemons must reject its connections and must not list it to callers.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard()
local stranger = c:daemon_start(4, "vantaa-hall", nil,
  {"MOORTACK_PEER_KEY=)kBPA^kl8q3SWyhn%p1[9FFd/=)ZLdtdUxSefv=c"})
lib.wait_until("the other daemons have it in their membership", function()
  return (c:status(c.daemons[1]) or {}).members == 4
end)
run.sleep(1500)
for i = 1, 3 do
  for _, entry in ipairs(c:status(c.daemons[i]).entries) do
    if entry.entry == stranger.address then
      lib.equal(entry.answers, false, "whether it responds to daemon " .. i)
    end
  end
  local listed = lib.http("GET", c.daemons[i].address, "/v1/entries",
    {key = lib.ORGANISATIONS["pyykki-dock"].key}).json.entries
  for _, entry in ipairs(listed) do
    lib.check(entry.address ~= stranger.address, "it is not listed to callers")
  end
end
for _, entry in ipairs(c:status(stranger).entries) do
  if entry.entry ~= stranger.address then
    lib.equal(entry.answers, false,
      "whether it gets responses from " .. entry.entry)
  end
end
lib.say("ok")
