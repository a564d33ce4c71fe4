"""A rolling restart onto a faulty configuration halts at the first instance, unless the agent is killed meanwhile."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-2"))
import agents
import rig

WATCHED_S = 75.0


def play(case):
    agent = agents.Agent(case, ["n1", "n2", "n3"])
    agent.start()
    agent.start_all()
    before = {name: pids for name, pids in rig.marked(agent.name).items()}
    case.record(f"processes before: {before}")
    # The operator's mistake: the next start of a front ends with a message that names the key.
    agent.write_config(limits={"cores": 1.0, "memory_mb": 192, "sockets": 3})
    agent.order("anna", "restart", "--all", "--no-wait")
    rig.wait_until("the first instance drains", lambda: len(agent.ready()) == 2, 20)
    if rig.TROUBLE:
        agent.kill()
        agent.start()
    taken, began, seen = [], time.time(), None
    while time.time() < began + WATCHED_S:
        ready, running = agent.ready(), rig.marked(agent.name)
        if (ready, sorted(running)) != seen:
            seen = (ready, sorted(running))
            case.record(f"ready: {ready}; processes: {running}")
        rows = agent.rows()
        taken = [name for name in agent.names if running.get(name) != before[name]]
        if not ready:
            break
        time.sleep(0.5)
    for name, row in agent.rows().items():
        case.record(f"{name}: {row}")
    case.record(f"history: {agent.fleet('history')[1]}")
    case.record(f"instances that are not the processes of before: {taken}")
    if not agent.ready():
        return f"the restart went on past {taken[0]}, which did not come back, to {', '.join(taken[1:])}: no front serves"
    if len(taken) > 1:
        return f"the restart went on past {taken[0]}, which did not come back, to {', '.join(taken[1:])}"
    return None


rig.main(__file__, play)
