-- The caller leaves the model open: a cheap answer that is sure is given, one
-- that is not goes up to the better model, and is one bill with two lines.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard({engines = {
  {place = "vantaa-hall", versions = {"linen-lm@1"}},
  {place = "espoo-depot", versions = {"ofenrat@1"}}}})
c:change({{set = "organisation", name = "pyykki-dock",
  value = {quality = 850, allow = {"linen-lm@*", "ofenrat@*"}}}})

local easy = lib.chat(c.daemons[1], {model = "auto", prompt = "easy one"})
lib.equal(easy.status, 200, "an easy request")
lib.equal(easy.headers["Moortack-Version"], "linen-lm@1", "its version")
local hard = lib.chat(c.daemons[1], {model = "auto", prompt = "hard one"})
lib.equal(hard.status, 200, "a hard request")
lib.equal(hard.headers["Moortack-Version"], "ofenrat@1", "its version")
lib.equal(hard.json.choices[1].message.content, lib.whole_text("hard one", 8),
  "the answer of one model only")
-- The session goes on where it ended up.
local next = lib.chat(c.daemons[2], {model = "auto", prompt = "easy two",
  session = hard.headers["Moortack-Session"]})
lib.equal(next.headers["Moortack-Version"], "ofenrat@1", "the session's")
-- A stream can't be taken back: one model, chosen beforehand.
local stream = lib.chat(c.daemons[1],
  {model = "auto", prompt = "hard stream", stream = true})
local _, done = lib.stream_text(stream.body)
lib.check(done, "an open stream")
c:check_billed_once({[easy.headers["Moortack-Request"]] = true,
  [hard.headers["Moortack-Request"]] = true,
  [stream.headers["Moortack-Request"]] = true})
local answer = lib.http("POST", c.store.address, "/table/scan",
  {body = {prefix = "bill/", after = ""}})
for _, row in ipairs(answer.json.rows) do
  for _, bill in ipairs(run.decode(row[2])) do
    if bill.request == hard.headers["Moortack-Request"] then
      lib.equal(#bill.lines, 2, "lines of the hard request's bill")
      lib.equal(bill.cost, bill.lines[1].cost + bill.lines[2].cost, "cost")
    end
  end
end
lib.say("ok")
