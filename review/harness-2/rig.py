"""Stand-ins and helpers for the cases of the second review. Python's standard library only.

The stand-ins follow the operators' pages: clients speak FastCGI 1.0, caches HTTP/1.1 with the fields of the protocol
page, the control feed writes numbered frames. Everything listens on 127.0.0.1, at ports that the system gives.
"""

import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played; nothing is said about the rule."""


def unix_ms():
    return int(time.time() * 1000)


class Case:
    """One run of a case: its folder, its record, and everything that it has started."""

    def __init__(self, folder):
        self.folder = Path(folder).resolve()
        self.temporary = Path(tempfile.mkdtemp(prefix="doorgrade-review-"))
        self.started_at = time.time()
        self.record_file = open(self.folder / "record.txt", "w", encoding="utf-8")
        self.record_lock = threading.Lock()
        self.processes = []
        self.servers = []
        self.marked_agents = []
        self.record(f"TROUBLE={int(TROUBLE)}")

    def record(self, text):
        with self.record_lock:
            self.record_file.write(f"{time.time() - self.started_at:8.3f} {text}\n")
            self.record_file.flush()

    def path(self, name):
        return self.temporary / name

    def write(self, name, text):
        path = self.path(name)
        temporary = path.with_suffix(path.suffix + ".new")
        temporary.write_text(text, encoding="utf-8")
        temporary.rename(path)
        return path

    def spawn(self, name, command, environment=None):
        """Starts a program by the shell, from the repository's root, as the deploy file does."""
        full = {k: v for k, v in os.environ.items() if not k.startswith(("PROXY_", "DOORGRADE_"))}
        full.update(environment or {})
        log = self.path(f"{name}.{len(self.processes)}.log")
        with open(log, "wb") as sink:
            process = subprocess.Popen(
                ["/bin/sh", "-c", "exec " + command], cwd=ROOT, env=full, stdin=subprocess.DEVNULL,
                stdout=sink, stderr=sink, start_new_session=True)
        started = Started(self, name, process, log)
        self.processes.append(started)
        self.record(f"{name}: started as process {process.pid}: {command}")
        return started

    def command(self, command, timeout=60):
        """Runs a command of the program to its end; gives its exit code, standard output and standard error."""
        full = {k: v for k, v in os.environ.items() if not k.startswith(("PROXY_", "DOORGRADE_"))}
        try:
            done = subprocess.run(["/bin/sh", "-c", "exec " + command], cwd=ROOT, env=full,
                                  stdin=subprocess.DEVNULL, capture_output=True, timeout=timeout)
        except subprocess.TimeoutExpired:
            raise CannotRun(f"no end within {timeout} s: {command}")
        return done.returncode, done.stdout.decode(errors="replace"), done.stderr.decode(errors="replace")

    def front(self, name, listen, config, settings=None):
        """A front, started by the deploy file's `run`."""
        file = self.write(f"{name}.json", json.dumps(config))
        environment = {"PROXY_NAME": name, "PROXY_LISTEN": f"127.0.0.1:{listen}", "PROXY_CONFIG": str(file),
                       "DOORGRADE_SETTINGS": str(settings) if settings else "/dev/null"}
        return self.spawn(name, "target/release/doorgrade", environment)

    def close(self):
        for started in self.processes:
            started.end()
        for agent in self.marked_agents:
            end_marked(agent)
        for server in self.servers:
            server.close()
        for started in self.processes:
            text = started.log_text()
            self.record(f"---- log of {started.name}, process {started.process.pid}\n" + text[-20000:])
        self.record_file.close()
        shutil.rmtree(self.temporary, ignore_errors=True)


class Started:
    def __init__(self, case, name, process, log):
        self.case, self.name, self.process, self.log = case, name, process, log

    def log_text(self):
        try:
            return self.log.read_text(encoding="utf-8", errors="replace")
        except OSError:
            return ""

    def wait_for_log(self, text, seconds, after=0):
        wait_until(f"{self.name} logs '{text}'", lambda: text in self.log_text()[after:], seconds)

    def signal(self, number):
        self.case.record(f"{self.name}: signal {signal.Signals(number).name} to process {self.process.pid}")
        self.process.send_signal(number)

    def kill(self):
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
        self.process.wait()

    def end(self):
        if self.process.poll() is None:
            try:
                self.process.send_signal(signal.SIGCONT)
            except OSError:
                pass
            self.process.kill()
        self.process.wait()


