"""Stand-ins of the platform, of a database group and of clients, and daemons as
separate processes. Python's standard library only; all addresses are loopback."""

import base64
import bisect
import http.server
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.parse
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HEARTBEAT_S = 1.2
HEALTHY_LAG_S = 0.008


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text):
        text = text.replace("\n", "\\n")
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:9.4f} {text}\n")
            self.file.flush()

    def say(self, text):
        self(text)
        try:
            print(text, flush=True)
        except OSError:
            pass


# --- platform ------------------------------------------------------------------


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = -1
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status, value):
        data = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.send_header("Store-Era", "0")
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()

    def do_GET(self):
        path, _, query = self.path.partition("?")
        query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        query = {key: urllib.parse.unquote(value) for key, value in query.items()}
        self.answer(*self.server.owner.get(path, query))

    def do_POST(self):
        body = json.loads(self.body() or b"{}")
        self.answer(*self.server.owner.post(self.path, self.headers, body))


class Store:
    """Table store of the platform."""

    def __init__(self, record):
        self.record = record
        self.changed = threading.Condition()
        self.version = 0
        self.rows = {}
        self.history = []
        self.start = time.monotonic()
        self.on_write = []
        self.server = Server(("127.0.0.1", 0), Handler)
        self.server.owner = self
        self.address = self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def now_ms(self):
        return int((time.monotonic() - self.start) * 1000)

    def put(self, table, key, value):
        """A write of the operator or an instance. Returns the version."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        with self.changed:
            return self._write((table, "", key), data)

    def remove(self, table, key):
        with self.changed:
            if (table, "", key) in self.rows:
                self._write((table, "", key), None)

    def _write(self, name, data):
        self.version += 1
        if data is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = (self.version, data)
        self.history.append((self.version, name))
        self.changed.notify_all()
        return self.version

    def _row(self, name):
        table, part, key = name
        row = {"tableName": table, "part": part, "key": key}
        if name not in self.rows:
            return row | {"isDeleted": True}
        version, value = self.rows[name]
        return row | {"value": value, "rowVersion": version}

    def get(self, path, query):
        time.sleep(0.004)
        if path == "/-/rows-get":
            with self.changed:
                start, limit = query.get("startKey", ""), int(query.get("rowLimit", 500))
                names = sorted(
                    name
                    for name in self.rows
                    if name[0] == query["tableName"] and name[1] == query["part"] and name[2] >= start
                )
                rows = [self._row(name) for name in names[:limit]]
                return 200, {"rows": rows, "hasMore": len(names) > limit,
                             "rowVersion": self.version, "currentTimeMs": self.now_ms()}
        if path == "/-/rows-feed":
            after, table = int(query["after"]), query["tableName"]
            deadline = time.monotonic() + int(query.get("waitTimeoutMs", 0)) / 1000
            with self.changed:
                while True:
                    first = bisect.bisect_left(self.history, (after + 1,))
                    names = [name for _, name in self.history[first:] if name[0] == table]
                    left = deadline - time.monotonic()
                    if names or left <= 0:
                        break
                    self.changed.wait(left)
                rows = [self._row(name) for name in dict.fromkeys(names)]
                rows.sort(key=lambda row: row.get("rowVersion", self.version))
                return 200, {"rows": rows, "rowVersion": self.version, "currentTimeMs": self.now_ms()}
        return 404, {}

    def post(self, path, headers, body):
        if path != "/-/rows-tx":
            return 404, {}
        time.sleep(0.005)
        name = lambda row: (row["tableName"], row.get("part", ""), row["key"])
        written = body.get("write", []) + body.get("remove", [])
        if any(row["tableName"] in ("op", "servers") for row in written):
            return 403, {}
        with self.changed:
            for row in body.get("expect", []):
                if self.rows.get(name(row), (0,))[0] != row["rowVersion"]:
                    known = [self._row(name(row)) for row in body["expect"]]
                    return 412, {"rows": known, "rowVersion": self.version, "currentTimeMs": self.now_ms()}
            for row in body.get("write", []):
                version = self._write(name(row), row["value"])
                for hook in self.on_write:
                    hook(row["key"], json.loads(base64.b64decode(row["value"])), version)
            for row in body.get("remove", []):
                self._write(name(row), None)
            return 200, {"rowVersion": self.version, "currentTimeMs": self.now_ms()}


class Cloud:
    """Service of the platform that takes promotion orders. It does not check fences."""

    def __init__(self, record, groups, promote_s):
        self.record, self.groups, self.promote_s = record, groups, promote_s
        self.orders = []
        self.lock = threading.Lock()
        self.server = Server(("127.0.0.1", 0), Handler)
        self.server.owner = self
        self.address = self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def get(self, path, query):
        return 404, {}

    def post(self, path, headers, body):
        if path != "/promotions":
            return 404, {}
        holder = headers.get("X-Ebonygauge-Lease-Holder")
        token = int(headers.get("X-Ebonygauge-Fencing-Token"))
        with self.lock:
            self.orders.append((time.monotonic(), body["service"], holder, token, body["id"]))
            status = self.groups[body["service"]].promote(body["id"], self.promote_s)
            self.record(f"platform: order of {holder}, token {token}: promote {body['id']} -> {status}")
        return status, {}


class Proxy:
    """Carries TCP connections to a target. While it is cut, it holds the bytes of open
    connections, as a partition does: they arrive after the cut unless their sender has
    reset the connection. Connections that are opened during a cut come to nothing."""

    def __init__(self, target, host="127.0.0.1"):
        self.target = target
        self.is_cut = False
        self.healed = threading.Condition()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, 0))
        self.listener.listen(128)
        self.address = self.listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        self.is_cut = True

    def heal(self):
        with self.healed:
            self.is_cut = False
            self.healed.notify_all()

    def _accept(self):
        while True:
            client, _ = self.listener.accept()
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.is_cut:
                threading.Thread(target=self._swallow, args=(client,), daemon=True).start()
                continue
            try:
                server = socket.create_connection(self.target)
            except OSError:
                client.close()
                continue
            server.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for a, b in ((client, server), (server, client)):
                threading.Thread(target=self._pump, args=(a, b), daemon=True).start()

    def _swallow(self, client):
        with self.healed:
            while self.is_cut:
                self.healed.wait()
        client.close()

    def _pump(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                with self.healed:
                    while self.is_cut:
                        self.healed.wait()
                if not data:
                    break
                # A reset of the sender during the cut takes the held bytes with it.
                if source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    raise ConnectionResetError
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for end in (source, sink):
                try:
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


# --- database group --------------------------------------------------------------


def messages(end):
    """Lines of a connection; CR LF ends a line, and nothing else does."""
    buffer = b""
    while True:
        line, found, rest = buffer.partition(b"\r\n")
        if found:
            buffer = rest
            yield line.decode()
            continue
        data = end.recv(65536)
        if not data:
            return
        buffer += data


class Instance:
    def __init__(self, group, number, zone):
        self.group, self.number, self.zone = group, number, zone
        self.id = f"i-{number:08x}"
        self.role = "replica"
        self.term = 1
        self.log = []  # entries (id of the statement or commit, item, data)
        self.times = []  # when each entry was received
        self.is_alive = False
        self.state = "ready"
        self.paused = 0
        self.is_deaf = False
        self.busy = 0
        self.connections = set()
        self.sequence = 0
        self.born = 0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.address = self.listener.getsockname()

    def start(self):
        self.is_alive = True
        self.paused = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        listener = self.listener
        if listener is None:
            listener = self.listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(self.address)
        listener.listen(128)
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()
        threading.Thread(target=self._beat, args=(self.born,), daemon=True).start()

    def crash(self):
        """Ends the process: its sockets are closed. The log is kept."""
        with self.group.lock:
            self.is_alive = False
            ends, self.connections = self.connections, set()
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        self.listener = None
        for end in ends:
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        threading.Thread(target=self._expire, args=(self.born,), daemon=True).start()

    def _expire(self, born):
        time.sleep(3 * HEARTBEAT_S)
        if self.born == born:
            self.group.store.remove("servers", self.id)

    def _beat(self, born):
        while self.is_alive and self.born == born:
            self.report()
            time.sleep(HEARTBEAT_S)

    def report(self):
        with self.group.lock:
            self.sequence += 1
            entry = {"service": self.group.name, "address": "%s:%d" % self.address, "zone": self.zone,
                     "version": "v1", "capacity": self.group.slots, "state": self.state,
                     "warmupLeftMs": 0, "databaseRole": self.role, "sequence": self.sequence,
                     "born": self.born}
        return self.group.store.put("servers", self.id, entry)

    def _accept(self, listener):
        while True:
            try:
                end, _ = listener.accept()
            except OSError:
                return
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(end,), daemon=True).start()

    def applied(self):
        """Number of entries that reads see."""
        if self.role == "primary":
            return len(self.log)
        return bisect.bisect_right(self.times, time.monotonic() - HEALTHY_LAG_S)

    def _serve(self, end):
        try:
            Connection(self, end).serve()
        except (OSError, ValueError, IndexError):
            pass
        finally:
            with self.group.lock:
                self.connections.discard(end)
            try:
                end.close()
            except OSError:
                pass


class Cut(Exception):
    """The connection ends before the answer is complete."""


class Connection:
    """Connection of a daemon to an instance."""

    def __init__(self, instance, end):
        self.instance, self.end = instance, end
        self.values, self.prepared = {}, {}
        self.transaction, self.failed, self.is_read = None, False, False
        self.user = "-"

    def ready(self):
        state = "E" if self.failed else "T" if self.transaction is not None else "I"
        with self.instance.group.lock:
            return f"READY {state} {self.instance.term}.{self.instance.applied()}\r\n"

    def serve(self):
        group, lines = self.instance.group, messages(self.end)
        fields = next(lines, "").split(" ")
        if fields[:2] != ["STARTUP", group.name] or (len(fields) > 3 and fields[3] != self.instance.id):
            self.end.sendall(b"ERROR MISROUTED another\r\n")
            return
        with group.lock:
            if not self.instance.is_alive:
                return
            if len(self.instance.connections) >= group.max_connections:
                self.end.sendall(b"ERROR TOOMANY full\r\n")
                return
            self.instance.connections.add(self.end)
        self.user = fields[2]
        rtt_s = group.rtt_s(instance_zone(self.end.getpeername()[0]), self.instance.zone)
        self.end.sendall(self.ready().encode())
        for text in lines:
            if text == "TERMINATE" or not text.startswith("QUERY "):
                return
            _, id, text = text.split(" ", 2)
            time.sleep(rtt_s)
            try:
                answer = self.run(id, text)
            except Cut as cut:
                part = str(cut)
                if part:
                    self.end.sendall(part.encode())
                    time.sleep(0.02)
                return
            self.end.sendall((answer + self.ready()).encode())

    def run(self, id, text):
        group, instance = self.instance.group, self.instance
        floor = None
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            floor, _, text = rest.partition(" ")
            word, _, rest = text.partition(" ")
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return "COMPLETE -\r\n"
        if word == "DISCARD":
            self.values, self.prepared = {}, {}
            return "COMPLETE -\r\n"
        if word == "PREPARE":
            name, kind, shape = rest.split(" ")
            self.prepared[name] = (kind, shape)
            return "COMPLETE -\r\n"
        if word == "ROLLBACK":
            self.transaction, self.failed = None, False
            return "COMPLETE -\r\n"
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self.control(word, rest)
        if self.failed:
            return "ERROR MALFORMED failed transaction\r\n"
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self.error("NOSTMT", name)
            word = self.prepared[name][0]
        if floor:
            term, number = map(int, floor.split("."))
            with group.lock:
                if instance.term < term or instance.applied() < number:
                    return self.error("LAGGING", "behind")
        if word == "BEGIN":
            with group.lock:
                if rest != "READ" and instance.role != "primary":
                    return self.error("READONLY", instance.id)
            self.transaction, self.is_read = [], rest == "READ"
            return "COMPLETE -\r\n"
        if word not in ("READ", "WRITE", "COMMIT"):
            return self.error("MALFORMED", "text")
        with group.lock:
            if instance.busy >= group.slots:
                return self.error("BUSY", "slots")
            instance.busy += 1
        try:
            time.sleep(group.work_s(instance, word))
            return self.work(id, text, word, rest)
        finally:
            with group.lock:
                instance.busy -= 1

    def error(self, code, text):
        if self.transaction is not None and code != "BUSY":
            self.failed = True
        return f"ERROR {code} {text}\r\n"

    def work(self, id, text, word, rest):
        group, instance = self.instance.group, self.instance
        plain = self.transaction is not None and not self.is_read
        out, entries = "", None
        with group.lock:
            if not instance.is_alive:
                raise Cut
            lost_lead = instance.role != "primary"
            if word == "WRITE" and lost_lead:
                return self.error("READONLY", instance.id)
            if plain and lost_lead and (word != "COMMIT" or self.transaction):
                return self.error("READONLY", instance.id)
            group.record(f"{instance.id} term {instance.term} runs {id} {text} for {self.user}")
            if word == "READ":
                seen = instance.log[: instance.applied()]
                found = [data for _, item, data in seen if item == rest]
                out = f"DATAROW {found[-1]}\r\n" if found else ""
            elif word == "WRITE":
                item, _, data = rest.partition(" ")
                if self.transaction is None:
                    entries = [(id, item, data)]
                else:
                    self.transaction.append((id, item, data))
            else:
                entries, self.transaction = self.transaction or [], None
            if entries:
                instance.log.extend(entries)
                instance.times.extend([time.monotonic()] * len(entries))
                group.commits += [(time.monotonic(), instance.id, instance.term, entry) for entry in entries]
                position = len(instance.log)
        if entries and group.sync and not group.wait_received(instance, position):
            return "ERROR TIMEOUT no replica has received it\r\n"
        signature = f"COMPLETE s.{instance.id}.{id}\r\n"
        return group.reply(instance, word, id, entries, out + signature)

    def control(self, word, rest):
        group, instance = self.instance.group, self.instance
        with group.lock:
            if group.is_control_busy(instance, word):
                group.record(f"{instance.id} answers BUSY to {word} {rest}")
                return "ERROR BUSY slots\r\n"
            if word == "PAUSE" and int(rest) > instance.term and instance.role == "replica":
                instance.paused = int(rest)
            if word == "RESUME":
                instance.paused = 0
            if word == "STEPDOWN" and instance.term < int(rest):
                instance.role = "replica"
            row = (f"DATAROW {instance.role} {instance.term} {instance.term}.{len(instance.log)} "
                   f"{instance.paused} {0 if instance.role == 'primary' else 8} {instance.busy} "
                   f"{len(instance.connections)}\r\nCOMPLETE -\r\n")
            if word != "STATUS":
                group.record(f"{instance.id} {word} {rest}: {row.splitlines()[0]}")
        return row


class Group:
    """A service: a primary and its replicas."""

    def __init__(self, record, store, name, zones, sync=0, slots=3, max_connections=34):
        self.record, self.store, self.name, self.sync = record, store, name, sync
        self.slots, self.max_connections = slots, max_connections
        self.lock = threading.RLock()
        self.commits = []  # (when, instance, term, entry)
        self.promoted = []  # (when, instance, term, its log then)
        self.instances = [Instance(self, n + 1, zone) for n, zone in enumerate(zones)]
        self.instances[0].role = "primary"
        self.newest = 1
        self.work_s = lambda instance, word: 0.004
        self.reply = lambda instance, word, id, entries, answer: answer
        self.is_control_busy = lambda instance, word: False
        self.delay_s = lambda replica: 0.001
        self.is_far = False
        for instance in self.instances:
            instance.start()
        threading.Thread(target=self._replicate, daemon=True).start()

    def rtt_s(self, a, b):
        """Round trip between two zones, as in SYSTEM.md, if distances are played."""
        if not self.is_far or a == b:
            return 0
        return 0.0018 if REGIONS[a] == REGIONS[b] else 0.04

    def find(self, id):
        return next(instance for instance in self.instances if instance.id == id)

    def primary(self):
        """The primary of the newest term."""
        with self.lock:
            return next((i for i in self.instances if i.role == "primary" and i.term == self.newest), None)

    def _replicate(self):
        while True:
            time.sleep(0.001)
            with self.lock:
                source = self.primary()
                if source is None or not source.is_alive:
                    continue
                now = time.monotonic()
                for replica in self.instances:
                    if replica is source or not replica.is_alive or replica.paused or replica.is_deaf:
                        continue
                    if replica.role != "replica":
                        continue
                    if replica.term != source.term:
                        # What the replica has beyond the new primary's start is rolled back.
                        shared = 0
                        for a, b in zip(replica.log, source.log):
                            if a != b:
                                break
                            shared += 1
                        del replica.log[shared:], replica.times[shared:]
                        replica.term = source.term
                    due = bisect.bisect_right(source.times, now - self.delay_s(replica))
                    for entry in source.log[len(replica.log):due]:
                        replica.log.append(entry)
                        replica.times.append(now)

    def wait_received(self, primary, position):
        deadline = time.monotonic() + 1.0
        while time.monotonic() < deadline:
            with self.lock:
                if not primary.is_alive:
                    raise Cut
                if any(i is not primary and i.is_alive and i.term == primary.term and len(i.log) >= position
                       for i in self.instances):
                    return True
            time.sleep(0.0005)
        return False

    def promote(self, id, promote_s):
        with self.lock:
            instance = self.find(id)
            if not instance.is_alive:
                return 409
            if instance is self.primary():
                return 200

        def lead():
            time.sleep(promote_s)
            with self.lock:
                if not instance.is_alive or instance is self.primary():
                    return
                old = self.primary()
                self.newest += 1
                instance.term, instance.role, instance.paused = self.newest, "primary", 0
                for other in self.instances:
                    if other is not instance:
                        other.paused = 0
                self.promoted.append((time.monotonic(), id, self.newest, list(instance.log)))
                self.record(f"{id} leads term {self.newest} from {len(instance.log)}")
            instance.report()
            time.sleep(1.0)
            with self.lock:
                if old is None or old.role != "primary" or old.term >= self.newest:
                    return
                old.role = "replica"
            if old.is_alive:
                old.report()

        threading.Thread(target=lead, daemon=True).start()
        return 200

    def release(self, drain_s):
        """Replaces the primary's host: a new instance starts, then the primary drains and ends."""
        old = self.primary()
        new = Instance(self, len(self.instances) + 1, old.zone)
        with self.lock:
            self.instances = self.instances + [new]
        new.start()
        time.sleep(1)
        old.state = "draining"
        old.report()
        self.record(f"{old.id} drains; {new.id} has started")

        def leave():
            time.sleep(drain_s)
            old.crash()
            self.store.remove("servers", old.id)
            self.record(f"{old.id} has left")

        threading.Thread(target=leave, daemon=True).start()

    def revive(self, instance):
        """Starts a crashed instance again, with its log."""
        with self.lock:
            leads = self.primary() is instance
            instance.role = "primary" if leads else "replica"
        instance.start()


