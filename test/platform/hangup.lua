-- SIGHUP, which reloads the settings, terminated a daemon that was still
-- starting: no handler was installed yet, and the signal's default action is to
-- terminate. Found by the soak test, where a restarted daemon never became ready.
--
-- The settings are read from a pipe here: once the daemon has opened it, it is
-- running and waits for them.
package.path = script_dir .. "/?.lua;" .. package.path
local words = require("words")
local lib = words.lib
local w = words.world(1, 0)
local text, path = w:settings(1)
local pipe = path .. ".pipe"

lib.check(os.execute("mkfifo '" .. pipe .. "'"), "cannot create the pipe")
local d = w:start(1, pipe)
local file = assert(io.open(pipe, "w"))
d:signal("HUP")
run.sleep(100)
file:write(text)
file:close()
-- Later reads get a regular file.
file = assert(io.open(path, "w"))
file:write(text)
file:close()
assert(os.rename(path, pipe))
words.wait_ready(d)
lib.equal(words.call(d, "/book/1").status, 200, "a booking")
lib.say("ok")
