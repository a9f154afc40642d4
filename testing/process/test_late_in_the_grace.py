"""A planned stop of one host in calm: calls that are at work, wait or begin again when the end of the grace is near."""

import collections
import contextlib
import http.client
import signal
import socket
import threading
import time
import unittest

from gatewayprocess import SIZE, ids, send
from platformtest import PlatformTest
from standin import call_steadily, wait_until
from userplatform import events_in, route

GRACE_SECONDS = 4  # from SIGTERM to SIGKILL
ANNOUNCE_SECONDS = 1  # from SIGTERM until calls are refused
LATE_SECONDS = 2.5  # after SIGTERM: what begins now would be cut off
LONG = {"timeout_ms": 14000, "target_latency_ms": 6000}
PATIENCE_MS = 14000
ROUTES = [route("/full/", "stream", "full", **LONG), route("/late/", "stream", "late", **LONG),
          route("/again/", "safe", "again", max_attempts=2, **LONG), route("/mute/", "unsafe", "mute", **LONG),
          route("/short/", "unsafe", "short", **LONG),
          route("/resume/", "stream", "resume", max_attempts=2, resumable=True, **LONG)]
# Of the calls of each kind: full and late wait for an engine, that comes free late; again are at an endpoint that crashes late,
# or at one that is silent; mute are silent beyond the grace; resume are
# streams that break off late.
STATUSES = {"full": (503,), "late": (503,), "again": (502, 504), "mute": (504,), "short": (200,),
            "resume": (200,)}
KINDS = tuple(STATUSES)
CALLS = 3  # of each kind, at each host
SLOTS, SLOT_SECONDS, SLOT_CALLS = 6, 1.5, 40  # of an endpoint that can't serve all calls before the end of the grace
KEPT_CALLERS = 12  # on kept connections
READING_SECONDS = 2.5  # of a slow caller
WHOLE_BYTES = 2 << 20  # more than a slow caller has taken when the process ends
LONG_EVENTS, LONG_PAUSE_SECONDS = 30, 0.1


class Call(threading.Thread):
    """`status` is None where the connection ended without a complete answer."""

    def __init__(self, gateway, kind):
        super().__init__(daemon=True)
        self.gateway, self.kind = gateway, kind
        self.status, self.headers, self.body, self.took = None, {}, b"", None
        self.path = f"/{kind}/{id(self):x}"
        self.start()

    def run(self):
        begin = time.monotonic()
        size = SIZE if self.kind in ("full", "late", "resume") else {}
        try:
            self.status, self.headers, self.body = send(self.gateway.callers, "POST", self.path, b"x",
                                                        X_Deadline_Ms=PATIENCE_MS, **size)
        except (OSError, http.client.HTTPException):
            pass
        self.took = time.monotonic() - begin


