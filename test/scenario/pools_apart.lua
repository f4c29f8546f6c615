-- An organisation of an important class overloads one pool. Requests to another
-- pool are all served, although they share the daemon and its queue.
package.path = script_dir .. "/?.lua;" .. package.path
local lib = require("lib")
local c = lib.standard({settings = {["cutoff-ms"] = 1000}, engines = {
  {place = "vantaa-hall", versions = {"linen-lm@1"},
    faults = {slots = 2, token_ms = 20}},
  {place = "halle-nord", versions = {"ofenrat@1"}}}})
-- All requests go to one daemon, so that they share its queue.
local scans = lib.load(c.daemons[1].address,
  {key = "pyykki-dock-key", rate = 40, seconds = 5, tokens = 20})
run.sleep(1500)
local bookings = lib.load(c.daemons[1].address, {key = "fachschule-key",
  rate = 30, seconds = 3, tickets = 1, seed = 2,
  service = "buchungsdienst/book"})
local advice = lib.load(c.daemons[1].address, {key = "fachschule-key",
  rate = 10, seconds = 3, seed = 3, model = "ofenrat", tokens = 4})
local booked, advised = lib.finish_load(bookings), lib.finish_load(advice)
local scanned = lib.finish_load(scans)
lib.say("scans %d of %d, bookings %d of %d, advice %d of %d", scanned.whole,
  scanned.sent, booked.whole, booked.sent, advised.whole, advised.sent)
lib.check(scanned.whole < scanned.sent * 0.8, "the pool is overloaded")
lib.equal(booked.whole, booked.sent, "bookings served")
lib.equal(advised.whole, advised.sent, "advice served")
lib.say("ok")