# --- daemons ---------------------------------------------------------------------


def render(text, values):
    """Fills in the template of the deploy file."""

    def look_up(path, scope=values):
        for part in path.split("."):
            scope = scope[int(part)] if isinstance(scope, list) else scope[part]
        return scope

    def section(match):
        table = look_up(match.group(1))
        return "".join(match.group(2).replace("{{@}}", key).replace("{{.}}", value) for key, value in table.items())

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(look_up(match.group(1))), text)


class Daemon:
    """A daemon as a process of its own, started with the command of the deploy file."""

    def __init__(self, rig, number, zone, store, cloud):
        self.rig, self.number, self.zone = rig, number, zone
        self.ip = f"127.0.{1 + zone_number(zone)}.{10 + number}"
        self.store = Proxy(store.address)
        self.cloud = Proxy(cloud.address)
        fields = {
            "ip": self.ip, "zone": zone, "region": REGIONS[zone], "zones": REGIONS,
            "listenAddresses": {"frontend": f"{self.ip}:0", "ready": f"{self.ip}:0"},
            "internalPortRange": ["0", "0"],
            "platform": {"address": "%s:%d" % self.store.address},
            "cloudApi": {"address": "%s:%d" % self.cloud.address},
            "bounds": BOUNDS,
        }
        with open(os.path.join(ROOT, "deploy", "settings.yaml")) as template:
            text = render(template.read(), fields)
        self.path = os.path.join(rig.folder, f"daemon-{number}.yaml")
        with open(self.path, "w") as file:
            file.write(text)
        self.process = None

    def start(self):
        log = open(os.path.join(self.rig.folder, f"daemon-{self.number}.log"), "ab")
        position = log.tell()
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target/release/ebonygauge"), "serve", self.path],
            stdout=log, stderr=log, cwd=ROOT, env={"PATH": os.environ["PATH"], "HOME": "/", "LANG": "C"})
        self.rig.record(f"daemon {self.ip} starts")
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            with open(log.name, "rb") as file:
                file.seek(position)
                for line in file:
                    if b'"listening"' in line:
                        value = json.loads(line)
                        self.listen = split_address(value["listen"])
                        self.admin = value["admin"]
                        return
            time.sleep(0.02)
        raise CannotRun(f"daemon {self.ip} does not listen")

    def is_ready(self):
        try:
            with urllib.request.urlopen(f"http://{self.admin}/ready", timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    def cut_platform(self):
        self.store.cut()
        self.cloud.cut()

    def heal_platform(self):
        self.store.heal()
        self.cloud.heal()


class CannotRun(Exception):
    pass


# Places and bounds of cosecha-pedidos.
REGIONS = {"sierra-norte": "sierra", "costa-sur": "costa", "sierra-valle": "sierra"}
BOUNDS = {"quotaTolerance": 20, "quotaOverage": 0.1, "revokeTimeoutMs": 5000, "gracePeriodS": 6,
          "drainTimeoutMs": 7000}


def zone_number(zone):
    return list(REGIONS).index(zone)


def instance_zone(ip):
    """Zone of a daemon, from its address."""
    return list(REGIONS)[int(ip.split(".")[2]) - 1]


def split_address(text):
    host, port = text.rsplit(":", 1)
    return host, int(port)


KEY = "u6wsjnbanfqasnmgkcuy"


def configuration(version, services, rate=2000, sync=0, connections=34, keys=(KEY,)):
    """Configuration with three routes for each service: primary-N, bounded-N, own-N."""
    routes = []
    for n, service in enumerate(services):
        for kind, host, timeout, extra in (
            ("primary", "primary", 1000, {}),
            ("bounded_staleness", "bounded", 2000, {"maxStalenessMs": 1500}),
            ("read_your_writes", "own", 1000, {"maxStalenessMs": 2500}),
        ):
            routes.append({"name": f"r-{host}{n}", "host": f"{host}{n}", "prefix": "/", "kind": kind,
                           "timeoutMs": timeout, "targetLatencyMs": 600, "priority": 1,
                           "service": service, "maxAttempts": 2, "anonymous": False} | extra)
    return {
        "version": version, "routes": routes,
        "services": [{"name": service, "healthPath": "/health", "maxConnections": connections,
                      "protocol": "h1", "tlsEnabled": False, "syncReplicaCount": sync} for service in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000, "transactionIdleMs": 3000},
        "tenants": [{"name": "nypu920", "apiKeys": list(keys), "priority": 1, "ratePerS": rate, "burst": rate}],
    }


class Rig:
    """A small deployment."""

    def __init__(self, case, daemons=3, promote_s=0.3, **group):
        self.case = case
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(case)
        self.store = Store(self.record)
        self.group = Group(self.record, self.store, "dele69a", list(REGIONS), **group)
        self.cloud = Cloud(self.record, {self.group.name: self.group}, promote_s)
        self.configuration = configuration(7, [self.group.name], sync=self.group.sync)
        self.store.put("op", "config", self.configuration)
        zones = list(REGIONS)
        self.daemons = [Daemon(self, n, zones[n % 3], self.store, self.cloud) for n in range(daemons)]

    def start(self):
        for daemon in self.daemons:
            daemon.start()
        self.wait("all daemons are ready", lambda: all(d.is_ready() for d in self.daemons), 30)

    def wait(self, what, done, limit):
        deadline = time.monotonic() + limit
        while not done():
            if time.monotonic() > deadline:
                raise CannotRun(f"not within {limit} s: {what}")
            time.sleep(0.02)
        self.record(what)

    def stop(self):
        for daemon in self.daemons:
            if daemon.process and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            shutil.copytree(self.folder, logs, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """Session of a client."""

    def __init__(self, rig, daemon, database, name, key=KEY, deadline_s=6.0):
        self.rig, self.name, self.count = rig, name, 0
        self.end = socket.create_connection(daemon.listen, timeout=2)
        self.end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.deadline_s = deadline_s
        self.lines = self.end.makefile("rb")
        self.state = "I"
        self.end.sendall(f"STARTUP {database} {key}\r\n".encode())
        line = self.lines.readline().decode().rstrip()
        if line != "READY I -":
            self.close()
            raise Refused(line or "closed")
        self.end.settimeout(deadline_s)

    def run(self, text, id=None):
        """Returns the rows and the line that ends the answer; none if there is no answer."""
        self.count += 1
        id = id or f"{self.name}.{self.count}"
        self.rig.record(f"client {self.name} sends {id} {text}")
        rows, outcome = [], None
        try:
            self.end.sendall(f"QUERY {id} {text}\r\n".encode())
            while True:
                line = self.lines.readline().decode().rstrip("\r\n")
                if not line:
                    outcome = None
                    break
                word, _, rest = line.partition(" ")
                if word == "DATAROW":
                    rows.append(rest)
                elif word == "READY":
                    self.state = rest[0]
                    break
                else:
                    outcome = line
        except OSError as error:
            outcome = None
            self.rig.record(f"client {self.name}: {error}")
        self.rig.record(f"client {self.name} gets for {id}: {outcome} {' '.join(rows)}")
        return rows, outcome

    def close(self):
        try:
            self.end.close()
        except OSError:
            pass


class Refused(Exception):
    pass


def main(case, play):
    """Runs `play(rig_factory)`; its result is the list of breaks of the rule."""
    rigs = []

    def build(**options):
        rigs.append(Rig(case, **options))
        return rigs[-1]

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: os._exit(end(rigs, 2)))
    watchdog = threading.Timer(115, lambda: os._exit(end(rigs, 2)))
    watchdog.daemon = True
    watchdog.start()
    try:
        breaks = play(build)
    except (CannotRun, Refused, OSError) as error:
        if rigs:
            rigs[0].record.say(f"could not run: {error!r}")
        code = 2
    else:
        for text in breaks[:20]:
            rigs[0].record.say(f"BROKEN: {text}")
        code = 1 if breaks else 0
        rigs[0].record.say(f"{'broken' if breaks else 'held'} ({'with' if trouble() else 'without'} the disruption)")
    os._exit(end(rigs, code))


def end(rigs, code):
    for rig in rigs:
        rig.stop()
    return code
