"""Stand-ins for the platform, its instances and its clients, and daemons as processes.

Everything listens on loopback. The stand-ins follow PROTOCOL.md: a table store with
versions, a feed and eras; instances with logs, terms and replicas; promotions. What is
sent, answered and run is written to record.txt in the folder of the case.
"""

import base64
import http.server
import itertools
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HEARTBEAT_S = 1.2
LAPSE_S = 3 * HEARTBEAT_S
MESSAGE_LIMIT = 1 << 20


class Record:
    """Log of a case; times are seconds since its start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.4f}  {text}\n")
            self.file.flush()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


# ---------------------------------------------------------------- store

class Store:
    """Table store and promotion service, over HTTP."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Condition()
        self.version, self.era = 0, 0
        self.rows, self.history = {}, []
        self.is_down = False
        self.promote = {}
        self.tokens = {}
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def answer(self, status, body):
                data = json.dumps(body).encode()
                try:
                    self.send_response(status)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(data)))
                    self.send_header("Store-Era", str(outer.era))
                    self.end_headers()
                    self.wfile.write(data)
                except OSError:
                    self.close_connection = True

            def do_GET(self):
                if outer.is_down:
                    return self.answer(503, {})
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                if url.path == "/-/rows-get":
                    return self.answer(*outer.get(query))
                if url.path == "/-/rows-feed":
                    return self.answer(*outer.feed(query))
                self.answer(404, {})

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))) or b"{}")
                if self.path == "/promotions":
                    token = int(self.headers["X-Ebonygauge-Fencing-Token"])
                    holder = self.headers["X-Ebonygauge-Lease-Holder"]
                    return self.answer(outer.order(body, holder, token), {})
                if outer.is_down:
                    return self.answer(503, {})
                if self.path == "/-/rows-tx":
                    return self.answer(*outer.transact(body))
                self.answer(404, {})

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                pass  # A daemon that was killed.

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def clock_ms(self):
        return int(time.monotonic() * 1000)

    def row(self, key):
        table, part, name = key
        version, value = self.rows.get(key, (0, None))
        row = {"tableName": table, "part": part, "key": name, "rowVersion": version}
        if value is not None:
            row["value"] = value
        return row

    def around(self, body):
        return {**body, "rowVersion": self.version, "currentTimeMs": self.clock_ms()}

    def get(self, query):
        with self.lock:
            keys = sorted(
                key for key in self.rows
                if key[0] == query["tableName"] and key[1] == query.get("part", "")
                and key[2] >= query.get("startKey", "")
            )
            limit = int(query.get("rowLimit", 500))
            rows = [self.row(key) for key in keys[:limit]]
            return 200, self.around({"rows": rows, "hasMore": len(keys) > limit})

    def feed(self, query):
        after, table = int(query["after"]), query["tableName"]
        end = time.monotonic() + int(query.get("waitTimeoutMs", 0)) / 1000
        with self.lock:
            era = self.era
            while True:
                if self.is_down:
                    return 503, {}
                if after > self.version or era != self.era:
                    return 410, {}
                changed = {}
                for version, key in self.history:
                    if version > after and key[0] == table:
                        changed[key] = version
                left = end - time.monotonic()
                if changed or left <= 0:
                    rows = []
                    for key, version in sorted(changed.items(), key=lambda item: item[1]):
                        row = self.row(key)
                        if key not in self.rows:
                            row.update(isDeleted=True, rowVersion=version)
                        rows.append(row)
                    return 200, self.around({"rows": rows})
                self.lock.wait(left)

    def put(self, table, name, value, part=""):
        """Writes or, with None, removes a row as the operator or an instance."""
        with self.lock:
            if self.is_down:
                return False
            self.change((table, part, name), value)
            self.lock.notify_all()
            return True

    def change(self, key, value):
        self.version += 1
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (self.version, base64.b64encode(value).decode())
        self.history.append((self.version, key))

    def transact(self, body):
        key = lambda row: (row["tableName"], row.get("part", ""), row["key"])
        with self.lock:
            expected = [(key(row), row["rowVersion"]) for row in body.get("expect", [])]
            if any(self.rows.get(k, (0, None))[0] != version for k, version in expected):
                return 412, self.around({"rows": [self.row(k) for k, _ in expected]})
            self.version += 1
            for row in body.get("write", []):
                self.rows[key(row)] = (self.version, row["value"])
                self.history.append((self.version, key(row)))
                if '"leader"' in base64.b64decode(row["value"]).decode(errors="replace"):
                    self.record.write(f"store: {key(row)[2]} = {base64.b64decode(row['value']).decode()}")
            for row in body.get("remove", []):
                self.rows.pop(key(row), None)
                self.history.append((self.version, key(row)))
            self.lock.notify_all()
            return 200, self.around({})

    def order(self, body, holder, token):
        promote = self.promote.get(body["service"], lambda name: 409)
        status = promote(body["id"])
        self.record.write(f"promotion of {body['id']} ordered by {holder} with token {token}: {status}")
        return status

    def copy(self):
        with self.lock:
            return self.version, dict(self.rows), list(self.history)

    def set_down(self, is_down):
        with self.lock:
            self.is_down = is_down
            self.lock.notify_all()
        self.record.write("store: away" if is_down else f"store: back, era {self.era}")

    def restore(self, copy):
        """Comes back from an older copy."""
        with self.lock:
            self.version, self.rows, self.history = copy[0], dict(copy[1]), list(copy[2])
            self.era += 1
            self.lock.notify_all()


