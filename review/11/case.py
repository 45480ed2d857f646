"""Two of three instances crash and come back with their logs; commits wait for one replica."""
import os, sys, threading, time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
import rig as lib

KEY = "key-of-tienda"
ROUNDS = 8
LAST_START_S = 80  # no round begins later
CRASH_S = 7.0      # `srv_crash` of the site: for_s = 7.0
WRITE_S = 0.008    # mean work of the site's `pedido-tienda`
WRITERS = 3        # slots of an instance
NEAR_S, FAR_S = 0.0009, 0.02  # one way between two zones, and between two regions


def write_on(rig, daemon, name, stop, acknowledged):
    """Writes on one session after the other, and notes what was acknowledged."""
    number = 0
    while not stop.is_set():
        try:
            client = lib.Client(rig, daemon, "tienda", KEY, name)
        except OSError:
            time.sleep(0.2)
            continue
        outcome = "COMPLETE" if client.is_open else ""
        while outcome.startswith("COMPLETE") and not stop.is_set():
            number += 1
            query_id = f"{name}-{number}"
            _, outcome = client.query(f"WRITE {name} v{number}", query_id)
            if outcome.startswith("COMPLETE"):
                acknowledged.append(query_id)
        client.close()
        time.sleep(0.2)


def find_loss(group, acknowledged, checked):
    """First promotion since `checked` whose instance lacks a commit acknowledged before."""
    for name, log, count in group.promoted[checked:]:
        lost = [query_id for query_id in acknowledged[:count] if query_id not in log]
        if lost:
            return f"LOST: {name} was promoted without {len(lost)} acknowledged commits: {lost}"
    return None


def play(rig):
    group = rig.add_group("pedidos", ["i-p1", "i-p2", "i-p3"], sync=1)
    acknowledged = group.acknowledged = []
    for instance in group.instances:
        instance.delay = {"WRITE": WRITE_S}
    rig.configure(1, [lib.route("tienda", "primary", "pedidos")], ["pedidos"],
                  [lib.tenant("panaderia", [KEY])], sync=1)
    rig.start()
    stop = threading.Event()
    for i in range(WRITERS):
        arguments = (rig, rig.daemons[0], f"clerk{i}", stop, acknowledged)
        threading.Thread(target=write_on, args=arguments, daemon=True).start()
    checked, breach = 0, None
    for _ in range(ROUNDS if lib.TROUBLE else 1):
        if time.monotonic() - lib.START > LAST_START_S:
            break
        primary = max((i for i in group.instances if i.role == "primary"), key=lambda i: i.term)
        near, far = [i for i in group.instances if i is not primary]
        near.receive_s, far.receive_s = NEAR_S, FAR_S
        before = len(acknowledged)
        time.sleep(2.0)
        if len(acknowledged) - before < 50:
            raise lib.CannotRun("too few writes are acknowledged")
        if not lib.TROUBLE:
            break
        primary.crash()
        near.crash()
        time.sleep(CRASH_S)
        near.restart()
        primary.restart()
        until = time.monotonic() + 10
        count = len(acknowledged)
        while len(acknowledged) < count + 20 and time.monotonic() < until:
            time.sleep(0.1)
        breach = find_loss(group, list(acknowledged), checked)
        checked = len(group.promoted)
        if breach:
            break
    stop.set()
    rig.record("rig", "writes acknowledged", count=len(acknowledged))
    return breach


lib.main(__file__, play)
