"""A configuration takes a key away and adds a route with a long prefix."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import world as w  # noqa: E402

REVOKE_S = 5.0  # bounds.revoke_ms
# 112 bytes; the short one has 8.
LONG = ("/studios/salzkammergut/halle-nord/reservations/firing-schedules/"
        "by-week/glost-and-bisque/cones-04-to-10/summaries/")
SHORT = "/weekly/"
ASKED = 10  # times at each daemon, after the bound


def case(world, trouble):
    world.start_store()
    replica = w.Replica(world, 1, "bookings", lambda *_: (0.01, b"booked"))
    base = [w.route("slot", "unsafe", "bookings", max_attempts=1),
            w.route("list", "safe", "bookings")]
    world.configure(base, ["bookings"], keys=("kept", "taken"))
    world.entry(replica)
    for i in (1, 2):
        world.start_daemon(i)
    world.wait_ready(1, 2)
    time.sleep(3.5)  # stable_ms, and a little

    def ask(i, name, path, key):
        status, _ = w.ask(world, i, w.request_text(
            "POST", path, name, b"{}", deadline_ms=1500, key=key))
        world.record.write("daemon %d answers %s (POST %s, key %s): %d" % (
            i, name, path, key, status))
        return status

    for i in (1, 2):
        for key in ("kept", "taken"):
            if ask(i, "before-%d-%s" % (i, key), "/slot/1", key) != 200:
                raise w.CannotRun("the first configuration is not served")
    added = w.route("weekly", "safe", "bookings",
                    prefix=LONG if trouble else SHORT)
    world.configure(base + [added], ["bookings"], keys=("kept",))
    acknowledged = time.monotonic()
    world.record.write("the store has acknowledged a configuration without "
                       "the key 'taken', with a route %s" % added["prefix"])
    time.sleep(REVOKE_S + 0.5)
    for n in range(ASKED):
        for i in (1, 2):
            ask(i, "after-%d-%d" % (i, n), "/slot/1", "taken")
        time.sleep(0.2)
    ask(1, "new-route", added["prefix"] + "7", "kept")
    late = [r for r in replica.runs
            if r["headers"]["moortack-attempt-id"].startswith("after-")]
    world.record.say(
        "requests with the key that was taken away, sent later than %.1f s "
        "after the acknowledgement: %d; run: %d, the last one %.1f s after it"
        % (REVOKE_S, 2 * ASKED, len(late),
           late[-1]["at"] - acknowledged if late else 0))
    # CONFIG: such a request runs.
    return len(late) > 0


w.main(case, FOLDER)
