"""A small deployment on loopback for the scripts of review/: the project's gateway as processes, and stand-ins.

    with World(sys.argv[1]) as world:               # the folder of the case; record.txt is written there
        engine = world.server("workshop-api", answer)   # answer(request) -> None, it writes to request.send()
        world.configure([route("/order/", "unsafe", "workshop-api")])
        gateway = world.gateway("front-a-1")
        reply = world.send(gateway, "POST", "/order/1", b"x")

The store is the project's own stand-in (testing/process/userplatform.py). The gateway runs with the command of
deploy/system.toml and the settings that deploy/gateway.ini.template makes of the platform's example in DEPLOY.md.
"""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "testing" / "process"))

import userplatform  # noqa: E402
from standin import free_address  # noqa: E402

GATEWAY = ROOT / "target" / "fescuesill-gateway"
DECODE_SECONDS = 0.02  # between two events
CANNOT_RUN = 2


def run(main):
    """Ends the script with what main() returns; a fault of the script itself is not a broken rule."""
    try:
        code = main()
    except Exception:  # pylint: disable=broad-except
        traceback.print_exc()
        code = CANNOT_RUN
    sys.exit(code)


def route(prefix, kind, service, **other):
    return {"name": "r-" + prefix.strip("/"), "host": "ficu95.example", "prefix": prefix, "kind": kind,
            "service": service, "timeout_ms": 4000, "target_latency_ms": 500, "priority": 1, "max_attempts": 2,
            "gap_target_ms": 300, **other}


class Request:
    """One request that a server has read, and the connection that it came on."""

    def __init__(self, connection, reader, method, path, headers, body):
        self.connection, self.reader = connection, reader
        self.method, self.path, self.headers, self.body = method, path, headers, body
        self.id = headers.get("x-request-id", "")
        self.is_closed = False

    def send(self, data):
        self.connection.sendall(data)

    def reply(self, status, body=b"", **headers):
        """A whole answer. Names of headers are written with _ for -."""
        self.send(answer_bytes(status, body, **headers))

    def close(self):
        self.is_closed = True


def answer_bytes(status, body=b"", **headers):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status} X"] + [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + f"\r\nContent-Length: {len(data)}\r\n\r\n").encode() + data


