-- A daemon notifies the others of the prompts that it sends: a prompt with the
-- same prefix goes to the same endpoint from another daemon.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local SUBJECTS = 8
local w = words.world(4, 2)

lib.wait_until("all daemons are known to each other", function()
  for _, daemon in ipairs(w.daemons) do
    if words.metric(daemon, "gossip_peers") ~= 1 then return false end
  end
  return true
end)

for subject = 1, SUBJECTS do
  local received = words.metric(w.daemons[2], "gossip_received")
  local first = words.call(w.daemons[1], "/stream/a",
    {headers = words.prompt(subject, 2 * subject)})
  lib.equal(first.status, 200, "the first prompt")
  lib.wait_until("the other daemon receives the notification", function()
    return words.metric(w.daemons[2], "gossip_received") > received
  end)
  local second = words.call(w.daemons[2], "/stream/a",
    {headers = words.prompt(subject, 2 * subject + 1)})
  lib.equal(w:endpoint_of(second.id), w:endpoint_of(first.id),
    "the endpoint of the second prompt")
end
lib.equal(words.metric(w.daemons[1], "gossip_refused"), 0,
  "refused gossip datagrams")
lib.say("ok")
