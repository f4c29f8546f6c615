-- Requests with model "auto": a confident response of the cheap model is
-- returned; one that isn't confident is escalated to the better model, and
-- billed as one bill with two lines.
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
  "the response of one model only")
-- The session stays on the model that it was escalated to.
local next = lib.chat(c.daemons[2], {model = "auto", prompt = "easy two",
  session = hard.headers["Moortack-Session"]})
lib.equal(next.headers["Moortack-Version"], "ofenrat@1",
  "the version of the session")
-- A stream can't be escalated once it has started, so its model is chosen
-- beforehand.
local stream = lib.chat(c.daemons[1],
  {model = "auto", prompt = "hard stream", stream = true})
local _, done = lib.stream_text(stream.body)
lib.check(done, "a stream with model auto")
c:check_billed_once({[easy.headers["Moortack-Request"]] = true,
  [hard.headers["Moortack-Request"]] = true,
  [stream.headers["Moortack-Request"]] = true})
local response = lib.http("POST", c.store.address, "/table/scan",
  {body = {prefix = "bill/", after = ""}})
for _, row in ipairs(response.json.rows) do
  for _, bill in ipairs(run.decode(row[2])) do
    if bill.request == hard.headers["Moortack-Request"] then
      lib.equal(#bill.lines, 2, "lines of the hard request's bill")
      lib.equal(bill.cost, bill.lines[1].cost + bill.lines[2].cost, "cost")
    end
  end
end
lib.say("ok")