# ---------------------------------------------------------------- instances

class Entry:
    def __init__(self, term, ident, item, data):
        self.term, self.ident, self.item, self.data = term, ident, item, data
        self.at = time.monotonic()


class Instance:
    """One copy of a database. `receive_s` is the time that a commit takes to it over the
    network, `lag_s` the further time until it is applied."""

    def __init__(self, group, name, zone):
        self.group, self.name, self.zone = group, name, zone
        self.role, self.term, self.held = "replica", 1, 0
        self.log, self.applied = [], 0
        self.receive_s, self.lag_s = 0.001, 0.008
        self.is_alive, self.is_deaf, self.is_dark = True, False, False
        self.healed_at = None
        self.sockets = set()
        self.sequence, self.born = 0, int(time.time() * 1000)
        self.rows_of = {}
        self.listener = None
        self.port = free_port("127.0.0.1")
        self.listen()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def listen(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(128)
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def accept(self, listener):
        while True:
            try:
                peer, _ = listener.accept()
            except OSError:
                return
            peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(peer,), daemon=True).start()

    def position(self, number):
        return f"{self.term}.{number}"

    def send(self, peer, *lines):
        peer.sendall("".join(line + "\r\n" for line in lines).encode())

    def serve(self, peer):
        with self.group.lock:
            if not self.is_alive:
                peer.close()
                return
            self.sockets.add(peer)
        try:
            reader = peer.makefile("rb")
            first = reader.readline().decode().rstrip("\r\n").split(" ")
            if not self.await_light(peer):
                return
            if first[:2] != ["STARTUP", self.group.name] or (len(first) > 3 and first[3] != self.name):
                return self.send(peer, f"ERROR MISROUTED {self.name}")
            with self.group.lock:
                if len(self.sockets) > self.group.max_connections:
                    return self.send(peer, "ERROR TOOMANY")
                ready = self.position(self.applied)
            self.send(peer, f"READY I {ready}")
            Session(self, peer, first[2] if len(first) > 2 else "-").run(reader)
        except (OSError, ValueError):
            pass
        finally:
            with self.group.lock:
                self.sockets.discard(peer)
            try:
                peer.close()
            except OSError:
                pass

    def crash(self):
        """Ends as a killed process would; its log survives."""
        with self.group.lock:
            self.is_alive = False
            sockets, self.sockets = self.sockets, set()
        self.listener.close()
        for peer in sockets:
            try:
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                peer.shutdown(socket.SHUT_RDWR)
                peer.close()
            except OSError:
                pass
        self.group.record.write(f"{self.name}: crashed")

    def go_dark(self):
        """Is cut off from everyone: nothing arrives, nothing is answered."""
        self.group.record.write(f"{self.name}: dark")
        self.is_dark = True

    def heal(self):
        """Is reached again. A replaced primary goes on for a second after it reaches the
        new one."""
        self.is_dark, self.healed_at = False, time.monotonic()
        self.group.record.write(f"{self.name}: reached again, as {self.role} of term {self.term}")
        self.group.register(self)
        threading.Thread(target=self.learn_leader, daemon=True).start()

    def learn_leader(self):
        time.sleep(1.0)
        with self.group.lock:
            leader = self.group.leader()
            if leader is not None and leader is not self and self.term < leader.term:
                self.follow(leader)
                self.group.record.write(f"{self.name}: follows {leader.name} at {self.position(len(self.log))}")

    def await_light(self, peer):
        """Waits while dark; false if the far end has given up the connection since."""
        if not self.is_dark:
            return True
        end = time.monotonic() + 3
        while self.is_dark:
            if time.monotonic() > end:
                return False
            time.sleep(0.002)
        try:
            return peer.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
        except BlockingIOError:
            return True

    def restart(self):
        """Comes back with its log; as a replica if another instance was promoted."""
        with self.group.lock:
            self.is_alive, self.held = True, 0
            self.born = int(time.time() * 1000)
            leader = self.group.leader()
            if leader is not None and leader is not self:
                self.follow(leader)
            self.group.record.write(f"{self.name}: back as {self.role} at {self.position(len(self.log))}")
        self.listen()
        self.group.register(self)

    def follow(self, leader):
        common = 0
        for own, other in zip(self.log, leader.log):
            if own is not other:  # Entries are shared by the logs that hold them.
                break
            common += 1
        del self.log[common:]
        self.applied = min(self.applied, common)
        self.role, self.term = "replica", leader.term


