"""An order of promotion that a partition holds up until another daemon has ordered."""

import os
import sys
import threading
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "lib"))
import rig as rigs

# `node_cut` in the site file's day scale-2: for_s 12, a share of 0.35 (here one of three).
CUT_S = 12.0
# `srv_crash` (primary) among the site file's troubles: for_s 7.
CRASH_S = 7.0


def play(build):
    rig = build(promote_s=1.0)
    group, store = rig.group, rig.store
    group.is_far = True
    second_crash = []
    cut = []

    def on_write(name, value, version):
        """Cuts the holder of the claim off, once the store has answered the claim."""
        claim = find_claim(value)
        if not claim or not second_crash or cut:
            return
        holder = next(d for d in rig.daemons if d.ip == claim["holder"]["vm"])
        cut.append(holder)
        rig.record(f"{holder.ip} has claimed the group: token {version}")
        threading.Timer(0.02, begin, (holder,)).start()

    def begin(holder):
        if not rigs.trouble():
            return
        rig.record(f"{holder.ip} is cut off from the platform")
        holder.cut_platform()
        time.sleep(CUT_S)
        rig.record(f"{holder.ip} reaches the platform again")
        holder.heal_platform()

    store.on_write.append(on_write)
    rig.start()
    start = time.monotonic()
    acknowledged = []

    def load(n):
        client = None
        while time.monotonic() - start < 28:
            try:
                client = client or rigs.Client(rig, rig.daemons[n % 3], "primary0", f"c{n}")
            except (rigs.Refused, OSError):
                time.sleep(0.2)
                continue
            id = f"{client.name}.{time.monotonic():.6f}"
            _, outcome = client.run(f"WRITE item{n} {id}", id)
            if outcome and outcome.startswith("COMPLETE"):
                acknowledged.append((outcome.split(".")[1], id))
            if outcome is None or client.state != "I":
                client.close()
                client = None
            time.sleep(0.05)

    for n in range(6):
        threading.Thread(target=load, args=(n,), daemon=True).start()
    crash(rig, start + 2.0, 3.0)
    time.sleep(6.0)
    second_crash.append(True)
    crash(rig, start + 9.0, CRASH_S)
    time.sleep(max(0, start + 30 - time.monotonic()))
    return list(judge(rig, acknowledged))


def find_claim(value):
    """Claim in a row of the daemons' own table, wherever it stands."""
    if isinstance(value, dict):
        if isinstance(value.get("claim"), dict):
            return value["claim"]
        for inner in value.values():
            found = find_claim(inner)
            if found:
                return found
    if isinstance(value, list):
        for inner in value:
            found = find_claim(inner)
            if found:
                return found
    return None


def crash(rig, at, for_s):
    time.sleep(max(0, at - time.monotonic()))
    primary = rig.group.primary()
    rig.record(f"the primary {primary.id} crashes")
    primary.crash()

    def revive():
        rig.record(f"{primary.id} is back")
        rig.group.revive(primary)

    threading.Timer(for_s, revive).start()


def judge(rig, acknowledged):
    highest = (0, None)
    for _, _, holder, token, id in rig.cloud.orders:
        if token < highest[0]:
            yield f"ONE: {holder} orders {id} with token {token} after {highest[1]} has ordered with {highest[0]}"
        highest = max(highest, (token, holder))
    committed = {entry[0]: (at, term) for at, _, term, entry in rig.group.commits}
    for at, leader, term, _ in rig.group.promoted:
        for instance, id in acknowledged:
            ran, run_term = committed[id]
            if ran > at and run_term < term:
                yield (f"ONE: {id} is committed at {instance} {ran - at:.3f} s after {leader} leads term {term}, "
                       "and is acknowledged")


rigs.main(CASE, play)
