"""With one synchronous replica: a replica receives nothing, the primary is silent for a
moment, and the replica that has everything for some seconds. TROUBLE=0: that one answers."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import rig

DATABASE = "lepu270"
DEAF_S, DARK_S, PRIMARY_DARK_S = 6.0, 3.45, 1.2


def body(case):
    group, record = case.start_group(sync=1), case.record
    case.configure(1, {DATABASE: {"kind": "primary"}, "fiti832": {"kind": "read_your_writes", "maxStalenessMs": 2500}})
    case.start_daemons(3)
    primary, near, far = group.instances
    acknowledged, stop, lock = [], threading.Event(), threading.Lock()

    def work(daemon):
        """Writes and reads, one session after the other."""
        number = 0
        while not stop.is_set():
            number += 1
            try:
                client = case.open(daemon, DATABASE, limit=3)
                answer = client.query(f"WRITE 1a4 v{number:04d}")
                client.close()
                if answer.is_success:
                    with lock:
                        acknowledged.append(answer)
                client = case.open(daemon, "fiti832", limit=3)
                client.query("READ 1a4")
                client.close()
            except (OSError, rig.Refused):
                pass
            time.sleep(0.03)

    threads = [threading.Thread(target=work, args=(each,), daemon=True) for each in case.daemons]
    for thread in threads:
        thread.start()
    time.sleep(2)

    record.write(f"{far.name}: receives nothing")
    far.is_deaf, deaf_at = True, time.monotonic()
    time.sleep(2)
    if case.trouble:
        near.go_dark()
    dark_at = time.monotonic()
    time.sleep(0.1)
    primary.go_dark()
    threading.Timer(PRIMARY_DARK_S, primary.heal).start()
    while time.monotonic() < dark_at + DARK_S:
        time.sleep(0.01)
    if case.trouble:
        near.heal()
    while time.monotonic() < deaf_at + DEAF_S:
        time.sleep(0.01)
    far.is_deaf = False
    record.write(f"{far.name}: receives again")
    time.sleep(6)
    stop.set()
    for thread in threads:
        thread.join(5)

    if not group.promotions:
        raise RuntimeError("no instance was promoted")
    broken = []
    for name, at, held in group.promotions:
        lost = [answer.ident for answer in acknowledged if answer.at < at and answer.ident not in held]
        if lost:
            broken.append(
                f"LOST: {name} was promoted {at - dark_at:.2f} s after the last replica fell silent, without"
                f" {len(lost)} acknowledged commits, from {lost[0]} to {lost[-1]}"
            )
    return broken


rig.play(FOLDER, body)
