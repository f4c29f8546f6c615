"""A replica in a process of its own, so that its end is that of a process.

usage: replica_process.py HOST PORT ID VERSION EVENTS PAUSE_MS [FRAMING]

It answers each request with a stream of EVENTS events, one each PAUSE_MS, and
goes on after Last-Event-Id. FRAMING is 'unframed' (no length, the answer ends
with its connection) or 'chunked'. It writes a JSON line for each thing it does.
SIGTERM ends the process at once, as does any other signal that ends processes."""
import json, os, signal, socket, sys, threading, time

HOST, PORT, ID, VERSION = sys.argv[1], int(sys.argv[2]), sys.argv[3], sys.argv[4]
EVENTS, PAUSE = int(sys.argv[5]), float(sys.argv[6]) / 1000
FRAMING = sys.argv[7] if len(sys.argv) > 7 else 'unframed'
lock = threading.Lock()


def tell(**what):
    with lock:
        sys.stdout.write(json.dumps({'replica': ID, **what}) + '\n')
        sys.stdout.flush()


def event(rid, n):
    return b'id: %d\ndata: %s-%d\n\n' % (n, rid.encode(), n)


def answer(conn, rid, first):
    head = ('HTTP/1.1 200 OK\r\nMoortack-Attempt-Id: %s\r\n'
            'Moortack-Response-Signature: %s.%s\r\n'
            'Content-Type: text/event-stream\r\n' % (rid, ID, rid))
    head += 'Connection: close\r\n\r\n' if FRAMING == 'unframed' \
        else 'Transfer-Encoding: chunked\r\n\r\n'
    conn.sendall(head.encode())
    for n in range(first, EVENTS + 1):
        text = event(rid, n)
        conn.sendall(text if FRAMING == 'unframed'
                     else b'%x\r\n%s\r\n' % (len(text), text))
        tell(event=n, id=rid)
        time.sleep(PAUSE)
    if FRAMING != 'unframed':
        conn.sendall(b'0\r\n\r\n')
    tell(done=rid)


def serve(conn):
    data = b''
    try:
        while True:
            while b'\r\n\r\n' not in data:
                more = conn.recv(65536)
                if not more:
                    return
                data += more
            head, _, data = data.partition(b'\r\n\r\n')
            lines = head.decode('latin-1').split('\r\n')
            fields = {}
            for line in lines[1:]:
                name, _, value = line.partition(':')
                fields[name.strip().lower()] = value.strip()
            length = int(fields.get('content-length', '0'))
            while len(data) < length:
                more = conn.recv(65536)
                if not more:
                    return
                data += more
            data = data[length:]
            rid = fields.get('moortack-attempt-id', '')
            expected = fields.get('moortack-expect-replica', ID)
            target = lines[0].split()[1]
            if target.startswith('/-/'):
                conn.sendall(b'HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n')
            elif target == '/healthz':
                conn.sendall(b'HTTP/1.1 200 OK\r\nMoortack-Replica-Id: %s\r\n'
                             b'Content-Length: 0\r\n\r\n' % ID.encode())
            elif expected != ID or not rid:
                conn.sendall(b'HTTP/1.1 421 X\r\nMoortack-Not-Executed: 1\r\n'
                             b'Content-Length: 0\r\n\r\n')
            else:
                first = int(fields.get('last-event-id', '0')) + 1
                tell(run=rid, first=first)
                answer(conn, rid, first)
                if FRAMING == 'unframed':
                    return
    except OSError:
        tell(lost=True)
    finally:
        conn.close()


listener = socket.socket()
listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
listener.bind((HOST, PORT))
listener.listen(64)
tell(listens='%s:%d' % (HOST, PORT))
while True:
    connection, _ = listener.accept()
    threading.Thread(target=serve, args=(connection,), daemon=True).start()