def marked(agent):
    """The instances of an agent that run: process id by name, from the mark in their environment."""
    prefix, found = f"DOORGRADE_INSTANCE={agent}/".encode(), {}
    for entry in os.listdir("/proc"):
        if not entry.isdigit():
            continue
        try:
            environment = Path(f"/proc/{entry}/environ").read_bytes()
            state = Path(f"/proc/{entry}/stat").read_text().rsplit(") ", 1)[1][0]
        except (OSError, IndexError):
            continue
        for variable in environment.split(b"\0"):
            if variable.startswith(prefix) and state not in "ZX":
                name = variable[len(prefix):].decode().rsplit("/", 1)[0]
                found.setdefault(name, []).append(int(entry))
    return found


def end_marked(agent):
    for _ in range(20):
        left = [process for processes in marked(agent).values() for process in processes]
        if not left:
            return
        for process in left:
            try:
                os.kill(process, signal.SIGKILL)
            except OSError:
                pass
        time.sleep(0.05)


def wait_until(what, condition, seconds):
    deadline = time.time() + seconds
    while not condition():
        if time.time() > deadline:
            raise CannotRun(f"not within {seconds} s: {what}")
        time.sleep(0.02)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def read_exactly(stream, count):
    data = b""
    while len(data) < count:
        piece = stream.recv(count - len(data))
        if not piece:
            raise ConnectionError("the connection ended")
        data += piece
    return data


# ---- clients


def record_bytes(kind, request, content):
    return struct.pack(">BBHHBB", 1, kind, request, len(content), 0, 0) + content


def pairs(fields):
    out = b""
    for name, value in fields:
        name, value = name.encode(), value.encode()
        for text in (name, value):
            out += struct.pack(">B", len(text)) if len(text) < 128 else struct.pack(">I", len(text) | 1 << 31)
        out += name + value
    return out


class Client:
    """A web server's connection to a front, one request at a time."""

    def __init__(self, port, timeout=10):
        self.stream = socket.create_connection(("127.0.0.1", port), timeout=timeout)
        self.stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, fields, body=b""):
        data = record_bytes(1, 1, struct.pack(">HB5x", 1, 1)) + record_bytes(4, 1, pairs(fields))
        data += record_bytes(4, 1, b"")
        if body:
            data += record_bytes(5, 1, body)
        self.stream.sendall(data + record_bytes(5, 1, b""))

    def receive(self):
        """The status, the head and the body of the answer."""
        out = b""
        while True:
            _, kind, _, length, padding, _ = struct.unpack(">BBHHBB", read_exactly(self.stream, 8))
            content = read_exactly(self.stream, length + padding)[:length]
            if kind == 6:
                out += content
            elif kind == 3:
                break
        head, _, body = out.partition(b"\r\n\r\n")
        text = head.decode(errors="replace")
        return int(text.split(":", 1)[1].split()[0]) if text.startswith("Status:") else 0, text, body

    def check(self):
        self.send([("SCRIPT_NAME", "/check")])
        return self.receive()[0]

    def ask(self, offering, key, number, wait_ms=3000, body=b""):
        self.send([("SCRIPT_NAME", f"/do/{offering}"), ("HTTP_REQ_ID", f"{number:016x}"),
                   ("HTTP_REQ_WAIT_MS", str(wait_ms)), ("HTTP_REQ_KEY", f"{key:016x}"), ("HTTP_X_SEG", "0"),
                   ("HTTP_X_BUCKET", str(key % 256)), ("HTTP_REQ_KB", "40.0")], body)
        return self.receive()

    def close(self):
        self.stream.close()


def is_ready(port):
    """Whether a front answers `/check` with 200."""
    try:
        client = Client(port, timeout=2)
        try:
            return client.check() == 200
        finally:
            client.close()
    except (OSError, ValueError):
        return False


# ---- servers