class Server:
    """An engine or a plain endpoint: reads requests and has `answer` write to each. 421 where another is expected."""

    def __init__(self, world, name, service, answer, stage):
        self.world, self.name, self.service, self.answer, self.stage = world, name, service, answer, stage
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        reader = connection.makefile("rb")
        try:
            while True:
                request = self.read(connection, reader)
                if request is None:
                    return
                if request.headers.get("x-expect-instance") not in (None, self.name):
                    request.reply(421, {}, X_Request_Id=request.id, X_Not_Executed="1")
                else:
                    self.answer(self, request)
                if request.is_closed:
                    return
        except OSError:
            pass  # the gateway has closed the connection
        finally:
            reader.close()
            connection.close()

    @staticmethod
    def read(connection, reader):
        line = reader.readline().decode()
        if not line.strip():
            return None
        method, path, _ = line.split()
        headers = {}
        while (line := reader.readline().decode()).strip():
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return Request(connection, reader, method, path, headers, reader.read(int(headers.get("content-length", 0))))

    def end(self):
        """As the end of its process: the port refuses connections."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def row(self, state="ready", version="v1", slots=6):
        row = {"service": self.service, "address": self.address, "zone": "a", "version": version, "slots": slots,
               "state": state, "cold_remaining_ms": 0, "sequence": 1, "born": 1}
        if self.stage:
            row["stage"] = self.stage
        return json.dumps(row).encode()


class Reply:
    def __init__(self, status, headers, body, end):
        self.status, self.headers, self.body, self.end = status, headers, body, end  # end: whole, closed, reset, time


class World:
    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.lines, self.lock, self.start = [], threading.Lock(), time.monotonic()
        self.processes, self.servers, self.version = {}, [], 0
        self.next_id = 0

    def __enter__(self):
        if not GATEWAY.exists():
            print("target/fescuesill-gateway is missing: run the build of deploy/system.toml first")
            sys.exit(CANNOT_RUN)
        self.place = tempfile.TemporaryDirectory()
        self.platform = userplatform.StoreServer()
        self.store = self.platform.store
        return self

    def __exit__(self, kind, *_):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.platform.end()
        (self.folder / "record.txt").write_text("\n".join(self.lines) + "\n")
        self.place.cleanup()

    def note(self, text):
        with self.lock:
            self.lines.append(f"{time.monotonic() - self.start:8.3f} {text}")

    def server(self, service, answer, stage=None, name=None):
        server = Server(self, name or f"i-{len(self.servers)}", service, answer, stage)
        self.servers.append(server)
        self.register(server)
        return server

    def register(self, server, **other):
        self.store.put("servers", server.name, server.row(**other))

    def configure(self, routes, **other):
        self.version += 3
        services = []
        for name in sorted({server.service for server in self.servers}):
            service = {"name": name, "health_path": "/health", "max_connections": 160, "protocol": "h1", "tls": False}
            if any(server.stage for server in self.servers if server.service == name):
                service["engine"] = {"slots": 16, "kv_capacity_tokens": 76562, "kv_token_bytes": 18432,
                                     "link_mbps": 2900000.0, "moves": True, "backups": True, "stride": 50, "most": 12,
                                     "kv_hold_s": 0.5, "role_switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0,
                                     "models": [{"name": "m"}]}
            services.append(service)
        config = {"version": self.version, "routes": routes, "services": services,
                  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                             "idle_timeout_ms": 15000}, **other}
        self.store.put("op", "config", json.dumps(config).encode())

    def gateway(self, name, first_start=True, more=""):
        """Starts a gateway with the fields of the template, and waits until it is ready."""
        gateway = Gateway(self, name, more)
        gateway.start(first_start)
        gateway.wait_ready()
        return gateway

    def request_id(self):
        with self.lock:
            self.next_id += 1
            return f"{self.next_id:016x}"

    def send(self, gateway, method, path, body=b"", wait=6.0, request_id=None, **headers):
        """One client attempt on a connection of its own."""
        request_id = request_id or self.request_id()
        lines = [f"{method} {path} HTTP/1.1", "Host: ficu95.example", f"X-Request-Id: {request_id}"]
        lines += [f"{key.replace('_', '-')}: {value}" for key, value in {"X_Deadline_Ms": 4000, **headers}.items()]
        if method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {len(body)}")
        host, port = gateway.callers.split(":")
        self.note(f"sent     {request_id} {method} {path} to {gateway.name}")
        with socket.create_connection((host, int(port)), timeout=wait) as connection:
            connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            reply = read_reply(connection, wait)
        reply.id = request_id
        self.note(f"answered {request_id} {reply.status} {reply.end} stamp={reply.headers.get('x-server-stamp')}"
                  f" body={reply.body[:60]!r}")
        return reply

    def in_spell(self, length, every):
        """Whether a disruption of `length` seconds, which comes again each `every` seconds, is on now."""
        return (time.monotonic() - self.start) % every < length

    def finish(self, broken, held):
        """Ends the script: 1 with the sentence `broken` if it is not empty, else 0."""
        self.note(f"RULE BROKEN: {broken}" if broken else f"rule held: {held}")
        print(self.lines[-1])
        return 1 if broken else 0


class Gateway:
    def __init__(self, world, name, more):
        self.world, self.name, self.more = world, name, more
        self.callers, self.ready, self.peers, self.tunnels = (free_address() for _ in range(4))
        self.settings = pathlib.Path(world.place.name) / f"{name}.ini"
        self.log = pathlib.Path(world.place.name) / f"{name}.log"

    def start(self, first_start):
        self.settings.write_text(
            f"[process]\nhost = {self.name}\ndata_centre = a\nlink_mbps = 1000.0\n"
            + ("first_start = yes\n" if first_start else "")
            + f"[listen]\ncallers = {self.callers}\nready = {self.ready}\npeers = {self.peers}\n"
              f"tunnels = {self.tunnels}\n[store]\naddress = {self.world.platform.address}\ncontact_ms = 3000\n"
              f"lease_ms = 3000\n[stop]\ngrace_s = 8\n[retries]\nfleet_share = 0.2\n[streams]\nlatest_event_ms = 120\n"
            + self.more)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen([str(GATEWAY), "--config", str(self.settings)], stdout=log, stderr=log,
                                            cwd=ROOT, env={"PATH": os.environ["PATH"]})
        self.world.processes[self.process.pid] = self.process

    def is_ready(self):
        try:
            host, port = self.ready.split(":")
            with socket.create_connection((host, int(port)), timeout=1) as connection:
                connection.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return b" 200 " in connection.recv(100)
        except OSError:
            return False

    def wait_ready(self):
        end = time.monotonic() + 20
        while not self.is_ready():
            if time.monotonic() > end:
                print("a gateway did not become ready")
                sys.exit(CANNOT_RUN)
            time.sleep(0.05)
        time.sleep(0.5)

    def leads(self):
        changes = [line for line in self.log.read_text(errors="replace").splitlines() if "event=leader_changed" in line]
        return bool(changes) and " self=yes" in changes[-1]



def read_reply(connection, wait):
    """The next answer on the connection, and how it ended."""
    data, end_of_time = b"", time.monotonic() + wait
    head, status, headers, body = None, 0, {}, b""
    while True:
        if head is None and b"\r\n\r\n" in data:
            head, _, data = data.partition(b"\r\n\r\n")
            lines = head.decode(errors="replace").split("\r\n")
            status = int(lines[0].split()[1])
            headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
            if status // 100 == 1:
                head = None
                continue
        if head is not None:
            body, is_whole = body_of(headers, data)
            if is_whole:
                return Reply(status, headers, body, "whole")
        connection.settimeout(max(0.01, end_of_time - time.monotonic()))
        try:
            more = connection.recv(65536)
        except TimeoutError:
            return Reply(status, headers, body, "time")
        except OSError:
            return Reply(status, headers, body, "reset")
        if not more:
            is_unframed = head is not None and "content-length" not in headers and "transfer-encoding" not in headers
            return Reply(status, headers, body, "whole" if is_unframed else "closed")
        data += more


def body_of(headers, data):
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while b"\r\n" in data:
            size, _, rest = data.partition(b"\r\n")
            length = int(size, 16)
            if len(rest) < length + 2:
                return body + rest[:length], False
            body, data = body + rest[:length], rest[length + 2:]
            if length == 0:
                return body, True
        return body, False
    if "content-length" in headers:
        length = int(headers["content-length"])
        return data[:length], len(data) >= length
    return data, False