class LateInTheGraceTest(PlatformTest):
    def setUp(self):
        super().setUp()
        self.full, self.late = (self.platform.endpoint(service, "decode") for service in ("full", "late"))
        self.full.behave = self.late.behave = "full"
        self.gateways = []
        self.late.events, self.late.pause_seconds = LONG_EVENTS, LONG_PAUSE_SECONDS
        self.again = [self.platform.endpoint("again") for _ in range(2)]
        mute, short = self.platform.endpoint("mute"), self.platform.endpoint("short")
        short.behave = "slow"
        for _ in range(2):
            engine = self.platform.endpoint("resume", "decode")
            engine.behave, engine.events, engine.pause_seconds, engine.breaks_at = "half_first", 28, LONG_PAUSE_SECONDS, 26
        for endpoint in [*self.again, mute]:
            endpoint.behave = "mute"
        self.platform.configure(ROUTES)

    def runs_of(self, call):
        return sum(run["path"] == call.path for endpoint in self.platform.endpoints for run in endpoint.seen)

    def stop(self, stopping):
        """The calls to the host that stops, and those to the other. The first is killed at the end of its grace."""
        other = next(gateway for gateway in self.gateways if gateway is not stopping)
        calls = [Call(stopping, kind) for kind in KINDS for _ in range(CALLS)]
        time.sleep(0.3)
        stopping.send(signal.SIGTERM)
        begin = time.monotonic()
        calls += [Call(stopping, kind) for kind in KINDS for _ in range(CALLS)]
        others = [Call(other, kind) for kind in ("late", "short") for _ in range(CALLS)]
        time.sleep(LATE_SECONDS)
        self.late.behave = "ok"
        self.again[0].crash()
        time.sleep(max(0, begin + GRACE_SECONDS - time.monotonic()))
        stopping.kill()
        for call in calls + others:
            call.join()
        return calls, others

    def check(self, stopped):
        self.gateways = self.start_linked(2, grace=GRACE_SECONDS, announce=f"{ANNOUNCE_SECONDS}s",
                                          more="[retries]\nsaved = 20\n")
        stopping = self.gateways[stopped]
        calls, others = self.stop(stopping)
        for call in calls:
            runs, is_refused = self.runs_of(call), call.status == 503
            with self.subTest(kind=call.kind, status=call.status, runs=runs, took=call.took):
                self.assertIn(call.status, STATUSES[call.kind])
                self.assertLessEqual(runs, 0 if is_refused else 2 if call.kind == "resume" else 1)
                if call.kind == "resume":
                    self.assertEqual([number for number, _ in events_in(call.body)], list(range(1, 29)))
                if is_refused:
                    self.assertIn(b'"not_run"', call.body)
                    self.assertLess(float(call.headers["Retry-After"]), 0.5)
                    self.assertLess(call.took, GRACE_SECONDS - 1)
        self.assertTrue(any(call.status == 502 for call in calls if call.kind == "again"))
        for call in others:
            with self.subTest(kind=call.kind, at="the other host", took=call.took):
                self.assertEqual((call.status, self.runs_of(call)), (200, 1))

    # Guards against calls that wait or begin again while their host stops, reach an endpoint so late that the end of the
    # grace cuts them off, or are cut off while they wait.
    def test_calls_at_a_host_that_stops_are_answered_or_not_run(self):
        self.check(1)

    # The same at the host that places the calls of the other.
    def test_calls_at_a_leader_that_stops_are_answered_or_not_run(self):
        self.check(0)

    # The same for calls that wait for a slot of an overloaded endpoint.
    def test_calls_that_wait_for_a_slot_are_answered_or_not_run(self):
        endpoint = next(endpoint for endpoint in self.platform.endpoints if endpoint.service == "short")
        endpoint.behave, endpoint.places, endpoint.serve_seconds = "ok", threading.Semaphore(SLOTS), 0.05
        gateway = self.start(grace=GRACE_SECONDS, announce=f"{ANNOUNCE_SECONDS}s",
                             more="[endpoints]\nshared_slots = yes\n")
        wait_until(gateway.leads, "a leader")
        call_steadily([lambda: send(gateway.callers, "POST", "/short/load", b"x")], 200, 2)
        self.assertIn("event=endpoint_limited", gateway.log())
        endpoint.serve_seconds = SLOT_SECONDS
        calls = [Call(gateway, "short") for _ in range(SLOT_CALLS)]
        time.sleep(0.3)
        gateway.send(signal.SIGTERM)
        time.sleep(GRACE_SECONDS)
        gateway.kill()
        for call in calls:
            call.join()
            with self.subTest(status=call.status, runs=self.runs_of(call), took=call.took):
                self.assertIn((call.status, self.runs_of(call)), ((200, 1), (503, 0)))
        self.assertEqual({call.status for call in calls}, {200, 503})


