-- The whole request path in the platform's protocol: callers look up where to
-- connect, requests run once on an endpoint of their route with their
-- organisation, streams are complete, and unauthorised requests are refused.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local w = words.world(2, 3)
local d = w.daemons

lib.wait_until("all daemons are listed", function()
  return #words.addresses(d[1]) == 3 and #words.addresses(d[3]) == 3
end)
lib.wait_until("daemons follow one another", function()
  return words.metric(d[1], "following") + words.metric(d[2], "following") +
    words.metric(d[3], "following") == 2
end)

local booked = words.call(d[1], "/book/7?shelf=2")
lib.equal(booked.status, 200, "a booking")
lib.equal(booked.body, "done\n", "its body")
lib.equal(w:ran(booked.id), 1, "runs of the booking")
for _, request in ipairs(w:all_runs()) do
  lib.equal(request.uri, "/book/7?shelf=2", "path and query")
  lib.equal(request["Moortack-Tenant-Id"], "t1", "organisation")
  lib.equal(request["Moortack-Credential"], nil, "the key is not forwarded")
  lib.equal(request.body_len, 4, "length of the body")
end

local stream = words.call(d[2], "/stream/a")
lib.equal(stream.status, 200, "a stream")
lib.check(words.whole(stream.body, 20), "events: %s", stream.body)

lib.equal(words.call(d[1], "/book/1", {key = "k9"}).status, 401, "unknown key")
lib.equal(words.call(d[1], "/book/1", {key = false}).status, 401, "no key")
lib.equal(words.call(d[1], "/open/1", {key = false}).status, 200, "anonymous")
lib.equal(words.call(d[1], "/other/1").status, 404, "unknown route")

-- A key that is removed is soon refused by every daemon.
w:configure({"k2"})
for i = 1, 3 do
  lib.wait_until("the key is refused", function()
    return words.call(d[i], "/scan/1", {method = "GET"}).status == 401
  end)
  lib.equal(words.call(d[i], "/scan/1",
    {method = "GET", key = "k2"}).status, 200, "the other key")
end

-- A draining replica gets no new requests.
w:replica(1, "v1", "draining")
lib.wait_until("the draining replica is known", function()
  local before = #w:runs(1)
  for _ = 1, 12 do words.call(d[2], "/scan/2", {key = "k2"}) end
  return #w:runs(1) == before
end)
lib.say("ok")
