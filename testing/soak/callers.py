"""Callers that use their connections until the process is gone and take up streams that broke off, at any host, and what
they were told.

    callers = Callers(gateways, seed, count=6)
    callers.start() ... callers.stop()
    for call in callers.calls: ...
"""

import dataclasses
import http.client
import random
import threading
import time

from userplatform import events_in

PATHS = {"unsafe": "/book/", "safe": "/look/", "stream": "/write/", "resumable": "/resume/"}
SIZE = {"X-Token-Count": "100,400", "X-Length-Hint": "300", "X-Model": "m"}
PATIENCE_MS = 3000


@dataclasses.dataclass
class Call:
    id: str
    kind: str
    status: int = 0  # none came
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    host: str = ""  # the gateway that was called
    at: float = 0  # when, in seconds of the monotonic clock
    key: str = ""
    resumes: "Call" = None  # the call whose stream this one takes up, and that may do so itself

    def first(self):
        """The call that brought the stream's first event."""
        return self.resumes.first() if self.resumes else self

    def last_event(self):
        """The number of the last whole event that the caller has."""
        events = events_in(self.body)
        before = self.resumes.last_event() if self.resumes else 0
        return events[-1][0] if events else before


class Callers:
    def __init__(self, gateways, seed, count, key_for=None):
        """`key_for(chance)`: the key of a call; without it calls carry none."""
        self.gateways = gateways
        self.key_for = key_for or (lambda chance: "")
        self.calls = []
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self.run, daemon=True, args=(
            number, random.Random(f"{seed}-{number}"), random.Random(f"{seed}-{number}-keys"))) for number in range(count)]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run(self, number, chance, key_chance):
        connection = None
        sent = 0
        broken = None  # a stream to take up
        while not self.stopping.is_set():
            if connection is None:
                gateway = chance.choice(self.gateways)
                host, port = gateway.callers.split(":")
                connection = http.client.HTTPConnection(host, int(port), timeout=PATIENCE_MS / 1000 + 3)
            sent += 1
            kind = chance.choice(list(PATHS)) if broken is None else broken.kind
            call = Call(f"{number:04x}{sent:012x}", kind, host=gateway.name, at=time.monotonic(), resumes=broken,
                        key=broken.key if broken else self.key_for(key_chance))
            self.calls.append(call)
            if not self.ask(connection, call):
                connection.close()
                connection = None
            broken = call if self.may_take_up(call) else None
            self.stopping.wait(chance.uniform(0, 0.05))
        if connection is not None:
            connection.close()

    @staticmethod
    def may_take_up(call):
        """Once: a stream of a resumable route that broke off after an event."""
        return call.kind == "resumable" and not call.is_whole and call.resumes is None and call.last_event() > 0

    def ask(self, connection, call):
        """Whether the connection may be used again."""
        headers = {"Host": "shop.example", "X-Request-Id": call.id, "X-Deadline-Ms": str(PATIENCE_MS)}
        if call.kind in ("stream", "resumable"):
            headers.update(SIZE)
            headers["X-Prompt-Prefix"] = f"f1:200,{call.id}:100"  # all share the first part
        if call.key:
            headers["Authorization"] = "Bearer " + call.key
        if call.resumes:
            headers.update({"Resumes": call.first().id, "Last-Event-Id": str(call.resumes.last_event())})
        method = "GET" if call.kind == "safe" else "POST"
        try:
            connection.request(method, PATHS[call.kind] + call.id, None if method == "GET" else b"body " + call.id.encode(),
                               headers)
            reply = connection.getresponse()
            call.status, call.headers = reply.status, {name.lower(): value for name, value in reply.getheaders()}
            call.body = reply.read()
            call.is_whole = True
            return not reply.will_close
        except http.client.IncompleteRead as torn:
            call.body = torn.partial
        except (OSError, http.client.HTTPException):
            pass
        return False
