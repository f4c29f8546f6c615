-- An endpoint reports that it leaves, while the list of VMs doesn't respond. Once
-- the report has reached every daemon, it must get no new requests; those in
-- flight complete.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard()

lib.fault(c.vmlist.address, {silent = true})
local long = lib.chat_begin(c.daemons[1], {stream = true, tokens = 600,
  prompt = "long"})
run.sleep(200)
local leaving_index
for i = 1, 2 do
  if #lib.runs(c.engines[i]) > 0 then leaving_index = i end
end
lib.check(leaving_index, "the long response is in flight")
local load = lib.load(c:entries(),
  {key = "pyykki-dock-key", rate = 60, seconds = 6, tokens = 4})
run.sleep(500)
-- It reports this with its load, and still accepts what is sent to it.
lib.fault(c.engines[leaving_index].address, {leaving = true, takes_all = true})
for i = 1, 3 do
  lib.wait_until("daemon " .. i .. " knows that it leaves", function()
    local list = c:admin("GET", "endpoints", nil, c.daemons[i]).json.endpoints
    for _, endpoint in ipairs(list) do
      if endpoint.address == c.engines[leaving_index].address then
        return endpoint.state == "leaving"
      end
    end
  end)
end
local runs_before = #lib.runs(c.engines[leaving_index])
local summary = lib.finish_load(load)
lib.equal(#lib.runs(c.engines[leaving_index]), runs_before,
  "runs at the endpoint after every daemon knew")
lib.equal(summary.whole, summary.sent, "chats served meanwhile")
local answer = long:finish()
local text, done = lib.stream_text(answer.body)
lib.check(done, "the long response has its end marker")
lib.equal(text, lib.whole_text("long", 600), "the long response")
lib.say("ok")
