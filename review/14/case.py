"""Two instances crash and come back; the daemons are killed and start again meanwhile."""
import os, signal, sys, threading, time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
import rig as lib

KEY = "key-of-tienda"
CRASH_S = 7.0      # `srv_crash` of the site: for_s = 7.0
REPLICA_S = 3.45   # `srv_crash` "dark replica" of the site: for_s = 3.45
KILL_AT_S = 2.65   # after the entries of both instances have expired
DOWN_S = 0.1       # `herd_kill`: for_s = 1.0 at most
WRITE_S = 0.008    # mean work of the site's `pedido-tienda`
WRITERS = 3        # slots of an instance
NEAR_S, FAR_S = 0.0009, 0.02  # one way between two zones, and between two regions


def write_on(rig, daemon, name, stop, acknowledged):
    client = lib.Client(rig, daemon, "tienda", KEY, name)
    number = 0
    while client.is_open and not stop.is_set():
        number += 1
        query_id = f"{name}-{number}"
        _, outcome = client.query(f"WRITE {name} v{number}", query_id)
        if not outcome.startswith("COMPLETE"):
            return
        acknowledged.append(query_id)


def play(rig):
    group = rig.add_group("pedidos", ["i-p1", "i-p2", "i-p3"], sync=1)
    primary, near, far = group.instances
    near.receive_s, far.receive_s = NEAR_S, FAR_S
    for instance in group.instances:
        instance.delay = {"WRITE": WRITE_S}
    rig.configure(1, [lib.route("tienda", "primary", "pedidos")], ["pedidos"],
                  [lib.tenant("panaderia", [KEY])], sync=1)
    rig.start()
    acknowledged = group.acknowledged = []
    stop, threads = threading.Event(), []
    for i in range(WRITERS):
        arguments = (rig, rig.daemons[i % 3], f"clerk{i}", stop, acknowledged)
        threads.append(threading.Thread(target=write_on, args=arguments, daemon=True))
        threads[-1].start()
    time.sleep(2.0)
    if lib.TROUBLE:
        # Just before a heartbeat, so that the entries expire soon.
        until = min(primary.beat_at, near.beat_at) + lib.HEARTBEAT_S - 0.1
        time.sleep(max(0.0, until - time.monotonic()))
        primary.crash()
        near.crash()
        crashed = time.monotonic()
        time.sleep(KILL_AT_S)
        for daemon in rig.daemons:
            daemon.signal(signal.SIGKILL)
            daemon.process.wait()
        time.sleep(DOWN_S)
        for daemon in rig.daemons:
            daemon.start()
        time.sleep(max(0.0, crashed + REPLICA_S - time.monotonic()))
        near.restart()
        time.sleep(max(0.0, crashed + CRASH_S - time.monotonic()))
        primary.restart()
        time.sleep(4.0)
    else:
        time.sleep(3.0)
    stop.set()
    for thread in threads:
        thread.join(3)
    if len(acknowledged) < 50:
        raise lib.CannotRun("too few writes are acknowledged")
    rig.record("rig", "writes acknowledged", count=len(acknowledged))
    for name, log, count in group.promoted:
        lost = [query_id for query_id in acknowledged[:count] if query_id not in log]
        if lost:
            return f"LOST: {name} was promoted without {len(lost)} acknowledged commits: {lost}"
    return None


lib.main(__file__, play)
