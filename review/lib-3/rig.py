"""Stand-ins of the platform, the instances and the clients, and daemons as processes.

Everything listens on loopback. The stand-ins follow PROTOCOL.md: the store keeps rows
with versions, a feed and conditions; an instance keeps a log with terms and numbers;
a client holds one session. The daemons are started with the command of the deploy file
and with its template of the settings, filled in with the bounds of a site.
"""
import base64, bisect, hashlib, http.server, json, os, re, shutil, signal, socket
import subprocess, sys, tempfile, threading, time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()

# Bounds of the site cosecha-pedidos.
BOUNDS = {"quotaTolerance": 20, "quotaOverage": 0.1, "revokeTimeoutMs": 5000,
          "gracePeriodS": 6, "drainTimeoutMs": 7000}
MEMORY_MB = 260
HEARTBEAT_S = 1.2
REPLICA_LAG_S = 0.008
PROMOTE_S = 1.0


class Record:
    """Log of what was sent, answered and run: one line an event, with seconds."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()

    def __call__(self, who, what, **fields):
        at = time.monotonic() - START
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        with self.lock:
            self.file.write(f"{at:8.3f} {who}: {what} {text}\n".rstrip() + "\n")
            self.file.flush()
        return at


class Store:
    """The platform's store, and the service that takes promotions."""

    def __init__(self, record):
        self.record = record
        self.rows, self.history, self.version = {}, [], 0
        self.changed = threading.Condition()
        self.promote = lambda service, instance: 409
        self.is_down = False
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def do_GET(self):
                self.answer("GET", b"")

            def do_POST(self):
                length = int(self.headers.get("Content-Length") or 0)
                self.answer("POST", self.rfile.read(length))

            def answer(self, method, body):
                path, _, query = self.path.partition("?")
                query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
                if store.is_down and path != "/promotions":
                    status, value = 503, {}
                else:
                    status, value = store.call(method, path, query, body, self.headers)
                data = json.dumps(value).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                try:
                    self.wfile.write(data)
                except OSError:
                    self.close_connection = True

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def now_ms(self):
        return int((time.monotonic() - START) * 1000) + 1000

    def put(self, table, key, value, part=""):
        """Writes a row on behalf of the operator or of an instance."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        with self.changed:
            self.version += 1
            self._write((table, part, key), data)
            self.changed.notify_all()
        return self.version

    def drop(self, table, key, part=""):
        with self.changed:
            self.version += 1
            self._write((table, part, key), None)
            self.changed.notify_all()

    def _write(self, name, data):
        if data is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = (self.version, data)
        self.history.append((self.version, name))

    def _json(self, name):
        row = {"tableName": name[0], "part": name[1], "key": name[2]}
        if name in self.rows:
            row["rowVersion"], row["value"] = self.rows[name]
        else:
            row["isDeleted"] = True
        return row

    def call(self, method, path, query, body, headers):
        if path == "/-/rows-get":
            with self.changed:
                prefix = (query["tableName"], query.get("part", ""))
                start = query.get("startKey", "").replace("%00", "\0")
                names = sorted(n for n in self.rows if n[:2] == prefix and n[2] >= start)
                limit = min(int(query.get("rowLimit", 500)), 500)
                return 200, {"rows": [self._json(n) for n in names[:limit]],
                             "hasMore": len(names) > limit, "rowVersion": self.version,
                             "currentTimeMs": self.now_ms()}
        if path == "/-/rows-feed":
            table, after = query["tableName"], int(query["after"])
            until = time.monotonic() + int(query.get("waitTimeoutMs", 0)) / 1000
            with self.changed:
                while True:
                    first = bisect.bisect_right(self.history, (after, ("\U0010ffff",)))
                    names = {}
                    for version, name in self.history[first:]:
                        if name[0] == table:
                            names.pop(name, None)
                            names[name] = version
                    left = until - time.monotonic()
                    if names or left <= 0:
                        return 200, {"rows": [self._json(n) for n in names],
                                     "rowVersion": self.version, "currentTimeMs": self.now_ms()}
                    self.changed.wait(left)
        if path == "/-/rows-tx":
            call = json.loads(body)
            name = lambda row: (row["tableName"], row.get("part", ""), row["key"])
            with self.changed:
                for row in call.get("expect", []):
                    known = self.rows.get(name(row), (0, None))[0]
                    if row.get("rowVersion", 0) != known:
                        return 412, {"rows": [], "rowVersion": self.version,
                                     "currentTimeMs": self.now_ms()}
                self.version += 1
                for row in call.get("write", []):
                    self._write(name(row), row["value"])
                for row in call.get("remove", []):
                    self._write(name(row), None)
                self.changed.notify_all()
                return 200, {"rowVersion": self.version, "currentTimeMs": self.now_ms()}
        if path == "/promotions":
            call = json.loads(body)
            self.record("platform", "promotion ordered", service=call["service"], id=call["id"],
                        holder=headers["X-Ebonygauge-Lease-Holder"],
                        token=headers["X-Ebonygauge-Fencing-Token"])
            return self.promote(call["service"], call["id"]), {}
        return 404, {}


class Instance:
    """One copy of a service: its log, and how much of it reads see."""

    def __init__(self, group, name, zone, role):
        self.group, self.name, self.zone, self.role = group, name, zone, role
        self.term, self.log, self.applied = 1, [], 0
        self.is_deaf, self.pause_term, self.state = False, 0, "ready"
        self.sequence, self.delay, self.connections = 0, {}, set()
        self.is_up, self.beat_at, self.written_at, self.born = True, 0.0, 0.0, group.born
        self.receive_s = 0.0  # time that a commit takes from the primary to this replica
        self._listen(0)

    def _listen(self, port):
        self.listener = socket.create_server(("127.0.0.1", port), backlog=128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, args=(self.listener,), daemon=True).start()

    def crash(self):
        """Ends the process of the instance: its connections break, and it sends nothing."""
        with self.group.lock:
            self.is_up = False
            self.group.record("rig", "instance crashes", id=self.name, role=self.role,
                              position=self.position(False))
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def restart(self, with_log=True):
        """Starts a crashed instance again, with its log or, as a new process, with nothing."""
        with self.group.lock:
            self.pause_term, self.sequence, self.born = 0, 0, int(time.time() * 1000)
            if not with_log:
                self.log, self.applied, self.term, self.role = [], 0, 0, "replica"
            if any(i.is_up and i.term > self.term for i in self.group.instances):
                self.role = "replica"
            self.is_up = True
            self.group.record("rig", "instance is back", id=self.name, role=self.role,
                              position=self.position(False))
        self._listen(int(self.address.rsplit(":", 1)[1]))
        self.register()

    def register(self):
        """Writes the entry of the instance, unless the store is down."""
        self.beat_at = time.monotonic()
        if self.group.store.is_down:
            return
        self.written_at = self.beat_at
        self.sequence += 1
        self.group.store.put("servers", self.name, {
            "service": self.group.name, "address": self.address, "zone": self.zone,
            "version": "v1", "capacity": 3, "state": self.state, "warmupLeftMs": 0,
            "databaseRole": self.role, "sequence": self.sequence,
            "born": self.born})

    def position(self, applied=True):
        return f"{self.term}.{self.applied if applied else len(self.log)}"

    def _accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            with connection, connection.makefile("rb", newline=None) as lines:
                self._session(connection, lines)
        except OSError:
            pass
        finally:
            self.connections.discard(connection)

    def _session(self, connection, lines):
        send = lambda text: connection.sendall(text.encode())
        fields = lines.readline().decode().rstrip("\r\n").split(" ")
        expected = fields[3] if len(fields) > 3 else self.name
        if fields[0] != "STARTUP" or fields[1] != self.group.name or expected != self.name:
            return send(f"ERROR MISROUTED {self.name}\r\n")
        self.connections.add(connection)
        session = {"values": {}, "names": {}, "tx": None, "failed": False, "user": fields[2]}
        send(f"READY I {self.position()}\r\n")
        while line := lines.readline():
            word, _, rest = line.decode().rstrip("\r\n").partition(" ")
            if word != "QUERY":
                return
            query_id, _, text = rest.partition(" ")
            kind = text.split(" ")[0]
            if self.delay.get(kind):
                time.sleep(self.delay[kind])
            with self.group.lock:
                if not self.is_up:
                    return
                before = len(self.log)
                rows, outcome = self._run(session, query_id, text)
                number = len(self.log)
            if number > before and self.group.sync and not self._await_replica(number):
                return
            with self.group.lock:
                state = "E" if session["failed"] else "I" if session["tx"] is None else "T"
                answer = "".join(f"DATAROW {row}\r\n" for row in rows)
                answer += f"{outcome}\r\nREADY {state} {self.position()}\r\n"
            send(answer)

    def _await_replica(self, number):
        """Waits until a replica has received a commit; false if the instance ends first."""
        while True:
            with self.group.lock:
                others = [i for i in self.group.instances if i is not self and i.is_up]
                if any(i.term == self.term and len(i.log) >= number for i in others):
                    return True
                if not self.is_up or self.role != "primary":
                    return False
            time.sleep(0.0005)

    def _run(self, session, query_id, text):
        sign = lambda: "COMPLETE %s" % hashlib.sha256(
            f"{self.name} {query_id} {text} {len(self.log)}".encode()).hexdigest()[:16]
        note = lambda what, **fields: self.group.record(
            f"instance {self.name}", what, id=query_id, text=repr(text), **fields)
        words = text.split(" ")
        if words[0] == "AFTER":
            term, number = (int(x) for x in words[1].split("."))
            if (self.term, self.applied) < (term, number):
                note("refused as LAGGING", at=self.position())
                return [], f"ERROR LAGGING {self.name}"
            words = words[2:]
        if words[0] == "EXECUTE":
            shape = session["names"].get(words[1])
            if shape is None:
                return [], f"ERROR NOSTMT {self.name}"
            words = [shape[0], *words[2:]]
        if words[0] == "STATUS" or words[0] in ("PAUSE", "STEPDOWN", "RESUME"):
            self._control(words)
            lag = 0
            return [f"{self.role} {self.term} {self.position(False)} {self.pause_term} {lag} 0 "
                    f"{len(self.connections)}"], "COMPLETE -"
        if words[0] == "ROLLBACK":
            session["tx"], session["failed"] = None, False
            return [], "COMPLETE -"
        if session["failed"]:
            if words[0] == "COMMIT":
                session["tx"], session["failed"] = None, False
            return [], "ERROR MALFORMED the transaction has failed"
        if words[0] == "SET":
            session["values"][words[1]] = " ".join(words[2:])
            return [], "COMPLETE -"
        if words[0] == "PREPARE":
            session["names"][words[1]] = words[2:]
            return [], "COMPLETE -"
        if words[0] == "DISCARD":
            session["values"], session["names"] = {}, {}
            return [], "COMPLETE -"
        is_plain_begin = words[0] == "BEGIN" and words[1:] != ["READ"]
        if self.role != "primary" and (words[0] == "WRITE" or is_plain_begin):
            return [], f"ERROR READONLY {self.name}"
        if words[0] == "BEGIN":
            session["tx"] = []
            return [], sign()
        if words[0] == "READ":
            own = [d for i, d in (session["tx"] or []) if i == words[1]]
            seen = [d for i, d, _, _ in self.log[:self.applied] if i == words[1]]
            row = (own or seen or [None])[-1]
            note("runs", at=self.position(), row=row)
            return [row] if row is not None else [], sign()
        if words[0] == "WRITE":
            if session["tx"] is not None:
                session["tx"].append((words[1], words[2]))
                note("runs", at=self.position())
                return [], sign()
            self._commit([(words[1], words[2])], query_id)
            note("runs and commits", at=self.position())
            return [], sign()
        if words[0] == "COMMIT":
            writes, session["tx"] = session["tx"] or [], None
            if writes and self.role != "primary":
                return [], f"ERROR READONLY {self.name}"
            self._commit(writes, query_id)
            note("commits", at=self.position(), writes=len(writes))
            return [], sign()
        return [], "ERROR MALFORMED unknown"

    def _control(self, words):
        if words[0] == "PAUSE" and self.role == "replica" and int(words[1]) > self.term:
            self.pause_term = int(words[1])
        if words[0] == "RESUME":
            self.pause_term = 0
        if words[0] == "STEPDOWN" and self.role == "primary" and self.term < int(words[1]):
            self.role = "replica"
            self.register()

    def _commit(self, writes, query_id):
        if writes:
            at = time.monotonic()
            self.log.extend((item, data, query_id, at) for item, data in writes)
            self.applied = len(self.log)


class Group:
    """A service with a primary and two replicas, which follow it a moment later."""

    def __init__(self, record, store, name, ids, zones, lag=REPLICA_LAG_S, sync=0):
        self.record, self.store, self.name, self.lag, self.sync = record, store, name, lag, sync
        self.lock, self.born = threading.RLock(), int(time.time() * 1000)
        self.acknowledged = []  # identifiers of commits, in the order of the clients' answers
        # Promotions in effect: instance, identifiers in its log, commits acknowledged before.
        self.promoted = []
        roles = ["primary"] + ["replica"] * (len(ids) - 1)
        self.instances = [Instance(self, *x) for x in zip(ids, zones, roles)]
        for instance in self.instances:
            instance.register()
        threading.Thread(target=self._replicate, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def _beat(self):
        """Heartbeats; the store removes an entry after three intervals of silence."""
        while True:
            time.sleep(0.05)
            now = time.monotonic()
            for instance in self.instances:
                if instance.is_up and now - instance.beat_at >= HEARTBEAT_S:
                    instance.register()
                if not instance.is_up and now - instance.written_at >= 3 * HEARTBEAT_S \
                        and not self.store.is_down \
                        and ("servers", "", instance.name) in self.store.rows:
                    self.store.drop("servers", instance.name)
                    self.record("platform", "entry removed", id=instance.name)

    def _replicate(self):
        """Replicas receive a commit after `receive_s`, and apply it after `lag` more."""
        while True:
            time.sleep(0.001)
            with self.lock:
                leads = [i for i in self.instances if i.role == "primary" and i.is_up]
                if not leads:
                    continue
                primary, now = max(leads, key=lambda i: i.term), time.monotonic()
                for replica in self.instances:
                    if replica is primary or replica.is_deaf or not replica.is_up \
                            or replica.pause_term > primary.term:
                        continue
                    if replica.term < primary.term:
                        replica.role, replica.term = "replica", primary.term
                        common = [a is b for a, b in zip(replica.log, primary.log)]
                        replica.log = replica.log[:(common + [False]).index(False)]
                        replica.applied = min(replica.applied, len(replica.log))
                    arrived = now - replica.receive_s
                    for entry in primary.log[len(replica.log):]:
                        if entry[3] > arrived:
                            break
                        replica.log.append(entry)
                    while replica.applied < len(replica.log) \
                            and replica.log[replica.applied][3] <= arrived - self.lag:
                        replica.applied += 1

    def promote(self, name):
        """Carries out a promotion, as the platform does."""
        chosen = next((i for i in self.instances if i.name == name), None)
        if chosen is None or not chosen.is_up:
            return 409
        if chosen.role == "primary":
            return 200

        def lead():
            time.sleep(PROMOTE_S)
            with self.lock:
                chosen.term = max(i.term for i in self.instances) + 1
                chosen.role, chosen.applied = "primary", len(chosen.log)
                for instance in self.instances:
                    instance.pause_term = 0
                log = {entry[2] for entry in chosen.log}
                self.promoted.append((name, log, len(self.acknowledged)))
                self.record("platform", "promotion in effect", id=name, term=chosen.term,
                            position=chosen.position(False))
            chosen.register()
        threading.Thread(target=lead, daemon=True).start()
        return 200


def render(template, fields):
    """Fills in the template of the settings as DEPLOY.md says, as far as it is used."""
    def value(path, scope):
        if path == ".":
            return scope
        found = scope
        for part in path.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
            if found is None:
                return ""
        return found

    def section(match):
        table = value(match[1], fields)
        parts = []
        for key, entry in (table or {}).items():
            parts.append(match[2].replace("{{@}}", key).replace("{{.}}", str(entry)))
        return "".join(parts)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value(m[1], fields)), text)


class Daemon:
    """The program on one machine, as a process."""

    def __init__(self, rig, ip, zone, zones):
        self.rig, self.ip, self.zone = rig, ip, zone
        fields = {"ip": ip, "zone": zone, "region": zones[zone], "zones": zones,
                  "listenAddresses": {"frontend": f"{ip}:0", "ready": f"{ip}:0"},
                  "internalPortRange": [0, 0], "platform": {"address": rig.store.address},
                  "cloudApi": {"address": rig.store.address}, "bounds": dict(BOUNDS)}
        with open(os.path.join(ROOT, "deploy", "settings.yaml")) as file:
            text = render(file.read(), fields)
        self.path = os.path.join(rig.folder, f"settings-{ip}.conf")
        with open(self.path, "w") as file:
            file.write(text)
        self.lines, self.process = [], None

    def start(self):
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment.update(EBONYGAUGE_MEMORY_MIB=str(MEMORY_MB), EBONYGAUGE_EVACUATION_MS="",
                           EBONYGAUGE_CONFIG=self.path)
        self.ports = threading.Event()
        self.log = open(os.path.join(self.rig.folder, f"log-{self.ip}.txt"), "ab")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target/release/ebonygauge"), "serve", self.path], cwd=ROOT,
            env=environment, stdout=subprocess.PIPE, stderr=subprocess.STDOUT)
        self.rig.record(f"daemon {self.ip}", "started", pid=self.process.pid)
        threading.Thread(target=self._read, args=(self.process,), daemon=True).start()
        if not self.ports.wait(20):
            raise CannotRun(f"{self.ip} does not listen")

    def _read(self, process):
        for line in process.stdout:
            self.log.write(line)
            self.log.flush()
            try:
                value = json.loads(line)
            except ValueError:
                continue
            if value.get("message") == "listening":
                split = lambda key: value[key].rsplit(":", 1)
                self.listen = (split("listen")[0], int(split("listen")[1]))
                self.admin = (split("admin")[0], int(split("admin")[1]))
                self.ports.set()

    def is_ready(self):
        try:
            with socket.create_connection(self.admin, timeout=1) as probe:
                probe.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return probe.recv(100).split(b" ")[1] == b"200"
        except (OSError, IndexError):
            return False

    def signal(self, number):
        self.rig.record(f"daemon {self.ip}", "signal", number=int(number))
        os.kill(self.process.pid, number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


class CannotRun(Exception):
    """The case could not be played."""


class Client:
    """A session: one connection to a daemon."""

    def __init__(self, rig, daemon, host, key, name, timeout=8.0):
        self.rig, self.name, self.count = rig, name, 0
        self.socket = socket.create_connection(daemon.listen, timeout=timeout)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.lines = self.socket.makefile("rb", newline=None)
        self.socket.sendall(f"STARTUP {host} {key}\r\n".encode())
        greeting = self.lines.readline().decode().strip()
        rig.record(f"client {name}", "STARTUP", daemon=daemon.ip, host=host, answer=repr(greeting))
        self.is_open = greeting.startswith("READY")
        self.greeting = greeting

    def query(self, text, query_id=None):
        """Sends a statement and returns its rows and its outcome line."""
        self.count += 1
        query_id = query_id or hashlib.sha256(f"{self.name} {self.count} {START}".encode()).hexdigest()[:16]
        self.rig.record(f"client {self.name}", "sends", id=query_id, text=repr(text))
        rows, outcome = [], None
        try:
            self.socket.sendall(f"QUERY {query_id} {text}\r\n".encode())
            while True:
                line = self.lines.readline().decode().rstrip("\r\n")
                if not line:
                    outcome = "closed"
                    break
                word, _, rest = line.partition(" ")
                if word == "DATAROW":
                    rows.append(rest)
                elif word in ("COMPLETE", "ERROR"):
                    outcome = line
                elif word == "READY":
                    break
        except socket.timeout:
            outcome = "no answer"
        except OSError as error:
            outcome = f"broken: {error.strerror}"
        self.rig.record(f"client {self.name}", "is answered", id=query_id, rows=rows,
                        outcome=repr(outcome))
        return rows, outcome

    def close(self):
        self.socket.close()


class Rig:
    """A small deployment: the platform, its services, and daemons on three machines."""

    ZONES = {"sierra-norte": "sierra", "sierra-valle": "sierra", "costa-sur": "costa"}

    def __init__(self, case_folder):
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        self.record = Record(case_folder)
        self.store = Store(self.record)
        self.groups, self.daemons = {}, []
        self.store.promote = lambda service, name: self.groups[service].promote(name) \
            if service in self.groups else 409

    def add_group(self, name, ids, zones=None, **options):
        zones = zones or list(self.ZONES)
        self.groups[name] = Group(self.record, self.store, name, ids, zones, **options)
        return self.groups[name]

    def configure(self, version, routes, services, tenants, sync=0):
        """Writes a configuration; returns when the store has acknowledged it."""
        self.store.put("op", "config", {
            "version": version, "routes": routes, "tenants": tenants,
            "services": [{"name": s, "healthPath": "/health", "maxConnections": 34,
                          "protocol": "h1", "tlsEnabled": False, "syncReplicaCount": sync}
                         for s in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000, "transactionIdleMs": 3000}})
        self.record("operator", "configuration acknowledged", version=version,
                    routes={r["host"]: r["service"] for r in routes})

    def start(self, count=3):
        for i in range(count):
            zone = list(self.ZONES)[i % 3]
            daemon = Daemon(self, f"127.0.0.{11 + i}", zone, self.ZONES)
            self.daemons.append(daemon)
            daemon.start()
        self.await_ready()

    def await_ready(self, limit=25):
        until = time.monotonic() + limit
        while not all(d.is_ready() for d in self.daemons):
            if time.monotonic() > until:
                raise CannotRun("the daemons do not become ready")
            time.sleep(0.1)
        self.record("rig", "all daemons are ready")

    def end(self):
        for daemon in self.daemons:
            daemon.end()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(host, kind, service, timeout_ms=1000, **more):
    return {"name": f"r-{host}", "host": host, "prefix": "/", "kind": kind, "service": service,
            "timeoutMs": timeout_ms, "targetLatencyMs": 1000, "priority": 2, "maxAttempts": 2,
            "anonymous": False, **more}


def tenant(name, keys, rate=500, burst=500):
    return {"name": name, "apiKeys": keys, "priority": 1, "ratePerS": rate, "burst": burst}


def main(case, play):
    """Plays a case: exits with 1 if `play` returns a breach, 0 if none, 2 if it cannot run."""
    rig, status = Rig(os.path.dirname(os.path.abspath(case))), 2
    watchdog = threading.Timer(110, lambda: (rig.record("rig", "out of time"), rig.end(), os._exit(2)))
    watchdog.daemon = True
    watchdog.start()
    try:
        breach = play(rig)
        status = 1 if breach else 0
        rig.record("verdict", f"broken: {breach}" if breach else "held")
        print(f"broken: {breach}" if breach else "held")
    except CannotRun as error:
        rig.record("verdict", f"cannot run: {error}")
        print(f"cannot run: {error}")
    except Exception as error:
        rig.record("verdict", f"cannot run: {error!r}")
        print(f"cannot run: {error!r}")
        if os.environ.get("KEEP"):
            raise
    finally:
        rig.end()
    sys.stdout.flush()
    os._exit(status)
