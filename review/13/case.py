"""A replica comes back while the store is down, and the primary crashes then."""
import os, sys, threading, time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
import rig as lib

KEY = "key-of-tienda"
CRASH_S = 7.0      # `srv_crash` "primary" of the site: for_s = 7.0
REPLICA_S = 3.45   # `srv_crash` "dark replica" of the site: for_s = 3.45
DOWN_AT_S = 3.0    # since the crash of the replica; its entry has expired
DOWN_S = 4.2       # `platform_down` of the site: for_s = 4.5
LOST_AT_S = 6.2    # crash of the primary, one second before the store is back
MACHINES = 6       # as on the site
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
    rig.start(MACHINES)
    acknowledged = group.acknowledged = []
    stop, threads = threading.Event(), []
    for i in range(WRITERS):
        arguments = (rig, rig.daemons[i % 3], f"clerk{i}", stop, acknowledged)
        threads.append(threading.Thread(target=write_on, args=arguments, daemon=True))
        threads[-1].start()
    time.sleep(2.0)
    if lib.TROUBLE:
        # Just before a heartbeat, so that the entry expires soon.
        time.sleep(max(0.0, near.beat_at + lib.HEARTBEAT_S - 0.1 - time.monotonic()))
        near.crash()
        start = time.monotonic()
        await_time = lambda at: time.sleep(max(0.0, start + at - time.monotonic()))
        await_time(DOWN_AT_S)
        rig.store.is_down = True
        rig.record("rig", "the store is down")
        await_time(REPLICA_S)
        near.restart()
        await_time(LOST_AT_S)
        primary.crash()
        await_time(DOWN_AT_S + DOWN_S)
        rig.store.is_down = False
        rig.record("rig", "the store is back")
        await_time(LOST_AT_S + CRASH_S)
        primary.restart()
        time.sleep(2.0)
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
