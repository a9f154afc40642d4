"""Plain endpoints as processes (endpoint.py), whose answers have neither a length nor chunks, and calls to them."""

import pathlib
import subprocess
import sys
import time

from endpoint import ANSWER
from harness import Client, free_port, new_id

DEADLINE_MS = 1500


class Direct:
    """No proxy between the machines and the endpoint, whose port would stay open."""

    def __init__(self):
        self.port = self.target_port = free_port()


class EndpointProcess:
    def __init__(self, scene, store, number, path):
        self.scene, self.store, self.name, self.path = scene, store, f"i-{number:08x}", path
        self.runs = pathlib.Path(scene.temporary.name) / f"{self.name}.runs"
        self.runs.touch()
        command = [sys.executable, str(pathlib.Path(__file__).with_name("endpoint.py")), str(path.target_port), self.name,
                   str(self.runs)]
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)

    def open(self):
        self.process.stdin.write(b"open\n")
        self.process.stdin.flush()
        self.process.stdout.readline()
        self.scene.record("endpoint_started", id=self.name, port=self.path.port)
        self.store.put("servers", self.name,
                       {"service": "booking", "address": f"127.0.0.1:{self.path.port}", "zone": "zone-a", "version": "v1", "slots": 6,
                        "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": int(time.time() * 1000)})

    def leave(self):
        """Ends like a process that still cleans up."""
        self.process.stdin.write(b"end\n")
        self.process.stdin.flush()
        self.scene.record("endpoint_ends", id=self.name)
        self.process.wait()
        self.scene.record("endpoint_gone", id=self.name)

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.scene.record("endpoint_killed", id=self.name)

    def end(self):
        self.process.kill()
        self.process.wait()


def configure(store):
    route = {"name": "r-confirm", "host": "ficu95.example", "prefix": "/confirm/", "kind": "unsafe", "service": "booking",
             "timeout_ms": DEADLINE_MS, "target_latency_ms": 150, "priority": 2, "max_attempts": 1}
    store.put("op", "config", {"version": 7, "routes": [route], "services": [{"name": "booking", "health_path": "/health",
                               "max_connections": 110, "protocol": "h1", "tls": False}],
                               "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                                          "idle_timeout_ms": 15000}})


def call(scene, gateway, replies):
    request = new_id()
    scene.record("sent", id=request, gateway=gateway.name)
    reply = Client(gateway.callers).send("POST", "/confirm/2f", b"x" * 100, X_Request_Id=request, X_Deadline_Ms=DEADLINE_MS)
    scene.record("answered", id=request, status=reply.status, whole_by_framing=reply.is_whole, bytes=len(reply.body),
                 bytes_of_the_endpoint=len(ANSWER), stamp=reply.headers.get("x-server-stamp", "-"), fault=reply.fault or "-")
    replies[request] = reply


def truncated(scene, replies):
    """The requests whose caller got a part of the body as a complete success."""
    found = [request for request, reply in replies.items()
             if 200 <= reply.status < 300 and reply.is_whole and reply.body != ANSWER]
    for request in found:
        scene.record("mixed", id=request, text="a success with a body that is not the whole body of the endpoint")
    return found


def check_served(replies, trouble):
    served = [reply for reply in replies.values() if reply.status == 200 and reply.body == ANSWER]
    if not served or (not trouble and len(served) < len(replies)):
        raise RuntimeError("the calls without trouble were not served")


def record_runs(scene, endpoints):
    for endpoint in endpoints:
        for line in endpoint.runs.read_text().split("\n")[:-1]:
            scene.record("ran", id=line.split()[0], endpoint=line.split()[1])
