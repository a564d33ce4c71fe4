"""A bad version is rolled back to one that names no shape; the front confirms it, and keeps the bad one's shape."""

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-2"))
import rig
import versions

CACHE, GOOD, BAD, ORIGIN = "s-00000001", "s-000000a1", "s-000000a2", "s-000000ff"
# After a change of the shape objects go to their new homes within hierarchy.hand_over_ms, 10 s by default. Longer than
# that, no object of which no parent has a copy has any business at the earlier home.
HAND_OVER_S = 10.0
WATCHED_S = 8.0


def member(name, tier, sources):
    fills_from = ", ".join(f'"{source}"' for source in sources)
    return f'member "{name}" {{\n  incarnation = 1\n  number = 1\n  tier = {tier}\n  fills_from = [{fills_from}]\n}}\n'


def play(case):
    directory = {}
    cache = rig.Cache(case, CACHE, "cache", directory)
    parents = {name: rig.Cache(case, name, "parent", directory, fills_from=ORIGIN) for name in (GOOD, BAD)}
    origin = rig.Cache(case, ORIGIN, "origin", directory, latency=0.02)
    feed = rig.Feed(case)
    rows = [rig.member_row(cache, "edge-1", "small-node"), rig.member_row(origin, "north", "origin")]
    rows += [rig.member_row(parent, "north", "parent") for parent in parents.values()]
    control = versions.Control(case, "  soak_ms = 500")
    control.start()
    case.write("shape.hcl", member(ORIGIN, 2, []) + member(GOOD, 1, [ORIGIN]))
    own = 'hierarchy {\n  enabled = true\n  shape = "shape.hcl"\n}\n'
    settings = control.front_settings("n1", more=own)
    port = rig.free_port()
    front = case.front("n1", port, rig.config(feed.port, rows), settings)
    front.wait_for_log(" listens on ", 20)
    control.wait_for_fronts(1)
    number = 0

    def traffic(seconds):
        """Accesses to objects that nobody has seen; how many were to be filled from each parent, as the cache was told."""
        nonlocal number
        client, since, until = rig.Client(port), time.time(), time.time() + seconds
        while time.time() < until:
            number += 1
            status, _, _ = client.ask("font-files", 0x7f3a9c21e0b40000 + number, number)
            case.record(f"client: access {number:016x} answered {status}")
            time.sleep(0.05)
        client.close()
        counts = {}
        for name, parent in parents.items():
            counts[name] = sum(1 for at, _, fields in parent.requests if at >= since
                               and "local" not in fields.get("handling", ""))
        case.record(f"fills asked of each parent in these {seconds} s: {counts}")
        return counts

    def publish(file, text):
        case.write(file, text)
        code, _ = control.order(f"publish {case.path(file)}")
        if code != 0:
            raise rig.CannotRun("a version was not published")

    publish("first.hcl", 'log { level = "info" }\n')
    if traffic(4)[GOOD] == 0:
        raise rig.CannotRun("no fills before")
    if rig.TROUBLE:
        publish("bad.hcl", "hierarchy { tier = 1 }\n" + member(ORIGIN, 2, []) + member(BAD, 1, [ORIGIN]))
        traffic(4)
        code, _ = control.order("rollback 1")
        if code != 0:
            raise rig.CannotRun("the rollback did not reach the front")
    case.record(f"status: {control.status()}")
    traffic(HAND_OVER_S + 2)
    after = traffic(WATCHED_S)
    # The same version, the same files, in a front that starts anew: for the record.
    front.signal(signal.SIGTERM)
    front.process.wait(timeout=10)
    again = case.front("n1", port, rig.config(feed.port, rows), settings)
    again.wait_for_log(" listens on ", 20)
    case.record("for the record, the same version after a restart of the front:")
    traffic(3)
    if after[BAD] > 0 or after[GOOD] == 0:
        return (f"the front says that it runs the content of version 1, and had {after[BAD]} fills from {BAD} and "
                f"{after[GOOD]} from {GOOD}, {HAND_OVER_S + 2:.0f} s and more after the rollback")
    return None


rig.main(__file__, play)
