"""Writes whose answers an instance cuts off before they end."""

import os
import sys
import threading
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "lib"))
import rig as rigs

# The site file's largest dose of `answer_lost` at primaries: x 0.2 for 4 s.
PERIOD = (3.0, 7.0)
EVERY = 5


def play(build):
    rig = build()
    group = rig.group
    start = time.monotonic()
    writes = {"count": 0}

    def reply(instance, word, id, entries, answer):
        """In the period, one write in five is answered with TIMEOUT, though it has run."""
        if word != "WRITE" or not entries or not PERIOD[0] <= time.monotonic() - start < PERIOD[1]:
            return answer
        with group.lock:
            writes["count"] += 1
            if writes["count"] % EVERY:
                return answer
        error = "ERROR TIMEOUT statement\r\n"
        if not rigs.trouble():
            return error
        rig.record(f"{instance.id} runs {id}, and its answer is cut off")
        raise rigs.Cut(error)

    group.reply = reply
    rig.start()
    start = time.monotonic()

    def load(n):
        client = None
        while time.monotonic() - start < 9:
            try:
                client = client or rigs.Client(rig, rig.daemons[n % 3], "primary0", f"c{n}")
            except (rigs.Refused, OSError):
                time.sleep(0.2)
                continue
            # A client does not send a single write again after INDOUBT, TIMEOUT or a lost answer.
            _, outcome = client.run(f"WRITE item{n} {client.name}x{client.count + 1}")
            if outcome is None or client.state != "I":
                client.close()
                client = None
            time.sleep(0.03)

    threads = [threading.Thread(target=load, args=(n,), daemon=True) for n in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    primary = group.primary()
    applied = {}
    for id, item, data in primary.log:
        applied.setdefault(id, []).append(f"{item} {data}")
    rig.record(f"log of {primary.id}: {len(primary.log)} commits, {len(applied)} statements")
    return [f"TWICE: {id} ({runs[0]}) took effect {len(runs)} times" for id, runs in applied.items() if len(runs) > 1]


rigs.main(CASE, play)