class ArrivingTest(PlatformTest):
    """Requests on kept connections, and requests that arrive slowly, until the process has gone."""

    def setUp(self):
        super().setUp()
        self.endpoint = self.platform.endpoint("short")
        self.platform.configure([route("/short/", "unsafe", "short", **LONG)])
        self.answers = []  # path, status or None, body
        self.ended = threading.Event()

    def runs_of(self, path):
        return sum(run["path"] == path for run in self.endpoint.seen)

    def call_on(self, connection, path, part_seconds):
        connection.putrequest("POST", path, skip_host=True)
        for name, value in {"Host": "shop.example", "X-Request-Id": next(ids), "X-Deadline-Ms": "4000",
                            "Content-Length": "10"}.items():
            connection.putheader(name, value)
        connection.endheaders()
        for _ in range(10):
            time.sleep(part_seconds)
            connection.send(b"x")
        reply = connection.getresponse()
        return reply.status, reply.read()

    def call_until_ended(self, address, number, part_seconds):
        host, port = address.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=20)
        made = 0
        while not self.ended.is_set():
            made += 1
            path = f"/short/{number}-{made}"
            try:
                status, body = self.call_on(connection, path, part_seconds)
            except (OSError, http.client.HTTPException):
                connection.close()
                status, body = None, b""
                time.sleep(0.05)
            self.answers.append((path, status, body))
        connection.close()

    def stop_under_load(self, gateway):
        threads = [threading.Thread(target=self.call_until_ended, args=(gateway.callers, number, part_seconds))
                   for number, part_seconds in enumerate([0] * KEPT_CALLERS + [0.02, 0.05, 0.1, 0.2, 0.3] * 4)]
        for thread in threads:
            thread.start()
        time.sleep(1)
        gateway.send(signal.SIGTERM)
        begin = time.monotonic()
        gateway.process.wait(timeout=GRACE_SECONDS)
        took = time.monotonic() - begin
        self.ended.set()
        for thread in threads:
            thread.join()
        counted = collections.Counter((status, self.runs_of(path)) for path, status, _ in self.answers)
        self.assertEqual(set(counted) - {(200, 1), (503, 0), (None, 0)}, set(), counted)
        self.assertGreater(counted[503, 0], 0)
        return took

    # Guards against a request whose head or body arrives through the end of admission, and is run without an answer.
    def test_requests_that_arrive_slowly_are_answered_or_not_run(self):
        gateway = self.start(grace=GRACE_SECONDS, announce=f"{ANNOUNCE_SECONDS}s")
        self.assertLess(self.stop_under_load(gateway), GRACE_SECONDS / 2)

    # The same with calls of 0.6 s, while the store can't be reached.
    def test_requests_at_a_host_that_stops_while_the_store_is_away(self):
        self.endpoint.behave = "slow"
        gateway = self.start(grace=GRACE_SECONDS, announce=f"{ANNOUNCE_SECONDS}s")
        self.platform.store.is_down = True
        self.stop_under_load(gateway)

    # Guards against a process that ends before a slow caller has taken its answer.
    def test_a_slow_caller_gets_its_whole_answer(self):
        whole = b"y" * WHOLE_BYTES
        self.endpoint.answer = lambda request, body: request.reply(200, whole, self.endpoint.note(request, body))
        gateway = self.start(grace=GRACE_SECONDS, announce=f"{ANNOUNCE_SECONDS}s")
        results = []

        def read_slowly():
            host, port = gateway.callers.split(":")
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
            caller.connect((host, int(port)))
            caller.sendall(b"POST /short/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 9000\r\n"
                           b"Content-Length: 0\r\n\r\n" % next(ids).encode())
            count = 0
            with contextlib.suppress(OSError):
                while count < len(whole) and (part := caller.recv(1 << 20)):
                    count += len(part)
                    time.sleep(READING_SECONDS * len(part) / len(whole))
            results.append(count)
            caller.close()

        threads = [threading.Thread(target=read_slowly) for _ in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(0.2)
        gateway.send(signal.SIGTERM)
        begin = time.monotonic()
        gateway.process.wait(timeout=GRACE_SECONDS)
        self.assertLess(time.monotonic() - begin, READING_SECONDS)
        for thread in threads:
            thread.join()
        self.assertTrue(all(count > len(whole) for count in results), results)


if __name__ == "__main__":
    unittest.main()
