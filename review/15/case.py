"""A route is moved to another service and back while a session is open."""
import os, sys, threading, time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
import rig as lib

KEY = "key-of-horno"
SERVICES = ["pedidos-a", "pedidos-b"]
GAP_S = 0.33  # between two configurations, as in `config_storm`
WRITE_S = 0.06  # longest work of the site's `horno-turno`
READ_S = 0.005


def routes(service):
    return [lib.route("horno", "read_your_writes", service, maxStalenessMs=2500)]


def play(rig):
    a = rig.add_group("pedidos-a", ["i-a1", "i-a2", "i-a3"],
                      zones=["sierra-valle", "sierra-norte", "costa-sur"])
    rig.add_group("pedidos-b", ["i-b1", "i-b2", "i-b3"])
    tenants = [lib.tenant("panaderia", [KEY])]
    rig.configure(1, routes("pedidos-a"), SERVICES, tenants)
    rig.start()
    clerk = lib.Client(rig, rig.daemons[0], "horno", KEY, "clerk")
    other = lib.Client(rig, rig.daemons[0], "horno", KEY, "other")
    other.query("WRITE loaves old")
    # The other session reads now and then, so the daemon knows positions of some age.
    for _ in range(12):
        other.query("READ loaves")
        time.sleep(0.1)
    if lib.TROUBLE:
        rig.record("rig", "the nearest replica of pedidos-a receives nothing")
        a.instances[1].is_deaf = True
    for instance in a.instances:
        instance.delay = {"WRITE": WRITE_S, "READ": READ_S, "AFTER": READ_S}
    # While the clerk's write is at work, the other session's transaction reads at the primary.
    other.query("BEGIN")
    other.query("READ shelf")
    write = []
    thread = threading.Thread(target=lambda: write.append(clerk.query("WRITE loaves new")))
    thread.start()
    time.sleep(WRITE_S / 3)
    other.query("READ shelf")
    thread.join()
    other.query("ROLLBACK")
    if not write[0][1].startswith("COMPLETE"):
        raise lib.CannotRun(f"the write got {write[0][1]}")
    if lib.TROUBLE:
        rig.configure(2, routes("pedidos-b"), SERVICES, tenants)
    time.sleep(GAP_S)
    clerk.query("READ shelf")
    if lib.TROUBLE:
        rig.configure(3, routes("pedidos-a"), SERVICES, tenants)
    time.sleep(GAP_S)
    rows, outcome = clerk.query("READ loaves")
    if outcome.startswith("COMPLETE") and rows != ["new"]:
        return f"STALE: the session's acknowledged write is not in its read: {rows}"
    return None


lib.main(__file__, play)
