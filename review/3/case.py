"""SIGTERM while clients still read answers that their replicas have finished, and
before requests of some seconds."""
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
LATE_S = (3.05, 3.1, 3.15, 3.2, 3.25)  # after SIGTERM, on open connections
LATE_WORK_S = 5.0
EXCUSED_S = 3.0     # the rule excuses long requests sent no later than that


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


def late_client(world, name, sock, sent_at, result):
    time.sleep(max(0, sent_at - time.monotonic()))
    result[name + ".sent"] = time.monotonic()
    data = b""
    try:
        sock.sendall(w.request_text("POST", "/claim/x", name, b"20"))
        world.record.write("client sends %s" % name)
        while not is_whole(data):
            chunk = sock.recv(65536)
            if not chunk:
                break
            data += chunk
        result[name] = "whole" if is_whole(data) else "closed"
    except OSError as error:
        result[name] = repr(error)
    sock.close()
    world.record.write("client of %s: %s, %d bytes, %.2f s after it sent" % (
        name, result[name], len(data),
        time.monotonic() - result[name + ".sent"]))


def answer(replica, conn, request):
    late = request["headers"]["moortack-attempt-id"].startswith("late")
    return (LATE_WORK_S if late else WORK_S, b"x" * int(request["body"]))


def case(world, trouble):
    world.start_store()
    replica = w.Replica(world, 1, "reports", answer)
    world.configure([w.route("claim", "unsafe", "reports", max_attempts=1),
                     w.route("list", "safe", "reports")], ["reports"])
    world.entry(replica)
    daemon = world.start_daemon(1)
    world.wait_ready(1)
    time.sleep(3.5)  # stable_ms, and a little
    result, threads = {}, []
    open_ones = [socket.create_connection(world.front(1), timeout=20)
                 for _ in LATE_S]
    for size in SIZES:
        for kind in ("claim", "list"):
            thread = threading.Thread(target=client, args=(
                world, "%s-%d" % (kind, size), kind, size, result))
            thread.start()
            threads.append(thread)
    time.sleep(TERM_S)
    term = time.monotonic()
    for after, sock in zip(LATE_S, open_ones):
        thread = threading.Thread(target=late_client, args=(
            world, "late-%.2f" % after, sock, term + after, result))
        thread.start()
        threads.append(thread)
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
    run = {r["headers"]["moortack-attempt-id"] for r in replica.runs}
    # LOST: read whole, passed on to a replica, and no complete answer.
    lost = [name for name in result if not name.endswith(".sent") and
            result[name] != "whole" and name in run and
            (not name.startswith("late") or
             result[name + ".sent"] - term > EXCUSED_S)]
    slow = [name for name in lost if not name.startswith("late")]
    late = [name for name in lost if name.startswith("late")]
    world.record.say("finished answers cut short: %d of %d (%s)" % (
        len(slow), 2 * len(SIZES), " ".join(sorted(slow)) or "none"))
    world.record.say("requests sent over %.0f s after SIGTERM, passed on and "
                     "lost: %d of %d (%s)" % (
                         EXCUSED_S, len(late), len(LATE_S),
                         " ".join(sorted(late)) or "none"))
    return len(lost) > 0


w.main(case, FOLDER)
