"""What the scripts of the second review share: gateways as processes, stand-ins of the platform's store and of engines,
and a client. All of it is on loopback addresses and the real clock.

    with Scene("review/6") as scene:
        store = scene.add(Store())
        gateways = scene.start_gateways(store, 3)
        ...
        scene.record("client", id=..., status=...)
"""

import base64
import contextlib
import http.server
import itertools
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_SECONDS = 1.2
BOUNDS = {"contact_ms": 3000, "lease_ms": 3000, "grace_s": 8, "retry_budget_ratio": 0.2, "transit_ms": 120}
FIRST_PORT, LAST_PORT = 20000, 28000  # below the kernel's own range, so that no connection takes a port in between
request_numbers = itertools.count(1)
port_numbers = itertools.cycle(range(FIRST_PORT, LAST_PORT))
for _ in range(os.getpid() * 61 % (LAST_PORT - FIRST_PORT)):
    next(port_numbers)


def free_port():
    for port in port_numbers:
        with socket.socket() as probe:
            with contextlib.suppress(OSError):
                probe.bind(("127.0.0.1", port))
                return port
    raise AssertionError("no free port")


def new_id():
    return f"{os.getpid():08x}{next(request_numbers):08x}"


def wait_until(condition, what, seconds=20):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        with contextlib.suppress(OSError):
            if condition():
                return
        time.sleep(0.01)
    raise TimeoutError(f"never came: {what}")


def render(template, values):
    """The deploy file's template with sections and plain values, as far as it uses them."""

    def look_up(name, entry):
        if name == ".":
            return entry
        found = values
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found

    def sections(text, entry):
        def one(match):
            value = look_up(match.group(1), entry)
            return sections(match.group(2), value) if value not in (None, False, "") else ""
        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", one, text, flags=re.S)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(look_up(match.group(1), entry) or ""), text)

    return sections(template, None)


