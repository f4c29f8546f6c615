-- An engine's stream is cut: it is taken up where it stopped. An engine that is
-- gone for good ends the stream with an error, never as if it were whole.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard({engines = {{place = "vantaa-hall",
  versions = {"linen-lm@1"}}}})

for _, after in ipairs({1, 2, 7, 19}) do
  -- A broken connection, or what looks like an end and has no end mark.
  lib.fault(c.engines[1].address,
    {cut_after = after, ends_cleanly = after > 5})
  local prompt = "cut" .. after
  local answer = lib.chat(c.daemons[1],
    {stream = true, tokens = 20, prompt = prompt})
  local text, done, failure = lib.stream_text(answer.body)
  lib.equal(failure, nil, "the stream's failure")
  lib.check(done, "the stream has its end mark")
  lib.equal(text, lib.whole_text(prompt, 20), "the resumed answer")
end
lib.check(#c:events("stream_resumed") >= 3, "streams were resumed")

-- Gone for good, in the middle.
lib.fault(c.engines[1].address, {token_ms = 20})
local call = lib.chat_begin(c.daemons[1],
  {stream = true, tokens = 200, prompt = "gone"})
lib.wait_until("the stream has begun", function()
  return #call:look().body > 0
end)
c.engines[1]:kill()
local answer = call:finish()
local text, done, failure = lib.stream_text(answer.body)
lib.check(not done, "a cut stream has no end mark")
lib.equal(failure, "stream_cut", "the stream's failure")
lib.check(lib.whole_text("gone", 200):sub(1, #text) == text and #text > 0,
  "what came is the beginning of the answer")
-- What was delivered is billed, once.
lib.check(answer.headers["Moortack-Request"], "the answer names its request")
c:check_billed_once({[answer.headers["Moortack-Request"]] = true})
-- With nothing left to serve it, the refusal is final at once.
local refused = lib.chat(c.daemons[1], {prompt = "none"})
lib.check(refused.status == 503 or refused.status == 502, "refused: %s",
  refused.body)
lib.say("ok")
