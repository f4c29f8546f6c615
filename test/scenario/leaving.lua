-- An endpoint leaves while the list of VMs is silent: no new work after what
-- it said spread, and what it has is finished.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard()

lib.fault(c.vmlist.address, {silent = true})
local long = lib.chat_begin(c.daemons[1], {stream = true, tokens = 600,
  prompt = "long"})
run.sleep(200)
local on
for i = 1, 2 do
  if #lib.runs(c.engines[i]) > 0 then on = i end
end
lib.check(on, "the long answer is under way")
local load = lib.load(c:entries(),
  {key = "pyykki-dock-key", rate = 60, seconds = 6, tokens = 4})
run.sleep(500)
-- It says so in its load report, and still takes what is sent.
lib.fault(c.engines[on].address, {leaving = true, takes_all = true})
for i = 1, 3 do
  lib.wait_until("daemon " .. i .. " knows of the leave", function()
    local list = c:admin("GET", "endpoints", nil, c.daemons[i]).json.endpoints
    for _, endpoint in ipairs(list) do
      if endpoint.address == c.engines[on].address then
        return endpoint.state == "leaving"
      end
    end
  end)
end
local then_runs = #lib.runs(c.engines[on])
local summary = lib.finish_load(load)
lib.equal(#lib.runs(c.engines[on]), then_runs,
  "runs at the endpoint after every daemon knew")
lib.equal(summary.whole, summary.sent, "chats served meanwhile")
local answer = long:finish()
local text, done = lib.stream_text(answer.body)
lib.check(done, "the long answer has its end mark")
lib.equal(text, lib.whole_text("long", 600), "the long answer")
lib.say("ok")
