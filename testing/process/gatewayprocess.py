"""The gateway as a process of its own, and a call to it.

    gateway = Gateway(folder, "g1", platform.address)
    status, headers, body = send(gateway.callers, "POST", "/book/1", b"x")
"""

import http.client
import itertools
import pathlib

from standin import Process, binary, free_address

ids = (f"{number:016x}" for number in itertools.count(1))
SIZE = {"X_Token_Count": "100,400", "X_Length_Hint": "300", "X_Model": "m"}  # headers of a generation, for send()


class Gateway(Process):
    def __init__(self, folder, name, store, grace=None, first_start=False, paths=None, process="", more="",
                 announce="300ms"):
        self.name = name
        self.paths = paths  # a paths.Paths, or None where all connections go straight to the endpoints
        self.callers, self.ready, self.peers, self.tunnels = (free_address() for _ in range(4))
        settings = pathlib.Path(folder) / f"{name}.ini"
        stop = f"announce = {announce}\n" + (f"grace_s = {grace}\n" if grace else "")
        settings.write_text(f"[process]\nhost = {name}\ndata_centre = a\n"
                            f"first_start = {'yes' if first_start else 'no'}\n{process}[listen]\ncallers = {self.callers}\n"
                            f"ready = {self.ready}\npeers = {self.peers}\ntunnels = {self.tunnels}\n"
                            f"[store]\naddress = {store}\n"
                            f"lease_ms = 1500\n[stop]\n{stop}{more}")
        self.settings = settings
        program = "gateway-with-test-paths" if paths else "fescuesill-gateway"
        self.environment = paths.environment if paths else None
        super().__init__(binary(program), "--config", settings, environment=self.environment)

    def start_again(self):
        """At the same addresses; ends the process first where it still runs."""
        self.end()
        self.settings.write_text(self.settings.read_text().replace("first_start = yes", "first_start = no"))
        super().__init__(*self.command, environment=self.environment)

    def is_ready(self):
        return send(self.ready, "GET", "/ready")[0] == 200

    def leads(self):
        return "event=leader_changed leader=" in self.log() and " self=yes" in self.log()


def send(address, method, path, body=None, host="shop.example", keeps_body=True, **headers):
    """Status, headers and body; a body that breaks off raises http.client.IncompleteRead. Without `keeps_body` the body is
    read to its end, and only its last bytes are returned."""
    name, port = address.split(":")
    connection = http.client.HTTPConnection(name, int(port), timeout=20)
    try:
        named = {key.replace("_", "-"): str(value) for key, value in headers.items()}
        connection.request(method, path, body, {"Host": host, "X-Request-Id": next(ids), "X-Deadline-Ms": "4000", **named})
        reply = connection.getresponse()
        if keeps_body:
            return reply.status, dict(reply.getheaders()), reply.read()
        last = b""
        while part := reply.read(1 << 16):
            last = part
        return reply.status, dict(reply.getheaders()), last
    finally:
        connection.close()
