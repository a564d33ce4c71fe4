"""A harmful version is watched on its canaries when the control service dies and is started anew on its store."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-2"))
import rig
import versions

FRONTS, CLIENTS = 4, 12


class Traffic:
    """The web servers of one front: some connections, each with one access after another."""

    def __init__(self, case, port, name):
        self.port, self.name, self.lock, self.answers = port, name, threading.Lock(), []
        self.stop = False
        for number in range(CLIENTS):
            threading.Thread(target=self.run, args=(number,), daemon=True).start()

    def run(self, number):
        client, sent = None, 0
        while not self.stop:
            try:
                client = client or rig.Client(self.port)
                sent += 1
                status, _, _ = client.ask("font-files", 0x7f3a9c21e0b40000 + sent % 20,
                                          (hash(self.name) & 0xffff) << 44 | number << 32 | sent, wait_ms=6000)
            except (OSError, ValueError):
                client, status = None, 0
            with self.lock:
                self.answers.append((time.time(), status))
            time.sleep(0.02 if status == 200 else 0.1)

    def share(self, since):
        with self.lock:
            answers = [status for at, status in self.answers if at >= since]
        return sum(status == 200 for status in answers) / max(len(answers), 1)


def play(case):
    directory = {}
    caches = [rig.Cache(case, f"s-0000000{n}", "cache", directory, latency=0.15) for n in (1, 2)]
    origin = rig.Cache(case, "s-000000ff", "origin", directory, latency=0.02)
    feed = rig.Feed(case)
    rows = [rig.member_row(cache, "edge-1", "small-node") for cache in caches]
    rows.append(rig.member_row(origin, "north", "origin"))
    control = versions.Control(case, "  soak_ms = 200")
    control.start()
    traffic = {}
    for number in range(FRONTS):
        name, port = f"n{number}", rig.free_port()
        settings = control.front_settings(name, station=f"station-{number}")
        case.front(name, port, rig.config(feed.port, rows), settings).wait_for_log(" listens on ", 20)
        traffic[name] = Traffic(case, port, name)
    control.wait_for_fronts(FRONTS)
    good = case.write("good.hcl", 'log { level = "info" }\n')
    code, _ = control.order(f"publish {good}")
    if code != 0:
        raise rig.CannotRun("the good version was not published")
    # From here on each wave is watched for 15 s, and the figures of a wave are the defaults.
    control.kill()
    control.write_settings("  soak_ms = 15000")
    control.start()
    control.wait_for_fronts(FRONTS)
    # The service hears of each front's service every 5 s, and so knows it before the publication.
    rig.wait_until("the service knows how well the fronts serve",
                   lambda: all(front["serves"] is not None for front in control.status()["list"]), 20)
    time.sleep(1)
    bad = case.write("bad.hcl", "limits {\n  sockets = 32\n}\n")
    code, _ = control.order(f"publish {bad} --no-wait")
    if code != 0:
        raise rig.CannotRun("the version was not published")
    published_at = time.time()

    def runs():
        return sorted(front["front"] for front in control.status()["list"]
                      if front["version"] and ".2-" in front["version"])

    rig.wait_until("the canaries run it", lambda: len(runs()) == 2, 10)
    canaries = runs()
    case.record(f"canaries: {canaries}")
    time.sleep(4)
    if rig.TROUBLE:
        control.kill()
        time.sleep(1)
        control.start()
    last = None
    while time.time() < published_at + 75:
        status = control.status()
        under_way = status["publication"]
        seen = (under_way, [(front["front"], front["version"], front["serves"]) for front in status["list"]])
        if seen != last:
            last = seen
            shares = {name: round(one.share(time.time() - 3), 2) for name, one in traffic.items()}
            case.record(f"publication {under_way}; fronts {seen[1]}; clients served in the last 3 s: {shares}")
        if under_way is None or under_way["stopped"] or runs() and runs() != canaries:
            break
        time.sleep(1)
    time.sleep(3)
    reached = [name for name in traffic if name in runs()]
    shares = {name: round(one.share(time.time() - 3), 2) for name, one in traffic.items()}
    case.record(f"after {time.time() - published_at:.0f} s: run it: {reached}; clients served: {shares}; "
                f"publication: {control.status()['publication']}")
    for one in traffic.values():
        one.stop = True
    further = [name for name in reached if name not in canaries]
    if further and max(shares[name] for name in canaries) < 0.9:
        return (f"the canaries {', '.join(canaries)} served {[shares[name] for name in canaries]} of their accesses with "
                f"it, and it went on to {', '.join(further)}")
    return None


rig.main(__file__, play)
