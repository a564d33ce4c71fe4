"""Bad clients say that they wait for an hour; the front keeps a timer for each request until then, past its memory limit."""

import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-2"))
import rig

HERE = Path(__file__).resolve().parent
MEMORY_MB, SOCKETS = 32, 256
CONNECTIONS, SECONDS = 16, 60
WAIT_MS = "3600000" if rig.TROUBLE else "3000"


class Named:
    def __init__(self, member, port):
        self.member, self.port = member, port


def memory_mb(process):
    """What the front holds of its own, without the pages of its program's file."""
    for line in Path(f"/proc/{process}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    raise rig.CannotRun("the system doesn't tell the memory of a process")


def play(case):
    programs, members = [], []
    try:
        for member in ("s-00000001", "s-00000002", "s-00000003", "s-000000ff"):
            server = subprocess.Popen([sys.executable, HERE / "quick_cache.py", str(rig.unix_ms())],
                                      stdout=subprocess.PIPE, text=True)
            programs.append(server)
            members.append(Named(member, int(server.stdout.readline())))
        feed = rig.Feed(case)
        rows = [rig.member_row(cache, "edge-1", "small-node") for cache in members[:3]]
        rows.append(rig.member_row(members[3], "north", "origin"))
        limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
        port = rig.free_port()
        front = case.front("n1", port, rig.config(feed.port, rows, limits=limits))
        front.wait_for_log(" listens on ", 20)
        case.record(f"the front may hold {MEMORY_MB} MB, and holds {memory_mb(front.process.pid):.1f} MB at the start")
        clients = [subprocess.Popen([sys.executable, HERE / "clients.py", str(port), str(SECONDS), str(number), WAIT_MS],
                                    stdout=subprocess.PIPE, text=True) for number in range(1, CONNECTIONS + 1)]
        programs += clients
        began, most, usual, number = time.time(), 0.0, [], 0
        while time.time() < began + SECONDS and most <= MEMORY_MB:
            number += 1
            client = rig.Client(port)
            usual.append(client.ask("font-css", 0x7f3a9c21e0b50000 + number % 50, number)[0])
            client.close()
            held = memory_mb(front.process.pid)
            most = max(most, held)
            if number % 10 == 1:
                case.record(f"{time.time() - began:.0f} s: the front holds {held:.1f} MB")
            time.sleep(0.2)
        took = time.time() - began
        case.record(f"after {took:.0f} s the front had held {most:.1f} MB at the most; its usual client had "
                    f"{usual.count(200)} of {len(usual)} accesses served")
        for client in clients:
            if took < SECONDS:
                client.terminate()
        for client in clients:
            case.record(f"a client that says it waits {WAIT_MS} ms: {client.communicate(timeout=15)[0].strip()}")
        if most > MEMORY_MB:
            return f"the front may hold {MEMORY_MB} MB and holds {most:.1f} MB after {took:.0f} s of {CONNECTIONS} bad clients"
        return None
    finally:
        for program in programs:
            program.kill()
            program.wait()


rig.main(__file__, play)