class Scene:
    """One run of a case: its record, its temporary folder, and all that has to end with it."""

    def __init__(self, folder):
        self.lines = []
        self.folder = ROOT / folder
        self.begin = time.monotonic()
        self.owned = []
        self.lock = threading.Lock()

    def __enter__(self):
        self.temporary = tempfile.TemporaryDirectory()
        return self

    def __exit__(self, *_):
        for each in reversed(self.owned):
            with contextlib.suppress(Exception):
                each.end()
        (self.folder / "record.txt").write_text("".join(line + "\n" for line in self.lines))
        self.temporary.cleanup()

    def record(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            self.lines.append(f"{time.monotonic() - self.begin:8.3f} {what} {text}")

    def add(self, owned):
        self.owned.append(owned)
        return owned

    def start_gateways(self, store, count, first_start=True, zones=("zone-a", "zone-b", "zone-c")):
        gateways = [self.add(Gateway(self, store, f"front-{number}", zones[number % len(zones)], first_start))
                    for number in range(count)]
        for gateway in gateways:
            wait_until(gateway.is_ready, "a gateway to be ready")
        if count > 1:
            wait_until(lambda: sum(gateway.follows() for gateway in gateways) == count - 1, "the links between gateways")
        return gateways


class Gateway:
    """`target/fescuesill-gateway` with the settings that the deploy file's template gives."""

    def __init__(self, scene, store, name, zone, first_start, **bounds):
        self.name, self.zone, self.store, self.bounds = name, zone, store, {**BOUNDS, **bounds}
        self.callers, self.ready = (f"127.0.0.1:{free_port()}" for _ in range(2))
        self.internal = [free_port(), free_port()]
        self.settings = pathlib.Path(scene.temporary.name) / f"{name}.ini"
        self.log_path = pathlib.Path(scene.temporary.name) / f"{name}.log"
        self.scene = scene
        self.start(first_start)

    def start(self, first_start=False):
        values = {"node_name": self.name, "zone": self.zone, "bootstrap": first_start, "ip": "127.0.0.1",
                  "internal_port_range": self.internal, "listen": {"front": self.callers, "ready": self.ready},
                  "limits": {"memory_mb": 110, "max_fds": 4100, "link_mbps": 1000.0},
                  "platform": {"address": self.store.address}, "bounds": self.bounds}
        self.settings.write_text(render((ROOT / "deploy/gateway.ini.template").read_text(), values))
        deploy = (ROOT / "deploy/system.toml").read_text()
        words = re.search(r'^run = "(.*)"$', deploy, re.M).group(1).split()
        words = [str(self.settings) if word == "/etc/fescuesill/boot.toml" else word for word in words]
        environment = {"PATH": os.environ["PATH"], "FESCUESILL_CONFIG": str(self.settings)}
        with open(self.log_path, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log, env=environment)

    def send_signal(self, number):
        os.kill(self.process.pid, number)
        self.scene.record("signal", gateway=self.name, number=signal.Signals(number).name)

    def is_ready(self):
        return Client(self.ready).send("GET", "/ready").status == 200

    def log(self):
        return self.log_path.read_text(errors="replace")

    def follows(self):
        return "event=leader_reached" in self.log()

    def end(self):
        if keep := os.environ.get("KEEP_LOGS"):
            (pathlib.Path(keep) / self.log_path.name).write_text(self.log())
        if self.process.poll() is None:
            os.kill(self.process.pid, signal.SIGCONT)
            self.process.kill()
        self.process.wait()


class HttpStandIn:
    """An HTTP server with a thread for each connection."""

    def __init__(self, port=None):
        self.port = port or free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.open_port()

    def open_port(self):
        owner = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def handle_any(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                with contextlib.suppress(OSError):
                    owner.handle(self, body)

            do_GET = do_POST = do_PUT = do_DELETE = handle_any

            def reply(self, status, body=b"", **headers):
                data = body if isinstance(body, bytes) else json.dumps(body).encode()
                self.send_response_only(status)
                for name, value in headers.items():
                    self.send_header(name.replace("_", "-"), value)
                if not isinstance(body, bytes):
                    self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

        class Quiet(http.server.ThreadingHTTPServer):
            daemon_threads = True
            allow_reuse_address = True
            request_queue_size = 256

            def handle_error(self, *_):
                pass

            def process_request(self, request, client_address):
                owner.connections.add(request)
                super().process_request(request, client_address)

            def shutdown_request(self, request):
                owner.connections.discard(request)
                super().shutdown_request(request)

        self.connections = set()
        self.http = Quiet(("127.0.0.1", self.port), Handler)
        threading.Thread(target=self.http.serve_forever, kwargs={"poll_interval": 0.01}, daemon=True).start()

    def close_port(self):
        """As a process ends: the port refuses connections, and open ones end."""
        self.http.shutdown()
        self.http.server_close()
        for connection in list(self.connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def end(self):
        self.close_port()


class Store(HttpStandIn):
    """The platform's store: tables of rows with one version counter, a feed that waits, conditional writes.

    While `is_down`, it answers every call with 503 and does nothing."""

    def __init__(self):
        self.rows = {}
        self.version = 1
        self.changed = threading.Condition()
        self.is_down = False
        super().__init__()

    def put(self, table, key, value, part=""):
        with self.changed:
            self.version += 1
            self.rows[table, part, key] = (None if value is None else json.dumps(value).encode(), self.version)
            self.changed.notify_all()

    def set_down(self, is_down):
        with self.changed:
            self.is_down = is_down
            self.changed.notify_all()

    def row(self, name, value, version):
        table, part, key = name
        content = {"deleted": True} if value is None else {"value": base64.b64encode(value).decode()}
        return {"table": table, "part": part, "key": key, "ver": version, **content}

    def listed(self, table, part, start, end):
        return [self.row(name, value, version) for name, (value, version) in sorted(self.rows.items())
                if name[:2] == (table, part) and start <= name[2] < end and value is not None]

    def changes(self, table, after):
        """Of all parts of the table, in the order of their versions."""
        rows = [self.row(name, value, version) for name, (value, version) in self.rows.items()
                if name[0] == table and version > after]
        return sorted(rows, key=lambda row: row["ver"])

    def now_ms(self):
        return int(time.monotonic() * 1000)

    def answer(self, path, query, body):
        with self.changed:
            if self.is_down:
                return 503, {}
            if path == "/rows-get":
                rows = self.listed(query["table"], query.get("part", ""), query.get("from", ""), query.get("to", "\U0010ffff"))
                return 200, {"rows": rows, "ver": self.version, "now_ms": self.now_ms(), "truncated": False}
            if path == "/rows-feed":
                table, after = query["table"], int(query["after"])
                self.changed.wait_for(lambda: self.changes(table, after) or self.is_down, int(query["wait_ms"]) / 1000)
                if self.is_down:
                    return 503, {}
                return 200, {"rows": self.changes(table, after), "ver": self.version, "now_ms": self.now_ms()}
            if path == "/rows-tx":
                return self.transact(json.loads(body))
            return 404, {}

    def transact(self, call):
        for row in call["expected"]:
            if self.rows.get((row["table"], row["part"], row["key"]), (None, 0))[1] != row["ver"]:
                return 412, {"rows": [], "ver": self.version, "now_ms": self.now_ms()}
        self.version += 1
        for row in call["set_keys"]:
            self.rows[row["table"], row["part"], row["key"]] = (base64.b64decode(row["value"]), self.version)
        for row in call["remove"]:
            self.rows[row["table"], row["part"], row["key"]] = (None, self.version)
        self.changed.notify_all()
        return 200, {"ver": self.version, "now_ms": self.now_ms()}

    def handle(self, request, body):
        url = urllib.parse.urlsplit(request.path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        time.sleep(0.004)
        status, answer = self.answer(url.path, query, body)
        request.reply(status, answer)


class Reply:
    def __init__(self):
        self.status, self.headers, self.body = 0, {}, b""
        self.is_whole = False  # as the framing of HTTP/1.1 tells it
        self.fault = ""
        self.events = []  # of a stream: (id, data), as they came


class Client:
    """Sends one request on a new connection, and reads its answer by the framing rules of HTTP/1.1."""

    def __init__(self, address, timeout=20.0):
        self.host, self.port = address.split(":")
        self.timeout = timeout

    def send(self, method, path, body=b"", on_event=None, **headers):
        reply = Reply()
        lines = [f"{method} {path} HTTP/1.1", "Host: ficu95.example", f"Content-Length: {len(body)}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        try:
            with socket.create_connection((self.host, int(self.port)), self.timeout) as connection:
                connection.settimeout(self.timeout)
                connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                self.read(connection.makefile("rb"), reply, on_event)
        except (OSError, ValueError, EOFError) as error:
            reply.fault = f"{type(error).__name__}: {error}"
        return reply

    def read(self, stream, reply, on_event):
        reply.status = int(self.line(stream).split()[1])
        while line := self.line(stream):
            name, value = line.split(":", 1)
            reply.headers[name.lower()] = value.strip()
        if reply.headers.get("transfer-encoding") == "chunked":
            while size := int(self.line(stream), 16):
                self.take(reply, self.exactly(stream, size), on_event)
                self.line(stream)
            self.line(stream)
        elif "content-length" in reply.headers:
            self.take(reply, self.exactly(stream, int(reply.headers["content-length"])), on_event)
        else:
            while part := stream.read1(65536):
                self.take(reply, part, on_event)
        reply.is_whole = True

    def take(self, reply, part, on_event):
        before = len(reply.events)
        reply.body += part
        if reply.headers.get("content-type") == "text/event-stream":
            reply.events = [(int(number), data.decode())
                            for number, data in re.findall(rb"id: (\d+)\ndata: ([^\n]*)\n\n", reply.body)]
            if on_event:
                for event in reply.events[before:]:
                    on_event(event)

    @staticmethod
    def line(stream):
        line = stream.readline(65536)
        if not line.endswith(b"\n"):
            raise EOFError("the connection ended within the answer")
        return line.rstrip(b"\r\n").decode()

    @staticmethod
    def exactly(stream, size):
        data = stream.read(size)
        if len(data) < size:
            raise EOFError("the connection ended within the answer")
        return data


def in_threads(calls):
    threads = [threading.Thread(target=call, daemon=True) for call in calls]
    for thread in threads:
        thread.start()
    return threads


def run(folder, play):
    """play(scene) returns whether the rule held. Exits with 0, 1 or 2 as the issue says. All processes end with it, also where
    it is ended by SIGTERM."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        with Scene(folder) as scene:
            held = play(scene)
            scene.record("result", rule="held" if held else "broken", trouble=TROUBLE)
    except Exception as error:  # pylint: disable=broad-except
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(2)
    print("rule held" if held else "rule broken")
    sys.exit(0 if held else 1)
