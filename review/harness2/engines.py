"""Model engines for the scripts of the second review: reservations, reading of prompts, streams in chunks, reports.

An engine writes its row in the store when it starts and every HEARTBEAT_SECONDS; a write that fails is tried again with the
next one. crash() ends it at once; start() starts it again under its id, with another `born`."""

import contextlib
import os
import socket
import struct
import threading
import time

from harness import HEARTBEAT_SECONDS, HttpStandIn


class Engine(HttpStandIn):
    def __init__(self, scene, store, name, stage, version="v1", zone="zone-a", service="models", events=40, pause=0.1):
        self.scene, self.store, self.name, self.stage, self.version = scene, store, name, stage, version
        self.zone, self.service, self.events, self.pause = zone, service, events, pause
        self.is_running, self.state, self.writes = True, "ready", 0
        self.holds = 0
        self.handles = 0
        self.runs = {}
        self.ran = []
        self.asked = []
        self.born = int(time.time() * 1000)
        super().__init__()
        self.beat()
        threading.Thread(target=self.beat_forever, daemon=True).start()

    def beat(self):
        self.next_beat = time.monotonic() + HEARTBEAT_SECONDS
        with self.store.changed:
            if self.store.is_down or not self.is_running:
                return
            self.writes += 1
            self.store.put("servers", self.name, {
                "service": self.service, "address": self.address, "zone": self.zone, "version": self.version, "slots": 16,
                "state": self.state, "cold_remaining_ms": 0, "stage": self.stage, "sequence": self.writes,
                "models": [{"name": "m", "version": 1, "adapters": []}], "born": self.born})

    def beat_forever(self):
        while True:
            time.sleep(max(0.01, self.next_beat - time.monotonic()))
            self.beat()

    def crash(self):
        self.is_running = False
        self.scene.record("engine_down", engine=self.name, version=self.version)
        self.http.shutdown()
        self.http.server_close()
        for connection in list(self.connections):
            with contextlib.suppress(OSError):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RD)
                os.close(connection.detach())

    def start(self, version):
        self.version, self.born, self.writes = version, int(time.time() * 1000), 0
        self.runs = {}
        self.is_running = True
        self.open_port()
        self.scene.record("engine_up", engine=self.name, version=version)
        self.beat()

    def handle(self, request, body):
        self.asked.append((time.monotonic(), request.command, request.path, request.headers.get("X-Request-Id", "")))
        expected = request.headers.get("X-Expect-Instance", self.name)
        identity = request.headers.get("X-Request-Id", "")
        if expected != self.name:
            request.reply(421, X_Instance_Id=self.name)
        elif request.path == "/health":
            request.reply(200, X_Instance_Id=self.name)
        elif request.path == "/order":
            request.reply(409)  # another order is in progress
        elif request.path == "/hold-take":
            self.holds += 1
            request.reply(200, {"hold": f"{self.born:x}{self.holds:04x}", "born": self.born})
        elif request.path == "/report":
            runs = [[run, 1000, events, 5] for run, events in list(self.runs.items())]
            request.reply(200, {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                                "sequence": 0, "queued": 0, "running": len(runs), "kv_used": 0, "kv_total": 76562,
                                "kv_handles": 0, "runs": runs, "state": self.state, "born": self.born})
        elif request.command == "DELETE":
            request.reply(200)
        elif request.headers.get("X-Stage") == "prefill":
            if self.stage != "prefill":
                request.reply(421, X_Instance_Id=self.name)
                return
            time.sleep(0.02)
            self.handles += 1
            request.reply(200, {"handle": f"{self.born:x}{self.handles:04x}", "tokens": 100, "version": 1},
                          X_Request_Id=identity)
        elif self.stage != "decode":
            request.reply(421, X_Instance_Id=self.name)
        else:
            self.stream(request, identity)

    def stream(self, request, identity):
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        version = self.version
        self.ran.append(identity)
        self.scene.record("ran", id=identity, engine=self.name, version=version, first_event=first)
        request.send_response_only(200)
        for name, value in (("X-Request-Id", identity), ("X-Server-Stamp", f"{self.name}.{identity}"), ("X-Weight-Versions", "1"),
                            ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")):
            request.send_header(name, value)
        request.end_headers()
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {self.name} {version} piece{number}\n\n".encode()
            request.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            request.wfile.flush()
            self.runs[identity] = number - first + 1
            time.sleep(self.pause)
        self.runs.pop(identity, None)
        request.wfile.write(b"0\r\n\r\n")