class Session:
    """Connection of a caller to an instance."""

    def __init__(self, instance, peer, user):
        self.instance, self.peer, self.user = instance, peer, user
        self.group = instance.group
        self.state, self.is_read_only, self.writes, self.term = "I", False, [], 0
        self.names, self.values = {}, {}

    def reply(self, *lines):
        self.instance.send(self.peer, *lines, f"READY {self.state} {self.instance.position(self.instance.applied)}")

    def error(self, code):
        if self.state == "T":
            self.state = "E"
        self.reply(f"ERROR {code} {self.instance.name}")

    def run(self, reader):
        while True:
            line = reader.readline()
            if not line or not self.instance.await_light(self.peer):
                return
            word, _, rest = line.decode().rstrip("\r\n").partition(" ")
            if word == "TERMINATE":
                return
            ident, _, text = rest.partition(" ")
            self.statement(ident, text)

    def signature(self):
        return f"COMPLETE sig.{self.instance.name}.{next(self.group.counter)}"

    def statement(self, ident, text):
        inst, group = self.instance, self.group
        word, _, rest = text.partition(" ")
        if ident != "-":
            group.runs.append((ident, word, dict(self.values)))
            group.record.write(f"{inst.name} gets {ident} {text[:60]} (from {self.user})")
        if word == "STATUS" or word in ("PAUSE", "STEPDOWN", "RESUME"):
            return self.control(word, rest)
        floor = None
        if word == "AFTER":
            floor, _, text = rest.partition(" ")
            word, _, rest = text.partition(" ")
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return self.reply("COMPLETE -")
        if word == "DISCARD":
            self.names, self.values = {}, {}
            return self.reply("COMPLETE -")
        if word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            self.names[name] = kind
            return self.reply("COMPLETE -")
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.names:
                return self.error("NOSTMT")
            word = self.names[name]
        with group.lock:
            if floor:
                term, number = map(int, floor.split("."))
                if inst.term < term or inst.applied < number:
                    return self.error("LAGGING")
            if self.state == "E" and word != "ROLLBACK":
                return self.error("MALFORMED")
            if word == "BEGIN":
                if rest != "READ" and inst.role != "primary":
                    return self.error("READONLY")
                self.state, self.is_read_only, self.writes, self.term = "T", rest == "READ", [], inst.term
                return self.reply("COMPLETE -")
            if word == "ROLLBACK":
                self.state, self.writes = "I", []
                return self.reply("COMPLETE -")
            lost = self.state == "T" and not self.is_read_only and (inst.role != "primary" or inst.term != self.term)
            if lost and (word != "COMMIT" or self.writes):
                return self.error("READONLY")
            if word == "READ":
                return self.read(ident, rest)
            if word == "WRITE":
                if inst.role != "primary":
                    return self.error("READONLY")
                item, _, data = rest.partition(" ")
                if self.state == "T":
                    self.writes.append((ident, item, data))
                    return self.reply(self.signature())
                entries = self.append([(ident, item, data)])
            elif word == "COMMIT":
                entries = self.append(self.writes) if self.writes else []
                self.state, self.writes = "I", []
            else:
                return self.error("MALFORMED")
        if entries and not self.await_replica(entries[-1]):
            raise OSError("the instance ended")
        with group.lock:
            self.reply(self.signature())

    def append(self, writes):
        inst = self.instance
        entries = [Entry(inst.term, *write) for write in writes]
        inst.log.extend(entries)
        inst.applied = len(inst.log)
        for entry in entries:
            self.group.commits.append((inst.name, entry.ident, entry.at))
            self.group.record.write(f"{inst.name} commits {entry.ident} at {inst.position(inst.applied)}")
        return entries

    def await_replica(self, entry):
        """Waits until a replica has received the commit, if the service is synchronous."""
        while self.group.sync:
            with self.group.lock:
                others = [i for i in self.group.instances if i is not self.instance]
                if any(entry in i.log for i in others):
                    return True
                if not self.instance.is_alive:
                    return False
            time.sleep(0.0005)
        return True

    def read(self, ident, item):
        inst = self.instance
        seen = inst.log[:inst.applied]
        self.group.reads.append((ident, inst.name, {entry.ident for entry in seen}))
        self.group.record.write(f"{inst.name} runs {ident} READ as {inst.role} at {inst.position(inst.applied)}")
        rows = self.group.rows_of(item)
        if rows is None:
            found = [entry.data for entry in seen if entry.item == item]
            rows = found[-1:]
        self.reply(*(f"DATAROW {row}" for row in rows), self.signature())

    def control(self, word, rest):
        inst, group = self.instance, self.group
        with group.lock:
            if word == "PAUSE" and int(rest) > inst.term and inst.role == "replica":
                inst.held = max(inst.held, int(rest))
            if word == "RESUME":
                inst.held = 0
            if word == "STEPDOWN" and inst.role == "primary" and inst.term < int(rest):
                inst.role = "replica"
                group.record.write(f"{inst.name}: stepped down")
            row = f"DATAROW {inst.role} {inst.term} {inst.position(len(inst.log))} {inst.held} 0 0 {len(inst.sockets)}"
            if word != "STATUS":
                group.record.write(f"{inst.name}: {word} {rest} -> {row}")
            self.reply(row, "COMPLETE -")


