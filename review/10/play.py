"""A client sets a session value inside a transaction, and commits. TROUBLE=0: it sets the
value before the transaction."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import rig

DATABASE = "lepu270"


def body(case):
    group, record = case.start_group(), case.record
    case.configure(1, {DATABASE: {"kind": "primary"}})
    case.start_daemons(2)
    runs, broken = 0, []
    for number in range(20):
        client = case.open(case.daemons[number % 2], DATABASE)
        acknowledged = {}

        def query(text):
            """Asks, and compares the values on the connection with those acknowledged."""
            nonlocal runs
            before = dict(acknowledged)
            answer = client.query(text)
            for ident, word, values in group.runs:
                if ident == answer.ident:
                    runs += 1
                    if values != before:
                        broken.append(
                            f"PINNED: {ident} {word} ran on a connection with the values {values},"
                            f" after {before} had been acknowledged to its client"
                        )
            return answer

        def set_value(name, value):
            if query(f"SET {name} {value}").is_success:
                acknowledged[name] = value

        set_value("region", "sierra")
        if not case.trouble:
            set_value("zone", f"z{number}")
        query("BEGIN")
        query("READ 1a4")
        query(f"WRITE 1a4 v{number}")
        if case.trouble:
            set_value("zone", f"z{number}")
        query("COMMIT")
        query("READ 1a4")
        client.close()
    if not runs:
        raise RuntimeError("nothing was run")
    record.write(f"{len(broken)} of {runs} statements break the rule")
    return broken[:5]


rig.play(FOLDER, body)
