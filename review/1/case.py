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

CLIENTS = 8
BYTES = 250000     # of an answer
WORK_S = 0.6       # of the replica
TERM_S = 0.3       # after the requests were sent
READ_EVERY_S = 0.1
READ_BYTES = 3600  # 36 KB a second


def client(world, name, kind, result):
    sock = socket.socket()
    # A link between machines, not the loopback interface's 64 KB segments.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
    sock.connect(world.front(1))
    sock.settimeout(20)
    sock.sendall(w.request_text("POST", "/%s/x" % kind, name, b"{}"))
    sent = time.monotonic()
    world.record.write("client sends %s" % name)
    data, need = b"", None
    try:
        while need is None or len(data) < need:
            chunk = sock.recv(READ_BYTES)
            if not chunk:
                break
            data += chunk
            if need is None and b"\r\n\r\n" in data:
                head, _ = data.split(b"\r\n\r\n", 1)
                for line in head.split(b"\r\n"):
                    if line.lower().startswith(b"content-length:"):
                        need = len(head) + 4 + int(line.split(b":")[1])
            time.sleep(READ_EVERY_S)
        why = "whole" if need is not None and len(data) >= need else "closed"
    except OSError as error:
        why = repr(error)
    sock.close()
    result[name] = (why, len(data), need, time.monotonic() - sent)
    world.record.write("client of %s: %s, %d of %s bytes, %.2f s after it sent"
                       % (name, why, len(data), need, result[name][3]))


def case(world, trouble):
    world.start_store()
    body = b"x" * BYTES
    replica = w.Replica(world, 1, "reports", lambda *_: (WORK_S, body))
    world.configure([w.route("claim", "unsafe", "reports", max_attempts=1),
                     w.route("list", "safe", "reports")], ["reports"])
    world.entry(replica)
    daemon = world.start_daemon(1)
    world.wait_ready(1)
    time.sleep(3.5)  # stable_ms, and a little
    result, threads = {}, []
    for i in range(CLIENTS):
        kind = "claim" if i % 2 == 0 else "list"
        thread = threading.Thread(target=client, args=(
            world, "%s-%d" % (kind, i), kind, result))
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
    cut = [name for name in result if result[name][0] != "whole"]
    run = {r["headers"]["moortack-attempt-id"] for r in replica.runs}
    world.record.say("%d of %d answers whole; cut short: %s" % (
        CLIENTS - len(cut), CLIENTS, " ".join(sorted(cut)) or "none"))
    # LOST: read whole, passed on to a replica, and no complete answer.
    return any(name in run for name in cut)


w.main(case, FOLDER)
