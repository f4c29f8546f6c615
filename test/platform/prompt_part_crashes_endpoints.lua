-- A part of a prompt crashes each endpoint that begins to answer it. Guards against
-- sending it on and on, and against refusing sound requests for what they share with
-- it.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local Storms = require("storms")
local REPLICAS, DAEMONS = 10, 7
local w = words.world(REPLICAS, DAEMONS)
w:wait_joined()
local storms = Storms.new(w, {faults = {crash_parts = " bad1 bad2 bad3 bad4 ",
  pause_ms = 25, events = 30}})

storms:calm(0)
storms:check(1, {{part = "bad2", where = "middle"}})
storms:check(2, {{part = "bad1", where = "first"}})
storms:check(3, {{part = "bad3", where = "late"}, {part = "bad4", where = "middle"}})
words.lib.say("ok")