class Group:
    """A service: one primary and its replicas."""

    def __init__(self, record, store, name, zones, sync=0, max_connections=34, promote_s=1.0):
        self.record, self.store, self.name, self.sync = record, store, name, sync
        self.max_connections, self.promote_s = max_connections, promote_s
        self.lock = threading.RLock()
        self.counter = itertools.count(1)
        self.reads, self.commits, self.promotions, self.runs = [], [], [], []
        self.rows_of = lambda item: None
        self.instances = [Instance(self, f"i-{name}-{n}", zone) for n, zone in enumerate(zones)]
        self.instances[0].role = "primary"
        store.promote[name] = self.promote
        for instance in self.instances:
            self.register(instance)
        threading.Thread(target=self.replicate, daemon=True).start()
        threading.Thread(target=self.heartbeat, daemon=True).start()

    def leader(self):
        leaders = [i for i in self.instances if i.role == "primary"]
        return max(leaders, key=lambda i: i.term, default=None)

    def by_name(self, name):
        return next((i for i in self.instances if i.name == name), None)

    def register(self, instance):
        with self.lock:
            instance.sequence += 1
            entry = {
                "service": self.name, "address": instance.address, "zone": instance.zone,
                "version": "v1", "capacity": 3, "state": "ready", "warmupLeftMs": 0,
                "databaseRole": instance.role, "sequence": instance.sequence, "born": instance.born,
            }
        self.store.put("servers", instance.name, json.dumps(entry).encode())
        instance.registered = time.monotonic()

    def heartbeat(self):
        while True:
            time.sleep(HEARTBEAT_S)
            for instance in self.instances:
                if instance.is_alive and not instance.is_dark:
                    self.register(instance)
                elif time.monotonic() - instance.registered > LAPSE_S:
                    with self.store.lock:
                        known = ("servers", "", instance.name) in self.store.rows
                    if known:
                        self.store.put("servers", instance.name, None)

    def replicate(self):
        while True:
            time.sleep(0.001)
            now = time.monotonic()
            with self.lock:
                leader = self.leader()
                for replica in self.instances:
                    if replica is leader or not replica.is_alive:
                        continue
                    can_receive = leader is not None and leader.is_alive and not leader.is_dark and not (
                        replica.held or replica.is_deaf or replica.is_dark)
                    if can_receive and replica.role == "replica":
                        if replica.term != leader.term:
                            replica.follow(leader)
                        for entry in leader.log[len(replica.log):]:
                            if now - entry.at < replica.receive_s:
                                break
                            replica.log.append(entry)
                    while replica.applied < len(replica.log):
                        if now - replica.log[replica.applied].at < replica.receive_s + replica.lag_s:
                            break
                        replica.applied += 1

    def promote(self, name):
        instance = self.by_name(name)
        if instance is None or not instance.is_alive or instance.is_dark:
            return 409
        with self.lock:
            if instance is self.leader():
                return 200
        threading.Thread(target=self.lead, args=(instance,), daemon=True).start()
        return 200

    def lead(self, instance):
        time.sleep(self.promote_s)
        with self.lock:
            if not instance.is_alive:
                return
            term = max(i.term for i in self.instances) + 1
            instance.role, instance.term, instance.held = "primary", term, 0
            instance.applied, instance.led_at = len(instance.log), time.monotonic()
            held = {entry.ident for entry in instance.log}
            self.promotions.append((instance.name, instance.led_at, held))
            self.record.write(f"{instance.name}: leads term {term} from {instance.position(instance.applied)}")
            for other in self.instances:
                if other is not instance and other.is_alive and not other.is_dark:
                    other.held = 0
                    if not other.is_deaf:
                        other.follow(instance)
        for other in self.instances:
            if other.is_alive and not other.is_dark:
                self.register(other)


