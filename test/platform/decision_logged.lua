-- A VM is lost with a request in flight: the choice of the endpoint was logged
-- when it was made, with what it was based on.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local w = words.world(1, 0)
local d = w:daemon(1)
words.wait_ready(d)

local function line_of(id)
  for line in io.lines(d.log) do
    if line:match("event=attempt ") and line:find("id=" .. id .. " ", 1, true) then
      return line
    end
  end
end

w:faults(1, {hold = true})
local call = words.begin(d, "/scan/1", {method = "GET", id = "underway"})
lib.wait_until("the decision is logged", function()
  return line_of("underway") ~= nil
end)
d:kill()
call:leave()
local line = line_of("underway")
for _, field in ipairs({"endpoint=i%-1 ", "version=v1 ", "zone=%S+", "attempt=1 ", "of=1 ",
    "load=%d", "left_ms=%d+", "config=%d+", "endpoints_age_ms=%d+"}) do
  lib.check(line:match(field), "%s is missing in: %s", field, line)
end
lib.say("ok")
