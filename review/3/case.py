"""SIGTERM while clients still read answers that their replicas have finished."""
import os
import signal
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import world as w  # noqa: E402

SIZES = (200000, 220000, 240000, 250000)  # of answers, one of each kind
WORK_S = 0.6        # of the replica
TERM_S = 0.3        # after the requests were sent
SLOW_S = 3.0        # for so long after it sent, a client reads slowly:
SLOW_BYTES = 1000   # so much,
SLOW_EVERY_S = 0.1  # so often, 10 KB a second; then as fast as it comes


def is_whole(data):
    head, found, body = data.partition(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return found and len(body) >= int(line.split(b":")[1])
    return found and body.endswith(b"\r\n0\r\n\r\n")


def client(world, name, kind, size, result):
    sock = socket.socket()
    # A link between machines, not the loopback interface's 64 KB segments.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
    sock.connect(world.front(1))
    sock.settimeout(20)
    sock.sendall(w.request_text("POST", "/%s/x" % kind, name,
                                b"%d" % size))
    sent = time.monotonic()
    world.record.write("client sends %s" % name)
    data, whole = b"", False
    try:
        while not whole:
            slow = time.monotonic() - sent < SLOW_S
            chunk = sock.recv(SLOW_BYTES if slow else 65536)
            if not chunk:
                break
            data += chunk
            whole = is_whole(data)
            if slow:
                time.sleep(SLOW_EVERY_S)
        why = "whole" if whole else "closed"
    except OSError as error:
        why = repr(error)
    sock.close()
    result[name] = why
    world.record.write("client of %s: %s, %d bytes of an answer of %d, %.2f s "
                       "after it sent" % (name, why, len(data), size,
                                          time.monotonic() - sent))


def case(world, trouble):
    world.start_store()
    replica = w.Replica(world, 1, "reports", lambda _, __, request: (
        WORK_S, b"x" * int(request["body"])))
    world.configure([w.route("claim", "unsafe", "reports", max_attempts=1),
                     w.route("list", "safe", "reports")], ["reports"])
    world.entry(replica)
    daemon = world.start_daemon(1)
    world.wait_ready(1)
    time.sleep(3.5)  # stable_ms, and a little
    result, threads = {}, []
    for size in SIZES:
        for kind in ("claim", "list"):
            thread = threading.Thread(target=client, args=(
                world, "%s-%d" % (kind, size), kind, size, result))
            thread.start()
            threads.append(thread)
    time.sleep(TERM_S)
    term = time.monotonic()
    if trouble:
        world.record.write("SIGTERM")
        daemon.send_signal(signal.SIGTERM)
        try:
            status = daemon.wait(timeout=12)
        except Exception:
            status = "none"
        world.record.say("the daemon ended %.2f s after SIGTERM, status %s" % (
            time.monotonic() - term, status))
    for thread in threads:
        thread.join()
    cut = [name for name in result if result[name] != "whole"]
    run = {r["headers"]["moortack-attempt-id"] for r in replica.runs}
    world.record.say("%d of %d answers whole; cut short: %s" % (
        len(result) - len(cut), len(result), " ".join(sorted(cut)) or "none"))
    # LOST: read whole, passed on to a replica, and no complete answer.
    return any(name in run for name in cut)


w.main(case, FOLDER)
