"""Endpoints that send bytes without an end, in a head or in a body, until their caller closes."""

import concurrent.futures
import contextlib
import http.client
import socket
import time
import unittest

from gatewayprocess import SIZE, ids, send
from held import memory_kb
from platformtest import PlatformTest
from standin import wait_until
from userplatform import ENDLESS, ENDLESS_EVENTS, route

ROUTES = [route("/book/", "unsafe", "booking"), route("/look/", "safe", "booking", max_attempts=2),
          route("/write/", "stream", "llm"), route("/resume/", "stream", "llm", max_attempts=2, resumable=True)]
DEADLINE_MS = 2000
LATE_SECONDS = 1.0  # after the deadline of a call
CALLERS = 8
MOST_MEMORY_KB = 40_000  # more than before; replies take 8 MB at most together, and strings that grow up to three times as much


def peak_memory_kb(process):
    return memory_kb(process.pid, "VmHWM")


class BytesWithoutEndTest(PlatformTest):
    def setUp(self):
        super().setUp()
        self.plain = [self.platform.endpoint("booking") for _ in range(2)]
        self.readers = [self.platform.endpoint("llm", "prefill")]
        self.writers = [self.platform.endpoint("llm", "decode") for _ in range(2)]
        self.platform.configure(ROUTES)

    @staticmethod
    def ask(gateway, path):
        """The status, 0 where the answer breaks off, and the seconds that it took. What arrives is not kept."""
        begin = time.monotonic()
        status = 0
        with contextlib.suppress(OSError, http.client.HTTPException, ValueError):
            status = send(gateway.callers, "GET" if path.startswith("/look/") else "POST", path, b"x", keeps_body=False,
                          X_Deadline_Ms=DEADLINE_MS, **SIZE)[0]
        return status, time.monotonic() - begin

    def check(self, gateway, path, endpoints, kinds, served=False):
        """Each of `kinds` of requests at the endpoints is answered without an end, in each of the ways."""
        before = peak_memory_kb(gateway)
        for way in (*ENDLESS, *ENDLESS_EVENTS):
            for endpoint in endpoints:
                endpoint.endless = {kind: way for kind in kinds}
            with concurrent.futures.ThreadPoolExecutor(CALLERS) as callers:
                answers = list(callers.map(lambda _: self.ask(gateway, path), range(CALLERS)))
            for status, took in answers:
                self.assertLess(took, DEADLINE_MS / 1000 + LATE_SECONDS, way)
                self.assertIn(status, (200,) if served else (0, 502, 503, 504), way)
            self.assertLess(peak_memory_kb(gateway) - before, MOST_MEMORY_KB, way)
            for endpoint in endpoints:
                endpoint.endless = {}
            self.check_held(endpoints, way)
        wait_until(lambda: self.ask(gateway, path)[0] == 200, "sound answers")

    def check_held(self, endpoints, way):
        """No endpoint worked for an answer for longer than its call was due."""
        time.sleep(LATE_SECONDS)  # in which connections that have been closed are noticed
        for endpoint in endpoints:
            self.assertLess(max(endpoint.held_seconds, default=0), DEADLINE_MS / 1000 + LATE_SECONDS, way)

    # Each guards against a host whose memory or time an endpoint takes by sending without an end.
    def test_a_plain_call(self):
        self.check(self.start(), "/book/1", self.plain, ["plain"])

    def test_a_repeatable_call(self):
        self.check(self.start(), "/look/1", self.plain, ["plain"])

    def test_a_reservation(self):
        self.check(self.start(), "/write/1", self.writers, ["hold"])

    def test_a_prompt_that_is_read(self):
        self.check(self.start(), "/write/1", self.readers, ["prefill"], served=True)  # the decode engine reads it

    def test_a_generation(self):
        self.check(self.start(), "/write/1", self.writers, ["generate"])

    def test_a_stream_that_goes_on(self):
        self.check(self.start(), "/resume/1", self.writers, ["generate"])

    # Each guards against an engine that is held past the deadline since the caller takes little of what it sends, or nothing.
    def test_a_caller_that_reads_slowly(self):
        self.check_slow_caller(self.start(), pause=0.02)

    def test_a_caller_that_stops_reading(self):
        self.check_slow_caller(self.start(), pause=DEADLINE_MS / 1000 + 2 * LATE_SECONDS)

    def test_a_caller_that_stops_reading_through_another_host(self):
        gateway = self.start_cut(lambda gateway: self.ask(gateway, "/look/1")[0] == 200)[1]
        self.check_slow_caller(gateway, pause=DEADLINE_MS / 1000 + 2 * LATE_SECONDS)

    def check_slow_caller(self, gateway, pause):
        for way in ENDLESS_EVENTS:
            for writer in self.writers:
                writer.endless = {"generate": way}
            with concurrent.futures.ThreadPoolExecutor(CALLERS) as callers:
                list(callers.map(lambda _: self.read_slowly(gateway, pause), range(CALLERS)))
            asked = [writer for writer in self.writers if writer.held_seconds]
            self.assertTrue(asked, way)
            self.check_held(asked, way)

    @staticmethod
    def read_slowly(gateway, pause):
        """A generation whose caller takes some kilobytes after each pause, and leaves two seconds after its deadline."""
        host, port = gateway.callers.split(":")
        with socket.socket() as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            connection.connect((host, int(port)))
            headers = {"Host": "shop.example", "X-Request-Id": next(ids), "X-Deadline-Ms": DEADLINE_MS, "Content-Length": 1,
                       **{name.replace("_", "-"): value for name, value in SIZE.items()}}
            lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            connection.sendall(f"POST /write/1 HTTP/1.1\r\n{lines}\r\nx".encode())
            end = time.monotonic() + DEADLINE_MS / 1000 + 2 * LATE_SECONDS
            with contextlib.suppress(OSError):
                while time.monotonic() < end and connection.recv(16384):
                    time.sleep(pause)

    def test_through_another_host(self):
        other, cut = self.start_cut(lambda gateway: self.ask(gateway, "/look/1")[0] == 200)
        before = peak_memory_kb(other)
        self.check(cut, "/book/1", self.plain, ["plain"])
        self.check(cut, "/write/1", self.writers, ["generate"])
        self.assertLess(peak_memory_kb(other) - before, MOST_MEMORY_KB)


if __name__ == "__main__":
    unittest.main()
