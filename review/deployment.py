"""A small deployment for the cases of the second review: the platform's store,
replicas and callers as stand-ins, and moortack-edge processes with the command of
deploy/system.toml. Loopback addresses only, the real clock, a temporary folder."""
import asyncio, base64, json, os, random, shutil, signal, socket, struct, sys, tempfile, time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
EDGE = os.path.join(ROOT, 'target', 'platform/moortack-edge')
T0 = time.monotonic()


def now():
    return time.monotonic() - T0


async def read_head(reader):
    """The start line and the header fields (list of name, value) of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    fields = []
    for line in lines[1:]:
        if line:
            name, value = line.split(':', 1)
            fields.append((name.strip(), value.strip()))
    return lines[0], fields


def field(fields, name, default=None):
    for key, value in fields:
        if key.lower() == name.lower():
            return value
    return default


async def read_chunks(reader):
    body = b''
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        if size == 0:
            while await reader.readuntil(b'\r\n') != b'\r\n':
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader, fields):
    if (field(fields, 'Transfer-Encoding') or '').lower() == 'chunked':
        return await read_chunks(reader)
    return await reader.readexactly(int(field(fields, 'Content-Length', '0')))


def reset(writer):
    """Ends a connection with a reset, not in order."""
    sock = writer.get_extra_info('socket')
    if sock is not None and writer.transport.get_write_buffer_size() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack('ii', 1, 0))
    writer.transport.abort()


class Server:
    """An HTTP/1.1 server; subclasses answer in handle()."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return '%s:%d' % (self.host, self.port)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        return self

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                if not await self.handle(line, fields, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            try:
                writer.close()
            except Exception:
                pass


class Store(Server):
    """The platform's store as PROTOCOL.md describes it: rows, conditional
    transactions, long polls. Faults are set by attributes."""

    def __init__(self, host, port):
        super().__init__(host, port)
        self.rows, self.gone, self.version, self.compacted = {}, {}, 0, 0
        self.changed = asyncio.Event()
        self.down = None          # None, 'busy' (503), 'reset', 'silent'
        self.down_for = {}        # the same for one of its own addresses
        self.delay_s = 0.004
        self.lose = 0.0           # part of the writes done and not answered
        self.late = 0.0           # part of the writes done later, not answered
        self.era = None           # a number: named in all answers
        self.copy = None
        self.log, self.more = [], []

    async def listen(self, host):
        """One more address, so that it can turn away single daemons."""
        self.more.append(await asyncio.start_server(self.serve, host, self.port))
        return '%s:%d' % (host, self.port)

    # The operator's and the replicas' own writes: direct.
    def put(self, table, key, value):
        self.version += 1
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.rows[table, key] = (self.version, base64.b64encode(text).decode())
        self.gone.pop((table, key), None)
        self.wake()
        return self.version

    def remove(self, table, key):
        if self.rows.pop((table, key), None) is None:
            return
        self.version += 1
        self.gone[table, key] = self.version
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def value(self, table, key):
        row = self.rows.get((table, key))
        return json.loads(base64.b64decode(row[1])) if row else None

    def compact(self):
        self.compacted = self.version
        self.gone.clear()

    def save(self):
        self.copy = dict(self.rows), dict(self.gone), self.version

    def restore(self):
        """Comes back from the copy: later changes are lost, versions go back."""
        rows, gone, self.version = self.copy
        self.rows, self.gone = dict(rows), dict(gone)
        self.era += 1
        self.wake()

    def row(self, table, key):
        version, value = self.rows[table, key]
        return {'table': table, 'part': '', 'key': key, 'value': value,
                'row_version': version}

    def tail(self):
        return {'row_version': self.version, 'now_ms': int(time.monotonic() * 1000)}

    def get(self, query):
        table, start = query['table'], query.get('from', '')
        limit = min(int(query.get('limit', 500)), 500)
        keys = sorted(k for t, k in self.rows if t == table and k >= start)
        return {'rows': [self.row(table, k) for k in keys[:limit]],
                'has_more': len(keys) > limit, **self.tail()}

    def changes(self, table, after):
        rows = [self.row(t, k) for (t, k), (v, _) in self.rows.items()
                if t == table and v > after]
        rows += [{'table': t, 'part': '', 'key': k, 'row_version': v, 'deleted': True}
                 for (t, k), v in self.gone.items() if t == table and v > after]
        return sorted(rows, key=lambda r: r['row_version'])

    async def feed(self, query):
        table, after = query['table'], int(query['after'])
        until = time.monotonic() + min(int(query.get('wait_ms', 0)), 30000) / 1000
        era = self.era
        while True:
            if after < self.compacted or after > self.version or era != self.era:
                return 410, {}
            rows = self.changes(table, after)
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {'rows': rows, **self.tail()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        for row in body.get('expected', []):
            known = self.rows.get((row['table'], row['key']), (0, ''))[0]
            if known != row['row_version']:
                rows = [self.row(r['table'], r['key']) for r in body['expected']
                        if (r['table'], r['key']) in self.rows]
                return 412, {'rows': rows, **self.tail()}
        self.version += 1
        for row in body.get('write', []):
            self.rows[row['table'], row['key']] = (self.version, row['value'])
            self.gone.pop((row['table'], row['key']), None)
        for row in body.get('remove', []):
            if self.rows.pop((row['table'], row['key']), None):
                self.gone[row['table'], row['key']] = self.version
        self.wake()
        return 200, self.tail()

    async def handle(self, line, fields, reader, writer):
        method, target = line.split(' ')[:2]
        body = await read_body(reader, fields)
        source = writer.get_extra_info('sockname')[0]
        down = self.down or self.down_for.get(source)
        if down == 'reset':
            reset(writer)
            return False
        if down == 'silent':
            await asyncio.sleep(60)
            return False
        if down == 'busy':
            status, answer = 503, {}
        else:
            await asyncio.sleep(self.delay_s)
            path, _, text = target.partition('?')
            query = dict(p.split('=', 1) for p in text.split('&') if '=' in p)
            if path == '/-/rows-get':
                status, answer = 200, self.get(query)
            elif path == '/-/rows-feed':
                status, answer = await self.feed(query)
            elif path == '/-/rows-tx':
                draw = random.random()
                if draw < self.late:
                    asyncio.get_event_loop().call_later(
                        random.uniform(1, 6), self.transact, json.loads(body))
                    await asyncio.sleep(30)
                    return False
                status, answer = self.transact(json.loads(body))
                self.log.append((now(), status, json.loads(body)))
                if draw < self.late + self.lose:
                    await asyncio.sleep(30)
                    return False
            else:
                status, answer = 404, {}
        down = self.down or self.down_for.get(source)
        if down in ('reset', 'silent'):
            reset(writer)
            return False
        text = json.dumps(answer).encode()
        extra = b'' if self.era is None else b'Store-Era: %d\r\n' % self.era
        writer.write(b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n%s'
                     b'Content-Length: %d\r\n\r\n' % (status, extra, len(text)) +
                     text)
        await writer.drain()
        return True


class Replica(Server):
    """A sound replica. runs lists (time, id, fields, body length) of what ran."""

    def __init__(self, host, port, name, service, version='v1', work_s=0.03,
                 slots=8, keep_alive=5):
        super().__init__(host, port)
        self.id, self.service, self.version = name, service, version
        self.work_s, self.slots, self.keep_alive = work_s, slots, keep_alive
        self.runs, self.arrivals, self.running = [], [], 0
        self.bad = None     # a hook: async (replica, run) -> None or bytes to send
        self.events = 0     # over 0: streams of so many events
        self.pause_s = 0.05
        self.body_bytes = 300

    def row(self, state='ready'):
        return {'service': self.service, 'address': self.address, 'zone': 'a',
                'version': self.version, 'batch_slots': self.slots, 'state': state,
                'warmup_left_ms': 0, 'sequence': len(self.runs)}

    def head(self, status, rid, extra=''):
        return ('HTTP/1.1 %d X\r\nMoortack-Attempt-Id: %s\r\n'
                'Moortack-Response-Signature: %s.%s\r\n'
                'Moortack-Replica-Load: %d,0,%d\r\nKeep-Alive: timeout=%d\r\n%s'
                % (status, rid, self.id, rid, self.running, self.slots,
                   self.keep_alive, extra)).encode()

    def refuse(self, writer, status):
        writer.write(b'HTTP/1.1 %d X\r\nMoortack-Not-Executed: 1\r\n'
                     b'Content-Length: 0\r\n\r\n' % status)

    async def handle(self, line, fields, reader, writer):
        method, target = line.split(' ')[:2]
        if target.startswith('/-/') or target == '/healthz':
            await read_body(reader, fields)
            status = b'200' if target == '/healthz' else b'404'
            writer.write(b'HTTP/1.1 ' + status + b' X\r\nMoortack-Replica-Id: ' +
                         self.id.encode() + b'\r\nContent-Length: 0\r\n\r\n')
            return True
        rid = field(fields, 'Moortack-Attempt-Id', '')
        self.arrivals.append((now(), rid))
        body = await read_body(reader, fields)
        if field(fields, 'Moortack-Expect-Replica') not in (None, self.id):
            self.refuse(writer, 421)
            return True
        if not rid:
            self.refuse(writer, 400)
            return True
        run = (now(), rid, fields, len(body), line)
        self.runs.append(run)
        self.running += 1
        try:
            if self.bad is not None:
                action = await self.bad(self, run, reader, writer)
                if action is not None:
                    return action
            if self.events > 0:
                await self.stream(rid, fields, writer)
            else:
                await asyncio.sleep(self.work_s)
                text = ('%s:%s;' % (self.id, rid)).encode()
                text = (text * (self.body_bytes // len(text) + 1))[:self.body_bytes]
                writer.write(self.head(200, rid,
                             'Content-Length: %d\r\n\r\n' % len(text)) + text)
            await writer.drain()
        finally:
            self.running -= 1
        return True

    async def stream(self, rid, fields, writer):
        first = int(field(fields, 'Last-Event-Id', '0')) + 1
        writer.write(self.head(200, rid, 'Content-Type: text/event-stream\r\n'
                     'Moortack-Estimate-Confidence: 90\r\n'
                     'Transfer-Encoding: chunked\r\n\r\n'))
        for n in range(first, self.events + 1):
            text = b'id: %d\ndata: %s-%d\n\n' % (n, rid.encode(), n)
            writer.write(b'%x\r\n%s\r\n' % (len(text), text))
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.write(b'0\r\n\r\n')


class Daemon:
    """A moortack-edge process with a settings file as DEPLOY.md shows it."""

    def __init__(self, world, n, **settings):
        self.world, self.n, self.settings = world, n, settings
        self.ip = '%s%d' % (world.net, n)
        self.front = (self.ip, world.port)
        self.process = None

    def write(self, bootstrap):
        s = {'node_name': 'edge-%d' % self.n, 'role': 'edge', 'machine_class': 'edge',
             'serves': 'edge,registry', 'ip': self.ip, 'zone': 'a', 'region': 'r',
             'zones.a': 'r', 'listen.frontend': '%s:%d' % self.front,
             'listen.readiness': '%s:%d' % (self.ip, self.world.port + 1),
             'listen.registry': '%s:%d' % (self.ip, self.world.port + 2),
             'heartbeat_ms': '1200',
             'port_range': '%d,%d' % (self.world.port + 3, self.world.port + 10),
             'bootstrap': 'true' if bootstrap else 'false',
             'limits.cpu_quota': '0.25', 'limits.memory_mb': '260',
             'limits.max_fds': '4200', 'limits.link_mbps': '1000.0',
             'bounds.stable_ms': '3000', 'bounds.drain_ms': '2000',
             'bounds.grace_s': '8', 'bounds.loss_slack_ms': '200',
             'bounds.config_apply_ms': '2000', 'bounds.revoke_strict': 'true',
             'bounds.revoke_ms': '5000', 'bounds.retry_budget_ratio': '0.9',
             'bounds.retry_window_s': '10', 'bounds.retry_min': '54',
             'bounds.canary_share': '0.15', 'bounds.canary_tolerance': '30',
             'bounds.rollback_ms': '5000', 'bounds.recovery_s': '12',
             'bounds.delivery_ms': '120', 'bounds.session_s': '5',
             'bounds.ttl_max_s': '5', 'platform.address': self.world.store.address,
             'platform.form': 'table', 'platform.history_s': '20'}
        s.update(self.settings)
        self.path = os.path.join(self.world.dir, 'node-%d.conf' % self.n)
        with open(self.path, 'w') as out:
            out.writelines('%s=%s\n' % item for item in s.items())

    async def start(self, bootstrap=False):
        self.write(bootstrap)
        log = open(os.path.join(self.world.dir, 'node-%d.log' % self.n), 'ab')
        env = {k: os.environ[k] for k in ('PATH', 'HOME', 'LANG') if k in os.environ}
        env['MOORTACK_NODE_FILE'] = self.path
        self.process = await asyncio.create_subprocess_exec(
            EDGE, '--metrics-port=9464', cwd=ROOT, env=env,
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        return self

    def signal(self, which):
        if self.process and self.process.returncode is None:
            self.process.send_signal(which)

    async def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()

    async def get(self, port, path):
        reader, writer = await asyncio.open_connection(self.ip, port)
        try:
            writer.write(b'GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
                         % path.encode())
            line, fields = await read_head(reader)
            return int(line.split()[1]), await read_body(reader, fields)
        finally:
            writer.close()

    async def metrics(self):
        try:
            _, text = await asyncio.wait_for(
                self.get(9464, '/metrics'), 2)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return {}
        out = {}
        for line in text.decode().splitlines():
            if not line.startswith('#'):
                name, _, value = line.rpartition(' ')
                out[name.replace('moortack_relay_', '')] = float(value)
        return out

    async def ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            try:
                status, _ = await asyncio.wait_for(
                    self.get(self.world.port + 1, '/-/readyz'), 1)
                if status == 200:
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        return False


class Answer:
    def __init__(self, status=0, fields=(), body=b'', complete=False, error=None):
        self.status, self.fields, self.body = status, fields, body
        self.complete, self.error = complete, error

    def __repr__(self):
        return '<%s %s %d bytes %s>' % (self.status, 'whole' if self.complete else
                                        'cut', len(self.body), self.error or '')


class Caller:
    """A connection of a caller, kept for many requests."""

    def __init__(self, front, source=None):
        self.front, self.reader, self.writer = front, None, None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self.front), 1)

    def close(self):
        if self.writer:
            self.writer.transport.abort()
        self.writer = None

    async def send(self, rid, method='POST', path='/book/1', body=b'x' * 200,
                   host='a.example', key='k1', deadline_ms=5000, fields=(),
                   chunked=False, limit_s=None):
        """One request; the answer as far as it came."""
        answer = Answer()
        try:
            if self.writer is None:
                await self.open()
            head = '%s %s HTTP/1.1\r\nHost: %s\r\nMoortack-Attempt-Id: %s\r\n' \
                   'Moortack-Deadline-Ms: %d\r\n' % (method, path, host, rid,
                                                     deadline_ms)
            if key:
                head += 'Moortack-Credential: %s\r\n' % key
            for name, value in fields:
                head += '%s: %s\r\n' % (name, value)
            if chunked:
                out = head.encode() + b'Transfer-Encoding: chunked\r\n\r\n'
                for at in range(0, len(body), 1000):
                    part = body[at:at + 1000]
                    out += b'%x\r\n%s\r\n' % (len(part), part)
                out += b'0\r\n\r\n'
            else:
                out = head.encode()
                if method != 'GET':
                    out += b'Content-Length: %d\r\n' % len(body)
                out += b'\r\n' + (body if method != 'GET' else b'')
            self.writer.write(out)
            await asyncio.wait_for(self.receive(answer),
                                   limit_s or deadline_ms / 1000)
        except asyncio.TimeoutError:
            answer.error = 'deadline'
            self.close()
        except (OSError, asyncio.IncompleteReadError) as error:
            answer.error = type(error).__name__
            self.close()
        if answer.complete and field(answer.fields, 'Connection') == 'close':
            self.close()
        return answer

    async def receive(self, answer):
        line, answer.fields = await read_head(self.reader)
        answer.status = int(line.split()[1])
        if (field(answer.fields, 'Transfer-Encoding') or '').lower() == 'chunked':
            while True:
                size = int((await self.reader.readuntil(b'\r\n')), 16)
                if size == 0:
                    await self.reader.readuntil(b'\r\n')
                    break
                answer.body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
        else:
            answer.body = await self.reader.readexactly(
                int(field(answer.fields, 'Content-Length', '0')))
        answer.complete = True


class ReplicaProcess:
    """A replica of replica_process.py: one that can end as a process does."""

    def __init__(self, world, n, name, service='app', version='v1', events=60,
                 pause_ms=100, framing='unframed'):
        self.world, self.id, self.service, self.version = world, name, service, version
        self.host, self.port = '%s%d' % (world.net, 100 + n), world.port
        self.arguments = [str(events), str(pause_ms), framing]
        self.lines, self.process, self.beats = [], None, None

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, os.path.join(ROOT, 'review/replica_process.py'),
            self.host, str(self.port), self.id, self.version, *self.arguments,
            stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE)
        self.world.replicas.append(self)
        asyncio.ensure_future(self.follow())
        until = time.monotonic() + 10
        while not self.lines and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return self

    async def follow(self):
        async for line in self.process.stdout:
            self.lines.append((now(), json.loads(line)))

    def list(self, state='ready'):
        """Its entry in the store; the store has accepted it at the return."""
        self.world.store.put('servers', self.id, {
            'service': self.service, 'address': '%s:%d' % (self.host, self.port),
            'zone': 'a', 'version': self.version, 'batch_slots': 8, 'state': state,
            'warmup_left_ms': 0, 'sequence': int(now() * 1000)})
        if self.beats is None:
            self.beats = asyncio.ensure_future(self.beat())
        self.state = state

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.list(self.state)

    def unlist(self):
        if self.beats is not None:
            self.beats.cancel()
        self.beats = None
        self.world.store.remove('servers', self.id)

    def events_made(self, rid):
        return max([w['event'] for _, w in self.lines if w.get('id') == rid], default=0)

    def ran(self, rid):
        return any(w.get('run') == rid for _, w in self.lines)

    async def stop(self, which=signal.SIGKILL):
        """Ends the process; its entry stays until it is taken from the list."""
        if self.process.returncode is None:
            self.process.send_signal(which)
            await self.process.wait()

    async def end(self):
        if self.beats is not None:
            self.beats.cancel()
        await self.stop()


class Record:
    """What was sent, answered and run, in a file and on the terminal."""

    def __init__(self, path):
        self.out = open(path, 'w')

    def __call__(self, *words):
        line = '%8.3f s  %s' % (now(), ' '.join(str(w) for w in words))
        self.out.write(line + '\n')
        self.out.flush()
        print(line, flush=True)


def run_case(main, limit_s=110):
    """Runs a case and exits: 1 the rule was broken, 0 it held, 2 it could not run."""
    code = 2
    try:
        code = asyncio.run(asyncio.wait_for(main(), limit_s))
    except Exception as error:
        print('the case could not run: %r' % error)
    sys.exit(code)


class World:
    def __init__(self, net=None, port=0):
        self.net = net or '127.%d.%d.' % (random.randint(2, 250), random.randint(1, 250))
        self.port = port or random.randint(150, 400) * 50
        self.dir = tempfile.mkdtemp(prefix='review-')
        self.store, self.daemons, self.replicas, self.version = None, [], [], 0
        self.beats = {}

    async def begin(self):
        self.store = await Store('%s200' % self.net, self.port).start()

    def route(self, name, kind, **more):
        return {'name': name, 'host': 'a.example', 'prefix': '/%s/' % name,
                'type': kind, 'service': more.pop('service', 'app'),
                'max_attempts': 3 if kind != 'unsafe' else 1, 'timeout_ms': 8000,
                'slo_ms': 1000, 'priority': 1, **more}

    def configure(self, routes=None, keys=('k1', 'k2'), limits=None, services=None):
        self.version += 3
        return self.store.put('op', 'config', {
            'version': self.version,
            'routes': routes or [self.route('book', 'unsafe'),
                                 self.route('scan', 'safe')],
            'services': services or [{'name': 'app', 'max_conns': 400}],
            'limits': {'max_header_bytes': 16384, 'max_body_bytes': 4194304,
                       'header_timeout_ms': 10000, 'idle_timeout_ms': 15000,
                       **(limits or {})},
            'tenants': [{'name': 't1', 'api_keys': list(keys), 'priority': 1}]})

    async def replica(self, n, service='app', **more):
        replica = await Replica('%s%d' % (self.net, 100 + n), self.port,
                                'i-%d' % n, service, **more).start()
        self.replicas.append(replica)
        self.store.put('servers', replica.id, replica.row())
        self.beats[replica.id] = asyncio.ensure_future(self.beat(replica))
        return replica

    async def beat(self, replica):
        while True:
            await asyncio.sleep(1.2)
            self.store.put('servers', replica.id, replica.row())

    def unlist(self, replica):
        self.beats.pop(replica.id).cancel()
        self.store.remove('servers', replica.id)

    async def daemon(self, n, bootstrap=True, **settings):
        daemon = await Daemon(self, n, **settings).start(bootstrap)
        self.daemons.append(daemon)
        return daemon

    async def end(self, keep=False):
        for daemon in self.daemons:
            await daemon.kill()
        for task in self.beats.values():
            task.cancel()
        for replica in self.replicas:
            await (replica.end() if isinstance(replica, ReplicaProcess)
                   else replica.stop())
        await self.store.stop()
        if not keep:
            shutil.rmtree(self.dir, ignore_errors=True)