# ---------------------------------------------------------------- daemons

class Daemon:
    """A daemon of the deploy file, with settings that the platform fills in."""

    def __init__(self, record, folder, ip, zone, zones, region_of, store):
        self.record, self.ip, self.process = record, ip, None
        ports = [free_port(ip) for _ in range(3)]
        self.callers, self.ready, self.peers = ports
        fields = {
            "ip": ip, "zone": zone, "region": region_of[zone],
            "listenAddresses.frontend": f"{ip}:{self.callers}",
            "listenAddresses.ready": f"{ip}:{self.ready}",
            "internalPortRange.0": str(self.peers),
            "platform.address": store.address, "cloudApi.address": store.address,
            "bounds.quotaTolerance": "20", "bounds.quotaOverage": "0.1",
            "bounds.revokeTimeoutMs": "5000", "bounds.gracePeriodS": "6",
            "bounds.drainTimeoutMs": "7000", "limits.memoryMb": "260", "bounds.evacuationMs": "",
        }
        text = open(os.path.join(ROOT, "deploy/settings.yaml")).read()

        def section(match):
            return "".join(
                match[1].replace("{{@}}", name).replace("{{.}}", region_of[name]) for name in zones
            )

        text = re.sub(r"\{\{#zones\}\}(.*?)\{\{/zones\}\}", section, text, flags=re.S)
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda match: fields[match[1]], text)
        self.settings = os.path.join(folder, f"{ip}.yaml")
        with open(self.settings, "w") as file:
            file.write(text)
        self.output = os.path.join(folder, f"{ip}.log")

    def start(self):
        env = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        } | {"EBONYGAUGE_CONFIG": self.settings, "EBONYGAUGE_MEMORY_MIB": "260", "EBONYGAUGE_EVACUATION_MS": ""}
        with open(self.output, "a") as output:
            self.process = subprocess.Popen(
                [os.path.join(ROOT, "target/release/ebonygauge"), "serve", self.settings],
                cwd=ROOT, env=env, stdout=output, stderr=subprocess.STDOUT,
            )
        self.record.write(f"daemon {self.ip}: started")

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.record.write(f"daemon {self.ip}: killed")

    def is_ready(self):
        try:
            with urllib.request.urlopen(f"http://{self.ip}:{self.ready}/ready", timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def peak_kib(self):
        with open(f"/proc/{self.process.pid}/status") as status:
            return int(re.search(r"VmHWM:\s+(\d+)", status.read())[1])


# ---------------------------------------------------------------- clients

class Refused(Exception):
    pass


class Client:
    """Session of a client. Answers are (rows, outcome line, state)."""

    count = itertools.count(1)

    def __init__(self, record, daemon, database, key, limit=10.0):
        self.record = record
        self.socket = socket.create_connection((daemon.ip, daemon.callers), timeout=limit)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = self.socket.makefile("rb")
        self.socket.sendall(f"STARTUP {database} {key}\r\n".encode())
        first = self.line()
        if not first.startswith("READY"):
            raise Refused(first)

    def line(self):
        line = self.reader.readline()
        if not line.endswith(b"\r\n"):
            raise OSError("the connection ended")
        return line.decode().rstrip("\r\n")

    def query(self, text, ident=None):
        ident = ident or f"q{next(self.count):05d}"
        sent = time.monotonic()
        self.record.write(f"client sends {ident} {text[:60]}")
        self.socket.sendall(f"QUERY {ident} {text}\r\n".encode())
        rows, outcome = [], None
        while True:
            line = self.line()
            word, _, rest = line.partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word in ("COMPLETE", "ERROR"):
                outcome = line
            elif word == "READY":
                self.record.write(f"client gets {ident} {outcome} ({len(rows)} rows) state {rest}")
                return Answer(ident, sent, rows, outcome, rest.split(" ")[0])

    def close(self):
        self.socket.close()


class Answer:
    def __init__(self, ident, sent, rows, outcome, state):
        self.ident, self.sent, self.rows, self.outcome, self.state = ident, sent, rows, outcome, state
        self.at = time.monotonic()

    @property
    def is_success(self):
        return self.outcome.startswith("COMPLETE")


# ---------------------------------------------------------------- case

class Case:
    """Frame of a case: folder, record, store, group, daemons, and their end."""

    ZONES = {"sierra-norte": "sierra", "sierra-valle": "sierra", "costa-sur": "costa"}

    def __init__(self, folder):
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder)
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        self.daemons, self.groups = [], []
        self.record.write(f"trouble: {'on' if self.trouble else 'off'}")

    def start_group(self, name="huvo11a", **options):
        group = Group(self.record, self.store, name, list(self.ZONES), **options)
        self.groups.append(group)
        return group

    def configure(self, version, routes):
        """The operator writes a configuration. A route names its `service`, by default the
        first one."""
        tenant = {"name": "nypu920", "apiKeys": ["u6wsjnbanfqasnmgkcuy"], "priority": 1,
                  "ratePerS": 2000, "burst": 2000}
        document = {
            "version": version,
            "routes": [
                {"name": f"r-{host}", "host": host, "prefix": "/", "timeoutMs": 1000,
                 "targetLatencyMs": 600, "priority": 1, "service": self.groups[0].name,
                 "maxAttempts": 2, "anonymous": False, **rest}
                for host, rest in routes.items()
            ],
            "services": [
                {"name": group.name, "healthPath": "/health",
                 "maxConnections": group.max_connections, "protocol": "h1",
                 "tlsEnabled": False, "syncReplicaCount": group.sync}
                for group in self.groups
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "transactionIdleMs": 3000},
            "tenants": [tenant],
        }
        self.document = json.dumps(document).encode()
        self.store.put("op", "config", self.document)
        self.record.write(f"operator: configuration {version} acknowledged")

    def start_daemons(self, count):
        zones = list(self.ZONES)
        for n in range(count):
            daemon = Daemon(self.record, self.temporary, f"127.0.0.{11 + n}", zones[n % 3],
                            zones, self.ZONES, self.store)
            self.daemons.append(daemon)
            daemon.start()
        self.await_ready()

    def await_ready(self, limit=25):
        end = time.monotonic() + limit
        for daemon in self.daemons:
            while not daemon.is_ready():
                if time.monotonic() > end:
                    raise RuntimeError(f"daemon {daemon.ip} is not ready")
                time.sleep(0.02)
        self.record.write("all daemons are ready")

    def open(self, daemon, database, limit=10.0):
        return Client(self.record, daemon, database, "u6wsjnbanfqasnmgkcuy", limit)

    def end(self):
        for daemon in self.daemons:
            daemon.end()
        if os.environ.get("KEEP"):
            print(self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def play(folder, body):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    case = Case(folder)
    watchdog = threading.Timer(115, lambda: (case.record.write("time limit"), case.end(), os._exit(2)))
    watchdog.daemon = True
    watchdog.start()
    try:
        broken = body(case)
    except Exception as error:  # Anything unexpected means that the case could not run.
        case.record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        code = 2
    else:
        for line in broken:
            case.record.write(f"BROKEN: {line}")
            print(f"broken: {line}")
        case.record.write("the rule was broken" if broken else "the rule held")
        code = 1 if broken else 0
    case.end()
    sys.stdout.flush()
    os._exit(code)
