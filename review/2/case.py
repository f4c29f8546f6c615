"""All daemons are killed; the order of a roll-out comes while they are down."""
import base64
import json
import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import world as w  # noqa: E402

SERVICES = ["desk-%d" % i for i in range(6)]
REPLICAS = 3         # of each version of a service
CLIENTS = 12         # of a service
PAUSE_S = 0.15       # of a client after an answer
WORK_S = 0.05
# The new version is bad from so long after its start, and fails half of its
# requests then: the site's own `rollout_bad` (`late`, share 0.5, gap_s 3).
GOOD_S = 3.0
DRAINS_S = 4.2       # from `reverted` until the new replicas drain, as on the bench
DOWN_S = 1.5         # of the daemons
START_S = 0.6        # of the new replicas, after the order
ORDER_S = 16.0
SHARE, TOLERANCE, STABLE_S = 0.15, 30, 3.0


def client(world, service, number, stop):
    daemon, sock, count = 1 + number % 2, None, 0
    while time.monotonic() < stop:
        count += 1
        name = "%s-%d-%d" % (service, number, count)
        try:
            if sock is None:
                sock = socket.create_connection(world.front(daemon), timeout=3)
            sock.sendall(w.request_text("POST", "/%s/x" % service, name, b"{}",
                                        deadline_ms=3000))
            data = sock.recv(65536)
            if not data or b"close" in data.lower():
                raise OSError
        except OSError:
            if sock is not None:
                sock.close()
            sock = None
        time.sleep(PAUSE_S)


def states(world):
    """The state of each service's roll-out, as the operator reads it."""
    _, body = w.call(world.store, "GET", "/-/rows-get?table=status&part=")
    return {row["key"].split("/")[-1]:
            json.loads(base64.b64decode(row["value"]))["state"]
            for row in body["rows"]}


def case(world, trouble):
    world.start_store()
    replicas, started = {}, []

    def new_version(replica, *_):
        bad = started and time.monotonic() > started[0] + GOOD_S
        if bad and len(replica.runs) % 2 == 0:
            return WORK_S, b"failed", "500 Internal Server Error"
        return WORK_S, b"done"

    def old_version(*_):
        return WORK_S, b"done"

    for s, service in enumerate(SERVICES):
        for i in range(2 * REPLICAS):
            replica = w.Replica(world, 10 * s + i, service,
                                new_version if i >= REPLICAS else old_version)
            replica.new = i >= REPLICAS
            replicas.setdefault(service, []).append(replica)
    world.configure([w.route(name, "unsafe", name, max_attempts=1,
                             slo_ms=300, timeout_ms=3000)
                     for name in SERVICES], SERVICES)
    for service in SERVICES:
        for replica in replicas[service]:
            if not replica.new:
                world.entry(replica)
    for i in (1, 2):
        world.start_daemon(i)
    world.wait_ready(1, 2)
    stop = time.monotonic() + 5 + ORDER_S
    for service in SERVICES:
        for number in range(CLIENTS):
            threading.Thread(target=client, daemon=True, args=(
                world, service, number, stop)).start()
    time.sleep(4)
    in_touch = time.monotonic()
    if trouble:
        world.record.write("both daemons are killed")
        for daemon in world.daemons.values():
            daemon.kill()
            daemon.wait()
    order = time.monotonic()
    for service in SERVICES:
        world.put("op", "rollout/" + service, {
            "service": service, "to": "v2", "duration_s": ORDER_S})
    world.record.write("the orders are acknowledged")
    time.sleep(START_S)
    started.append(time.monotonic())
    for service in SERVICES:
        for replica in replicas[service]:
            if replica.new:
                world.entry(replica, version="v2")
    time.sleep(DOWN_S - START_S)
    if trouble:
        for i in (1, 2):
            world.start_daemon(i)
        world.record.write("both daemons are started")
        world.wait_ready(1, 2)
        in_touch = time.monotonic() + STABLE_S
    stopped = set()
    while time.monotonic() < order + ORDER_S:
        # The platform's part: at 'completed' the old replicas stop, at
        # 'reverted' the new ones drain some seconds later.
        for service, state in states(world).items():
            if (service, state) not in stopped:
                stopped.add((service, state))
                world.record.write("roll-out of %s: %s" % (service, state))
                for replica in replicas[service]:
                    if state == "completed" and not replica.new:
                        world.leave(replica)
                    if state == "reverted" and replica.new:
                        threading.Timer(DRAINS_S, world.entry, (
                            replica, "draining"), {"version": "v2"}).start()
        time.sleep(0.2)
    broken = []
    for service in SERVICES:
        runs = [(r, x) for r in replicas[service] for x in r.runs
                if order <= x["at"] <= order + ORDER_S]
        new = sum(r.new and x["at"] >= in_touch for r, x in runs)
        allowed = SHARE * len(runs) + TOLERANCE
        world.record.say(
            "%s: %d requests, %d of them at the new version from daemons in "
            "touch, allowed %d; roll-out %s" % (
                service, len(runs), new, allowed,
                states(world).get(service, "without a state")))
        if new > allowed:
            broken.append(service)
    # EXPOSURE: a bad version gets more than its share and the tolerance.
    return len(broken) > 0


w.main(case, FOLDER)
