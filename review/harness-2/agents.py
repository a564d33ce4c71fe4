"""An agent with some fronts of one station, for the cases about many instances."""

import json
import os

import rig


class Agent:
    """The agent, `doorgrade agent`, with its settings, and the commands `doorgrade fleet`."""

    def __init__(self, case, names, station="hillside", pace=""):
        self.case, self.names, self.process = case, names, None
        self.name = f"review-{os.getpid()}"
        case.marked_agents.append(self.name)
        directory = {}
        self.cache = rig.Cache(case, "s-00000001", "cache", directory)
        self.origin = rig.Cache(case, "s-000000ff", "origin", directory)
        self.feed = rig.Feed(case)
        rows = [rig.member_row(self.cache, "edge-1", "small-node"), rig.member_row(self.origin, "north", "origin")]
        self.config = rig.config(self.feed.port, rows)
        self.ports = {name: rig.free_port() for name in names}
        text = (f'agent {{\n  name = "{self.name}"\n  program = "{rig.ROOT}/target/release/doorgrade"\n'
                f'  journal = "agent.redb"\n  socket = "agent.sock"\n  logs = "logs"\n}}\n{pace}')
        for name in names:
            text += (f'instance "{name}" {{\n  station = "{station}"\n  listen = "127.0.0.1:{self.ports[name]}"\n'
                     f'  config = "front.json"\n}}\n')
        self.write_config()
        self.file = case.write("agent.hcl", text)

    def write_config(self, **changes):
        self.case.write("front.json", json.dumps({**self.config, **changes}))

    def start(self):
        self.process = self.case.spawn("agent", f"target/release/doorgrade agent --file {self.file}")
        rig.wait_until("the agent responds", lambda: self.fleet("status", "--json")[0] == 0, 20)

    def kill(self):
        self.process.kill()

    def fleet(self, *arguments, timeout=100):
        return self.case.command("target/release/doorgrade fleet " + " ".join(arguments) + f" --file {self.file}",
                                 timeout)

    def order(self, by, *arguments, timeout=100):
        """An order of an operator, written to the record."""
        code, out, errors = self.fleet(*arguments, "--by", by, timeout=timeout)
        self.case.record(f"{by}: fleet {' '.join(arguments)}: exit code {code}: {out.strip()} {errors.strip()}")
        return code, out

    def rows(self):
        code, out, errors = self.fleet("status", "--json")
        if code != 0:
            raise rig.CannotRun(f"fleet status: {errors}")
        return {row["front"]: row for row in json.loads(out)["instances"]}

    def ready(self):
        """The fronts that tell a client's check that they are ready."""
        return [name for name in self.names if rig.is_ready(self.ports[name])]

    def start_all(self):
        code, _ = self.order("anna", "start", "--all")
        if code != 0 or self.ready() != self.names:
            raise rig.CannotRun("the instances did not start")