class Server:
    def __init__(self, case):
        self.case = case
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        self.open = set()
        self.lock = threading.Lock()
        case.servers.append(self)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                stream, _ = self.listener.accept()
            except OSError:
                return
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.open.add(stream)
            threading.Thread(target=self.guarded, args=(stream,), daemon=True).start()

    def guarded(self, stream):
        try:
            self.serve(stream)
        except (OSError, ValueError, IndexError):
            pass  # The connection ended, perhaps within a line.
        finally:
            with self.lock:
                self.open.discard(stream)
            stream.close()

    def close(self):
        self.listener.close()
        with self.lock:
            streams = list(self.open)
        for stream in streams:
            try:
                stream.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Feed(Server):
    """The control feed. It begins after the events that the configuration holds under `known`."""

    def __init__(self, case, last=1):
        self.events, self.last, self.changed = [], last, threading.Condition()
        self.connections = 0
        super().__init__(case)

    def publish(self, kind, payload, text):
        with self.changed:
            self.last += 1
            self.events.append((self.last, struct.pack(">IQB", 9 + len(payload), self.last, kind) + payload))
            self.case.record(f"feed: event {self.last}: {text}")
            self.changed.notify_all()
        return time.time()

    def serve(self, stream):
        sent = struct.unpack(">Q", read_exactly(stream, 8))[0]
        self.case.record(f"feed: a front asks for what follows event {sent}")
        self.connections += 1
        while True:
            with self.changed:
                new = [event for event in self.events if event[0] > sent]
            for number, frame in new:
                stream.sendall(frame)
                sent = number
            stream.sendall(struct.pack(">IQB", 9, sent, 0))
            with self.changed:
                self.changed.wait_for(lambda: self.last > sent, timeout=1)


class Cache(Server):
    """A cache, a parent or the origin. It keeps what it fetched, and fetches a miss from the source that is named."""

    def __init__(self, case, member, role, directory, latency=0.0, fills_from=None):
        self.member, self.role, self.directory, self.latency = member, role, directory, latency
        self.fills_from = fills_from
        self.copies, self.requests = {}, []
        self.hang = threading.Event()
        self.released = threading.Event()
        super().__init__(case)
        directory[member] = self

    def serve(self, stream):
        reader = stream.makefile("rb")
        while True:
            line = reader.readline()
            if not line:
                return
            path, fields = line.decode().split()[1], {}
            while (line := reader.readline()) not in (b"\r\n", b""):
                name, _, value = line.decode().partition(":")
                fields[name.strip().lower()] = value.strip()
            body = reader.read(int(fields.get("content-length", "0")))
            at = time.time()
            with self.lock:
                self.requests.append((at, path, fields))
            self.case.record(f"{self.member} ({self.role}): {path} call {fields.get('call-id')} miss-to "
                             f"{fields.get('miss-to')} handling {fields.get('handling')} body {len(body)}")
            if self.hang.is_set():
                self.released.wait()
                return
            if self.latency:
                time.sleep(self.latency)
            stream.sendall(self.answer(path, fields))

    def answer(self, path, fields):
        if self.role == "origin":
            return self.good(path, unix_ms(), "o")
        if path in self.copies:
            return self.good(path, self.copies[path], "h")
        source = fields.get("miss-to") or self.fills_from
        if self.role == "parent" and source is None:
            source = self.fills_from
        local = "local" in fields.get("handling", "").split("+")
        if source is None or source == self.member or (self.role == "parent" and local and not fields.get("miss-to")):
            return self.empty("404 Not Found", "n")
        made_at = self.fetch(source, path, fields)
        if made_at is None:
            return self.empty("404 Not Found", "l")
        self.copies[path] = made_at
        return self.good(path, made_at, "f")

    def fetch(self, source, path, fields):
        server = self.directory.get(source)
        if server is None:
            return None
        with socket.create_connection(("127.0.0.1", server.port), timeout=5) as stream:
            handling = "Handling: local\r\n" if "local" in fields.get("handling", "").split("+") else ""
            stream.sendall(f"GET {path} HTTP/1.1\r\nHost: cache\r\nCall-Id: {fields.get('call-id', '')}\r\n"
                           f"Fill-For: {self.member}\r\n{handling}\r\n".encode())
            reader = stream.makefile("rb")
            status, made_at, length = int(reader.readline().split()[1]), 0, 0
            while (line := reader.readline()) not in (b"\r\n", b""):
                name, _, value = line.decode().partition(":")
                if name.lower() == "made-at":
                    made_at = int(value)
                elif name.lower() == "content-length":
                    length = int(value)
            reader.read(length)
            return made_at if status == 200 else None

    def good(self, path, made_at, detail):
        body = f"these are the bytes of {path}\n".encode() * 50
        tag = f"{abs(hash(path)) & (1 << 64) - 1:016x}"
        head = (f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\nTag: {tag}\r\nMade-At: {made_at}\r\n"
                f"Detail: {detail}\r\n\r\n")
        return head.encode() + body

    def empty(self, status, detail):
        return f"HTTP/1.1 {status}\r\nContent-Length: 0\r\nDetail: {detail}\r\n\r\n".encode()


