"""Streams at six decode engines, of which three are faulty: their answers go on without end, with bytes that are no answer."""

import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support"))

from world import World, route, run  # noqa: E402

TIMEOUT_SECONDS, LATE_SECONDS = 4.0, 0.5  # of the route, and what the rule adds
WATCHED_SECONDS = 10.0  # how long a client waits; its own deadline is later
CLIENTS = 48
DECODERS, FAULTY = 6, ("i-2", "i-3", "i-4")
EVENTS, PAUSE_SECONDS = 70, 0.02
NOBODY = b"bytes of nobody\n\n" * 8192


class Engines:
    def __init__(self, world):
        self.world, self.lock = world, threading.Lock()
        self.holds, self.handles = 0, 0
        self.ran = {}

    def prefill(self, server, request):
        with self.lock:
            self.handles += 1
            handle = f"{self.handles:012x}"
        request.reply(200, {"handle": handle, "tokens": 5000, "version": 1}, X_Request_Id=request.id)

    def decode(self, server, request):
        if request.path == "/hold-take":
            with self.lock:
                self.holds += 1
                hold = f"h{self.holds}"
            request.reply(200, {"hold": hold})
        elif request.method == "DELETE":
            request.reply(200, {})
        else:
            self.generate(server, request)

    def generate(self, server, request):
        self.ran[request.id] = server.name
        self.world.note(f"runs     {request.id} at {server.name}")
        request.close()
        request.send(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
                      f"X-Request-Id: {request.id}\r\nX-Server-Stamp: {server.name}.{request.id}\r\n\r\n").encode())
        for number in range(1, EVENTS + 1):
            request.send(f"id: {number}\ndata: piece {number} of {EVENTS}\n\n".encode())
            time.sleep(PAUSE_SECONDS)
        if self.world.trouble and server.name in FAULTY:
            begin = time.monotonic()
            try:
                while time.monotonic() < begin + 30:
                    request.send(NOBODY)
            finally:
                self.world.note(f"closed   {request.id} at {server.name} by the gateway, "
                                f"{time.monotonic() - begin:.1f} s after its last event")


def watch(world, gateway, request_id, ends):
    """Sends one request and notes when its answer has ended, in whatever way, or None if it goes on."""
    host, port = gateway.callers.split(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall((f"POST /verdict/1 HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {request_id}\r\n"
                            "X-Deadline-Ms: 14000\r\nX-Model: m\r\nX-Token-Count: 5000,70\r\nX-Length-Hint: 70\r\n"
                            f"X-Prompt-Prefix: 5c1e07a2:200,{request_id}:4800\r\nContent-Length: 3\r\n\r\nlog").encode())
        begin = time.monotonic()
        world.note(f"sent     {request_id}")
        ends[request_id] = None
        last, size, is_refused = b"", 0, False
        while (left := begin + WATCHED_SECONDS - time.monotonic()) > 0:
            connection.settimeout(left)
            try:
                data = connection.recv(1 << 20)
            except OSError:
                data = b""
            is_refused = is_refused or (size == 0 and data.startswith(b"HTTP/1.1 503"))
            size += len(data)
            last = (last + data)[-16:]
            if not data or is_refused or last.endswith(b"\r\n0\r\n\r\n"):
                if time.monotonic() < begin + WATCHED_SECONDS:
                    ends[request_id] = time.monotonic() - begin
                break
        took = ends[request_id]
        world.note(f"client   {request_id}: {size} bytes, " + (f"ended after {took:.1f} s" if took else "goes on")
                   + (", refused" if is_refused else ""))


def main():
    with World(sys.argv[1]) as world:
        engines = Engines(world)
        for _ in range(2):
            world.server("diag-models", engines.prefill, "prefill")
        for _ in range(DECODERS):
            world.server("diag-models", engines.decode, "decode")
        world.configure([route("/verdict/", "stream", "diag-models", timeout_ms=int(TIMEOUT_SECONDS * 1000),
                               target_latency_ms=1000, max_attempts=1, session_affinity=True, resumable=False)])
        gateway = world.gateway("front-attica-a-1")
        ends, clients = {}, []
        for _ in range(CLIENTS):
            clients.append(threading.Thread(target=watch, args=(world, gateway, world.request_id(), ends)))
            clients[-1].start()
            time.sleep(0.05)
        for each in clients:
            each.join()
        limit = TIMEOUT_SECONDS + LATE_SECONDS
        longer = [name for name, took in ends.items() if took is None or took > TIMEOUT_SECONDS]
        late = [name for name in longer if ends[name] is None or ends[name] > limit]
        world.note(f"{len(ends)} streams, {len(longer)} last longer than {TIMEOUT_SECONDS} s,"
                   f" {len(late)} of them without an end {LATE_SECONDS} s later: {late}")
        broken = len(late) >= 8 and len(late) * 4 > len(longer)
        return world.finish(f"CONFIG {len(late)} of {len(longer)}" if broken else "", "final answers come in time")


run(main)
