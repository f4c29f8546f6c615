-- A stream that an engine interrupts is resumed where it stopped. If the engine
-- doesn't come back, the stream ends with an error and without the end marker, so
-- that the caller can't take the truncated response for a complete one.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard({engines = {{place = "vantaa-hall",
  versions = {"linen-lm@1"}}}})

for _, after in ipairs({1, 2, 7, 19}) do
  -- A lost connection, or a clean end without the end marker.
  lib.fault(c.engines[1].address,
    {cut_after = after, ends_cleanly = after > 5})
  local prompt = "cut" .. after
  local answer = lib.chat(c.daemons[1],
    {stream = true, tokens = 20, prompt = prompt})
  local text, done, failure = lib.stream_text(answer.body)
  lib.equal(failure, nil, "the stream's failure")
  lib.check(done, "the stream has its end marker")
  lib.equal(text, lib.whole_text(prompt, 20), "the resumed response")
end
lib.check(#c:events("stream_resumed") >= 3, "streams were resumed")

-- The engine is killed in the middle of a stream.
lib.fault(c.engines[1].address, {token_ms = 20})
local call = lib.chat_begin(c.daemons[1],
  {stream = true, tokens = 200, prompt = "gone"})
lib.wait_until("the stream has begun", function()
  return #call:look().body > 0
end)
c.engines[1]:kill()
local answer = call:finish()
local text, done, failure = lib.stream_text(answer.body)
lib.check(not done, "a truncated stream has no end marker")
lib.equal(failure, "stream_cut", "the stream's failure")
lib.check(lib.whole_text("gone", 200):sub(1, #text) == text and #text > 0,
  "the part received is the beginning of the response")
-- What was delivered is billed exactly once.
lib.check(answer.headers["Moortack-Request"], "the response has a request id")
c:check_billed_once({[answer.headers["Moortack-Request"]] = true})
-- Without an endpoint, the next request is refused at once.
local refused = lib.chat(c.daemons[1], {prompt = "none"})
lib.check(refused.status == 503 or refused.status == 502, "refused: %s",
  refused.body)
lib.say("ok")
