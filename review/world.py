"""A small deployment on loopback addresses for the scripts of the review: the
project's stand-in of the platform's store, replicas, and edge daemons started
with the command of the deploy file. Only Python's standard library is used;
Python is there wherever meson is, which builds the project."""
import base64
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
STORE = os.path.join(ROOT, "out/review/test/platform/standin-store")
# As in deploy/system.toml.
EDGE = ["target/platform/moortack-edge", "--metrics-port=9464"]
HOST = "a.example"
KEY = "k1"
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    pass


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()

    def say(self, text):
        print(text, flush=True)
        self.write(text)


def network():
    """A loopback /24 of which no address listens at the ports used here."""
    for _ in range(50):
        net = "127.%d.%d." % (random.randint(60, 250), random.randint(1, 250))
        try:
            for port in (8100, 9464, 8200):
                with socket.socket() as sock:
                    sock.bind((net + "1", port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


def call(address, method, path, body=None, timeout=3.0):
    host, port = address.split(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        conn.request(method, path, body=None if body is None else
                     json.dumps(body),
                     headers={"Content-Type": "application/json"})
        response = conn.getresponse()
        data = response.read()
        return response.status, json.loads(data) if data else None
    finally:
        conn.close()


def wait(what, condition, seconds=20.0):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, ValueError, http.client.HTTPException):
            pass
        time.sleep(0.05)
    raise CannotRun("never came: " + what)


class Replica:
    """A sound replica: runs one request at a time on a connection, echoes the
    id, signs, and answers with a length. answer(request) gives the seconds of
    work and the body, or None for a reply that the case makes by itself."""

    def __init__(self, world, i, service, answer):
        self.world, self.service, self.answer = world, service, answer
        self.id = "i-%s-%d" % (service, i)
        self.host, self.port = world.net + str(20 + i), 8000
        self.address = "%s:%d" % (self.host, self.port)
        self.runs = []
        self.listener = socket.create_server((self.host, self.port),
                                             backlog=512)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(conn,),
                             daemon=True).start()

    def serve(self, conn):
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        file = conn.makefile("rb")
        try:
            while self.serve_one(conn, file):
                pass
        except (OSError, ValueError):
            pass
        finally:
            conn.close()

    def read(self, file):
        line = file.readline().decode("latin-1").split()
        if len(line) < 3:
            return None
        headers = {}
        while True:
            text = file.readline().decode("latin-1").strip()
            if not text:
                break
            name, value = text.split(":", 1)
            headers[name.lower()] = value.strip()
        body = file.read(int(headers.get("content-length", 0)))
        return {"method": line[0], "path": line[1], "headers": headers,
                "body": body, "at": time.monotonic()}

    def head(self, request, status="200 OK", more=""):
        return ("HTTP/1.1 %s\r\nMoortack-Attempt-Id: %s\r\n"
                "Moortack-Response-Signature: %s.%d\r\n"
                "Moortack-Replica-Load: 1,0,64\r\n%s" % (
                    status, request["headers"].get("moortack-attempt-id", ""),
                    self.id, len(self.runs), more)).encode()

    def serve_one(self, conn, file):
        request = self.read(file)
        if request is None:
            return False
        expected = request["headers"].get("moortack-expect-replica", self.id)
        if expected != self.id:
            conn.sendall(b"HTTP/1.1 421 Misdirected\r\n"
                         b"Moortack-Not-Executed: 1\r\n"
                         b"Content-Length: 0\r\n\r\n")
            return True
        if request["path"] == "/healthz":
            conn.sendall(("HTTP/1.1 200 OK\r\nMoortack-Replica-Id: %s\r\n"
                          "Content-Length: 0\r\n\r\n" % self.id).encode())
            return True
        if "moortack-attempt-id" not in request["headers"]:
            conn.sendall(b"HTTP/1.1 400 Bad Request\r\n"
                         b"Moortack-Not-Executed: 1\r\n"
                         b"Content-Length: 0\r\n\r\n")
            return True
        self.runs.append(request)
        request_id = request["headers"]["moortack-attempt-id"]
        self.world.record.write("replica %s runs %s" % (self.id, request_id))
        reply = self.answer(self, conn, request)
        if reply is None:
            return False
        seconds, body = reply[:2]
        status = reply[2] if len(reply) > 2 else "200 OK"
        time.sleep(seconds)
        conn.sendall(self.head(request, status,
                               "Content-Length: %d\r\n\r\n" % len(body)) +
                     body)
        self.world.record.write("replica %s has answered %s, %d bytes" % (
            self.id, request_id, len(body)))
        return True


class World:
    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = folder
        self.net = network()
        self.tmp = tempfile.mkdtemp(prefix="moortack-review-")
        self.processes = []
        self.daemons = {}
        self.version = 0
        self.entries = {}  # of the replicas that run, by id
        self.entries_lock = threading.Lock()
        self.limits = {"max_header_bytes": 65536, "max_body_bytes": 4194304,
                       "header_timeout_ms": 10000, "idle_timeout_ms": 15000}
        self.zone, self.region = "halle-nord", "salzkammergut"
        self.bounds = {
            "stable_ms": 3000, "drain_ms": 2000, "grace_s": 8,
            "loss_slack_ms": 200, "config_apply_ms": 2000,
            "revoke_strict": "true", "revoke_ms": 5000,
            "retry_budget_ratio": 0.9, "retry_window_s": 10, "retry_min": 54,
            "canary_share": 0.15, "canary_tolerance": 30, "session_s": 5,
            "ttl_max_s": 5}

    def spawn(self, args, env, log):
        out = open(os.path.join(self.tmp, log), "ab")
        process = subprocess.Popen(args, cwd=ROOT, env=env, stdout=out,
                                   stderr=subprocess.STDOUT,
                                   stdin=subprocess.DEVNULL)
        out.close()
        self.processes.append(process)
        return process

    def environment(self):
        return {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                if name in os.environ}

    def start_store(self):
        if not os.access(STORE, os.X_OK):
            raise CannotRun("run review/build.sh first")
        self.store = self.net + "10:8200"
        self.store_process = self.spawn([STORE, "--listen", self.store],
                                        self.environment(), "store.log")
        wait("the store listens",
             lambda: call(self.store, "GET", "/calls")[0] == 200)

    def put(self, table, key, value):
        """Writes a row as the operator or a replica; None removes it."""
        row = {"table": table, "part": "", "key": key}
        body = {"expected": [], "write": [], "remove": []}
        if value is None:
            body["remove"] = [row]
        else:
            row["value"] = base64.b64encode(
                json.dumps(value).encode()).decode()
            body["write"] = [row]
        status, _ = call(self.store, "POST", "/-/rows-tx", body)
        if status != 200:
            raise CannotRun("the store refused a row")

    def configure(self, routes, services, keys=(KEY,)):
        self.version += 3
        self.put("op", "config", {
            "version": self.version, "routes": routes,
            "services": [{"name": name, "health_path": "/healthz",
                          "max_conns": 400, "protocol": "h1", "tls": False}
                         for name in services],
            "limits": self.limits,
            "tenants": [{"name": "t1", "api_keys": list(keys)}]})

    def entry(self, replica, state="ready", **fields):
        value = {"service": replica.service, "address": replica.address,
                 "zone": self.zone, "version": "v1", "batch_slots": 64,
                 "state": state, "warmup_left_ms": 0, "sequence": 1}
        value.update(fields)
        with self.entries_lock:
            first = not self.entries
            self.entries[replica.id] = value
            self.put("servers", replica.id, value)
        if first:
            threading.Thread(target=self.heartbeats, daemon=True).start()

    def leave(self, replica):
        """Removes the entry of a replica."""
        with self.entries_lock:
            self.entries.pop(replica.id, None)
            self.put("servers", replica.id, None)

    def heartbeats(self):
        """Each replica writes its entry again every heartbeat_ms."""
        while True:
            time.sleep(HEARTBEAT_S)
            try:
                with self.entries_lock:
                    for name, value in self.entries.items():
                        value["sequence"] += 1
                        self.put("servers", name, value)
            except (OSError, CannotRun, http.client.HTTPException):
                return

    def settings(self, i):
        ip = self.net + str(i)
        lines = ["node_name=edge-%d" % i, "role=edge", "machine_class=edge",
                 "serves=edge,registry", "ip=" + ip, "zone=" + self.zone,
                 "region=" + self.region,
                 "zones.%s=%s" % (self.zone, self.region),
                 "listen.frontend=%s:8100" % ip,
                 "listen.readiness=%s:8101" % ip,
                 "listen.registry=%s:8102" % ip, "port_range=8103,8110",
                 "bootstrap=%s" % ("false" if self.daemons else "true"),
                 "limits.cpu_quota=0.25", "limits.memory_mb=260",
                 "limits.max_fds=4200", "heartbeat_ms=1200",
                 "platform.address=" + self.store, "platform.form=table"]
        lines += ["bounds.%s=%s" % item for item in self.bounds.items()]
        return "\n".join(lines) + "\n"

    def start_daemon(self, i):
        if not os.access(os.path.join(ROOT, EDGE[0]), os.X_OK):
            raise CannotRun("build the deploy file first")
        path = os.path.join(self.tmp, "node%d.conf" % i)
        with open(path, "w") as file:
            file.write(self.settings(i))
        env = self.environment()
        env["MOORTACK_NODE_FILE"] = path
        process = self.spawn(EDGE, env, "daemon%d.log" % i)
        self.daemons[i] = process
        return process

    def ready(self, i):
        return call(self.net + "%d:8101" % i, "GET", "/-/readyz",
                    timeout=1.0)[0] == 200

    def wait_ready(self, *numbers):
        for i in numbers:
            wait("daemon %d is ready" % i, lambda: self.ready(i))

    def front(self, i):
        return (self.net + str(i), 8100)

    def finish(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in " + self.tmp)
        else:
            shutil.rmtree(self.tmp, ignore_errors=True)


def route(name, kind, service, **fields):
    value = {"name": name, "host": HOST, "prefix": "/%s/" % name,
             "type": kind, "service": service, "max_attempts": 3,
             "timeout_ms": 25000, "slo_ms": 1500, "priority": 1,
             "anonymous": False, "sticky": False}
    value.update(fields)
    return value


def request_text(method, path, request_id, body=b"", deadline_ms=25000,
                 headers=(), key=KEY):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST,
             "Moortack-Attempt-Id: " + request_id,
             "Moortack-Deadline-Ms: %d" % deadline_ms,
             "Moortack-Credential: " + key]
    lines += list(headers)
    if body or method == "POST":
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def ask(world, i, text, timeout=10.0):
    """Sends a request over a new connection. Returns the status, 0 if there is
    none, and the body."""
    with socket.create_connection(world.front(i), timeout=timeout) as sock:
        sock.sendall(text)
        response = http.client.HTTPResponse(sock)
        try:
            response.begin()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""


def on_signal(number, _):
    raise CannotRun("signal %d" % number)


def main(case, folder):
    """Runs a case: case(world, trouble) returns whether the rule was broken."""
    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGALRM, on_signal)
    signal.alarm(110)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World(folder)
    try:
        broken = case(world, trouble)
        world.record.say("the rule %s" % ("was broken" if broken else "held"))
        code = 1 if broken else 0
    except Exception as error:  # not the rule: the case itself failed
        world.record.say("cannot run: %r" % (error,))
        code = 2
    finally:
        world.finish()
    sys.exit(code)
