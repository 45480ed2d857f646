"""A new configuration sets a route's `maxStalenessMs` to 0. TROUBLE=0: the new
configuration changes a time-out, and the route keeps 1,500 ms."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import rig

WRITES, READS = "lepu270", "xapu221"
CONFIG_APPLY_S = 4.0
USUAL_MS = 1500


def body(case):
    group, record = case.start_group(), case.record

    def configure(version, bound_ms, timeout_ms):
        reads = {"kind": "bounded_staleness", "maxStalenessMs": bound_ms, "timeoutMs": timeout_ms}
        case.configure(version, {WRITES: {"kind": "primary"}, READS: reads})

    configure(1, USUAL_MS, 2000)
    case.start_daemons(2)
    time.sleep(2)
    bound_ms = 0 if case.trouble else USUAL_MS
    configure(2, bound_ms, 1900)
    time.sleep(CONFIG_APPLY_S + 0.5)

    writer = case.open(case.daemons[0], WRITES)
    readers = [case.open(each, READS) for each in case.daemons]
    acknowledged, reads = [], []
    for number in range(150):
        answer = writer.query(f"WRITE 1a4 v{number:04d}")
        if answer.is_success:
            acknowledged.append(answer)
        for reader in readers:
            answer = reader.query("READ 1a4")
            if answer.is_success:
                reads.append(answer)
        time.sleep(0.05)

    if not acknowledged or not reads:
        raise RuntimeError("nothing was served")
    seen_by = {ident: (name, seen) for ident, name, seen in group.reads}
    broken = []
    for read in reads:
        name, seen = seen_by[read.ident]
        lost = [
            write for write in acknowledged
            if write.at < read.sent - bound_ms / 1000 and write.ident not in seen
        ]
        if lost:
            age_ms = 1000 * (read.sent - lost[0].at)
            broken.append(
                f"STALE: {read.ident} was run by {name} without {lost[0].ident}, which was acknowledged"
                f" {age_ms:.1f} ms before the read was sent; maxStalenessMs is {bound_ms}"
            )
    record.write(f"{len(broken)} of {len(reads)} reads break the rule")
    return broken[:5]


rig.play(FOLDER, body)