def member_row(cache, locality, flavor, phase="in_service"):
    return {"id": cache.member, "host_port": f"127.0.0.1:{cache.port}", "locality": locality, "flavor": flavor,
            "cell": 0, "phase": phase, "size": 4, "up_since_ms": 0}


def settings(**changes):
    """Settings of a small deployment, with the figures of the first one's pages."""
    rules = {"answerSlack": 8.0, "cold": 17000.0, "drainGrace": 2000.0, "fall": 1500.0, "fallMultiple": 4.0,
             "startCapacity": 0.16}
    specifics = {"crewByZone": [0, 1], "feedKbPerS": [0.0, 0.0], "heedWithin": 300.0, "hubOf": [0, 0],
                 "inPieces": [False, False, False], "lateral": "silent", "maxAge": [0.0, 8000.0, 0.0],
                 "notesGiven": "all", "originFall": 3000.0, "parentCold": 21000.0, "parentColdFrom": 0.06,
                 "parentLimitFactor": 2.0, "passOn": [False, False, True], "purgeDone": 6000.0,
                 "rootFallMultiple": 2.5, "rootKind": 2, "sharesFills": True, "staleFor": [0.0, 0.0, 0.0],
                 "straight": True, "streamKbPerS": 9100.0, "transitPrice": 0.06, "upperKind": 1}
    profiles = [
        {"name": "font-files", "aim": 600.0, "aimStretch": 1.6, "deadline": 6000.0, "worth": 2.0, "group": "all",
         "repeatWindow": 5000.0, "semantics": "free"},
        {"name": "font-css", "aim": 300.0, "aimStretch": 2.0, "deadline": 3000.0, "worth": 1.0, "group": "all",
         "repeatWindow": 5000.0, "semantics": "free"},
        {"name": "site-license", "aim": 800.0, "deadline": 3000.0, "worth": 3.0, "group": "all",
         "repeatWindow": 5000.0, "semantics": "single_shot"}]
    whole = {"zone": 1, "fleetSize": 1, "quantum": 2.0, "localities": ["north", "edge-1"],
             "machineTypes": ["small-node", "parent", "origin"], "registryMode": "automatic",
             "weightKind": "nominal",
             "limits": {"cancel": True, "connIdle": 15000.0, "connectTimeout": 400.0, "maxAttempts": 8,
                        "secondCopies": True, "probing": False, "peers": False},
             "profiles": profiles, "rules": rules, "specifics": specifics}
    whole.update(changes)
    return whole


def config(feed_port, rows, **more):
    return {"seed": "8c1f30d27a5be964", "log": "info",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "feed": f"127.0.0.1:{feed_port}",
            "known": {"n": 1, "events": [{"n": 1, "members": {"revision": 1, "complete": True, "members": rows}}]},
            "settings": settings(), **more}


def main(file, play):
    """Plays a case, and exits with 1 if its rule was broken, 0 if it held, 2 if the case could not run."""
    if not (ROOT / "target/release/doorgrade").exists():
        print("the program is not built", file=sys.stderr)
        sys.exit(NOT_RUN)
    case = Case(Path(file).parent)
    code = NOT_RUN

    def told_to_end(*_):
        raise CannotRun("told to end")

    signal.signal(signal.SIGTERM, told_to_end)

    def too_long():
        case.record("the case took too long")
        for started in case.processes:
            started.end()
        for agent in case.marked_agents:
            end_marked(agent)
        os._exit(NOT_RUN)

    watchdog = threading.Timer(115, too_long)
    watchdog.daemon = True
    watchdog.start()
    try:
        broken = play(case)
        code = BROKEN if broken else HELD
        case.record(f"verdict: {'BROKEN: ' + broken if broken else 'held'}")
        print("BROKEN: " + broken if broken else "held")
    except CannotRun as reason:
        case.record(f"verdict: could not run: {reason}")
        print(f"could not run: {reason}", file=sys.stderr)
    except Exception as error:  # A fault of the script is no verdict.
        case.record(f"verdict: could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
    finally:
        case.close()
    os._exit(code)
