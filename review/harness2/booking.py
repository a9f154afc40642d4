"""Plain endpoints with entries in the store, and a configuration whose only route goes to the service `booking`."""

import threading
import time

from harness import HEARTBEAT_SECONDS, Client, HttpStandIn, new_id


class Endpoint(HttpStandIn):
    def __init__(self, scene, name):
        self.scene, self.name, self.ran = scene, name, []
        self.born = int(time.time() * 1000)
        super().__init__()

    def write_rows(self, store, service, part=""):
        """Its entry, as often as entries are written."""
        def beat():
            while True:
                store.put("servers", self.name, self.row(service), part=part)
                time.sleep(HEARTBEAT_SECONDS)
        threading.Thread(target=beat, daemon=True).start()

    def row(self, service):
        return {"service": service, "address": self.address, "zone": "zone-a", "version": "v1", "slots": 6, "state": "ready",
                "cold_remaining_ms": 0, "sequence": 1, "born": self.born}

    def handle(self, request, body):
        identity = request.headers.get("X-Request-Id", "")
        if request.headers.get("X-Expect-Instance", self.name) != self.name:
            request.reply(421, X_Instance_Id=self.name)
            return
        if request.path == "/health":
            request.reply(200, X_Instance_Id=self.name)
            return
        self.ran.append(identity)
        self.scene.record("ran", id=identity, endpoint=self.name)
        time.sleep(0.015)
        request.reply(200, b"booked by " + self.name.encode(), X_Request_Id=identity, X_Server_Stamp=f"{self.name}.{identity}")


def configuration(version, service):
    route = {"name": "r-order", "host": "ficu95.example", "prefix": "/order/", "kind": "unsafe", "service": service,
             "timeout_ms": 1000, "target_latency_ms": 120, "priority": 2, "max_attempts": 1}
    services = [{"name": name, "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": False}
                for name in ("booking", "rehearsal")]
    return {"version": version, "routes": [route], "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def call_all(scene, gateways, calls):
    """Sends so many unsafe calls, one after the other, and returns how many were served."""
    served = 0
    for number in range(calls):
        identity = new_id()
        gateway = gateways[number % len(gateways)]
        scene.record("sent", id=identity, gateway=gateway.name)
        reply = Client(gateway.callers).send("POST", "/order/2f", b"one motor", X_Request_Id=identity, X_Deadline_Ms=1000)
        scene.record("answered", id=identity, status=reply.status, stamp=reply.headers.get("x-server-stamp", "-"))
        served += reply.status == 200
        time.sleep(0.01)
    return served
