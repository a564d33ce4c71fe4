"""The control service, fronts that follow it, and the commands `doorgrade config`."""

import json

import rig

SERVICE = "control.hillside"


class Control:
    """`doorgrade control` with its keys and certificates, made by `doorgrade keys`."""

    def __init__(self, case, publication="", alive_ms=1000):
        self.case, self.process = case, None
        self.fronts_port, self.operators_port = rig.free_port(), rig.free_port()
        for authority in ("fronts-ca", "operators-ca"):
            self.keys(f"authority {case.path(authority)}")
        self.issue("control", "fronts-ca", SERVICE)
        self.issue("anna", "operators-ca", "anna")
        code, out, errors = case.command("target/release/doorgrade keys seal 1")
        if code != 0:
            raise rig.CannotRun(errors)
        case.write("seal-keys.hcl", out)
        self.write_settings(publication, alive_ms)

    def write_settings(self, publication, alive_ms=1000):
        self.file = self.case.write("control.hcl", (
            f'control {{\n  listen = "127.0.0.1:{self.fronts_port}"\n'
            f'  operators_listen = "127.0.0.1:{self.operators_port}"\n  certificate = "control.pem"\n'
            f'  key = "control.key"\n  fronts_authority = "fronts-ca.pem"\n  operators_authority = "operators-ca.pem"\n'
            f'  seal_keys = "seal-keys.hcl"\n  store = "control.redb"\n  alive_ms = {alive_ms}\n}}\n'
            f'publication {{\n{publication}\n}}\n'))

    def keys(self, arguments):
        code, _, errors = self.case.command("target/release/doorgrade keys " + arguments)
        if code != 0:
            raise rig.CannotRun(f"keys {arguments}: {errors}")

    def issue(self, prefix, authority, name):
        self.keys(f"issue {self.case.path(prefix)} --authority {self.case.path(authority)} --for '{name}'")

    def front_settings(self, name, station="hillside", more=""):
        """The settings file of a front that follows the service; its certificate is made with it."""
        self.issue(name, "fronts-ca", name)
        return self.case.write(f"{name}.hcl", more + (
            f'versions {{\n  enabled = true\n  service = ["127.0.0.1:{self.fronts_port}"]\n'
            f'  server_name = "{SERVICE}"\n  station = "{station}"\n  certificate = "{name}.pem"\n  key = "{name}.key"\n'
            f'  authority = "fronts-ca.pem"\n  seal_keys = "seal-keys.hcl"\n  store = "{name}.redb"\n}}\n'))

    def start(self):
        self.manage = self.case.write("manage.hcl", (
            f'manage {{\n  service = "127.0.0.1:{self.operators_port}"\n  server_name = "{SERVICE}"\n'
            f'  certificate = "anna.pem"\n  key = "anna.key"\n  authority = "fronts-ca.pem"\n}}\n'))
        self.process = self.case.spawn("control", f"target/release/doorgrade control --file {self.file}")
        rig.wait_until("the service responds", lambda: self.config("status --json")[0] in (0, 3), 20)

    def kill(self):
        self.process.kill()

    def config(self, arguments, timeout=60):
        return self.case.command(f"target/release/doorgrade config {arguments} --settings {self.manage}", timeout)

    def order(self, arguments, timeout=60):
        """A command of an operator, written to the record."""
        code, out, errors = self.config(arguments, timeout)
        self.case.record(f"anna: config {arguments}: exit code {code}: {out.strip()} {errors.strip()}")
        return code, out

    def status(self):
        code, out, errors = self.config("status --fronts --json")
        if not out:
            raise rig.CannotRun(f"config status: {errors}")
        return json.loads(out)

    def wait_for_fronts(self, count, seconds=30):
        rig.wait_until(f"{count} fronts are connected", lambda: self.status()["connected"] == count, seconds)
