"""Callers that take less than engines send, by themselves or behind a slow link.

    link = SlowLink(gateway.callers, bytes_a_second=2_000_000)
    callers = SlowCallers(link.address, "/write/1", size=1 << 14, pause=0.02)
    for status, took, is_whole in callers.answers(): ...

Both run in processes of their own, so that the test's own work slows neither.
"""

import contextlib
import socket
import threading
import time
import unittest

from endlessplatform import CallsAtOnce, Child, call_once, request_text
from platformtest import PlatformTest
from standin import wait_until
from userplatform import ENDLESS_EVENTS, route

ROUTES = [route("/write/", "stream", "llm", timeout_ms=2000), route("/book/", "unsafe", "booking", timeout_ms=2000),
          route("/resume/", "stream", "llm", timeout_ms=2000, max_attempts=2, resumable=True)]
SLOTS = 64
LARGE_EVENTS, LARGE_EVENT_BYTES = 40, 16000  # a stream of 0.6 MB, which takes a slow caller some 0.8 s
DEADLINE_SECONDS = 2.0
LATE_SECONDS = 0.5  # after the deadline, within which a caller must have its end
CALLERS = 8
LINK_BYTES_A_SECOND = 2_000_000
MANY_TOKENS = {"X_Token_Count": "100,4000000"}  # any number of events is within the caller's limit


class SlowLink(Child):
    """A proxy that passes so many bytes a second on each connection to callers, and all that it has before an end."""

    def __init__(self, target, bytes_a_second):
        super().__init__(self.serve, target, bytes_a_second)
        self.address = self.pipe.recv()

    @staticmethod
    def serve(pipe, target, rate):
        listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        pipe.send(f"127.0.0.1:{listener.getsockname()[1]}")
        while True:
            caller = listener.accept()[0]
            host, port = target.split(":")
            gateway = socket.create_connection((host, int(port)))
            for source, sink, limit in ((caller, gateway, None), (gateway, caller, rate)):
                threading.Thread(target=SlowLink.copy, args=(source, sink, limit), daemon=True).start()

    @staticmethod
    def copy(source, sink, rate):
        with contextlib.suppress(OSError):
            while data := source.recv(1 << 16):
                sink.sendall(data)
                time.sleep(len(data) / rate if rate else 0)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)


class SlowCallers(CallsAtOnce):
    """Each reads `size` bytes, then pauses."""

    def __init__(self, address, path, size, pause, more=None):
        super().__init__(lambda request_id: self.read(address, request_text(path, request_id, 10_000, **(more or {})), size, pause),
                         CALLERS)

    @staticmethod
    def read(address, text, size, pause):
        """The status, the seconds until the connection ended, and whether the answer looked whole."""
        host, port = address.split(":")
        first, last, is_whole = b"", b"", False
        with socket.socket() as connection:
            connection.connect((host, int(port)))
            connection.settimeout(10)
            connection.sendall(text)
            begin = time.monotonic()
            with contextlib.suppress(OSError):
                while (data := connection.recv(size)) and time.monotonic() < begin + 10:
                    first = first or data
                    last = (last + data)[-16:]
                    time.sleep(pause)
                is_whole = last.endswith(b"\r\n0\r\n\r\n")
        return int(first[9:12] or 0), time.monotonic() - begin, is_whole


class SlowCallersTest(PlatformTest):
    def setUp(self):
        super().setUp()
        self.platform.endpoint("llm", "prefill")
        self.platform.endpoint("booking")

    def serve_endless(self):
        """Two engines in a process of their own. Returns what sets the way in which they answer."""
        names = ["e-1", "e-2"]
        engines = self.start_endless("llm", names, "decode", SLOTS)
        self.platform.configure(ROUTES, slots=SLOTS)
        return lambda way: engines.set([{"generate": way}] * len(names))

    @staticmethod
    def is_serving(gateway):
        return call_once(gateway.callers, "/book/1", 2000)[0] == 200

    def check(self, gateway, path, link=None, more=None):
        """All callers get the beginning of an answer, and its end in time."""
        wait_until(lambda: self.is_serving(gateway), "sound calls")
        address, size, pause = (link.address, 1 << 20, 0) if link else (gateway.callers, 1 << 14, 0.02)
        ends = SlowCallers(address, path, size, pause, more).answers()
        self.assertEqual([status for status, _, _ in ends], [200] * CALLERS)
        self.assertEqual([end for end in ends if end[1] > DEADLINE_SECONDS + LATE_SECONDS or end[2]], [])

    def check_each_way(self, path, bytes_a_second=None, more=None):
        set_way = self.serve_endless()
        for way in ENDLESS_EVENTS:
            gateway = self.start(f"g-{way}")  # a host sends little to engines that have failed
            link = SlowLink(gateway.callers, bytes_a_second) if bytes_a_second else None
            with self.subTest(way):
                set_way(way)
                self.check(gateway, path, link, more)
            if link:
                link.end()
            gateway.kill()

    # Each guards against a caller that has its end long after the deadline, or an end that looks whole, since bytes that an
    # engine sends without an end wait for it.
    def test_callers_that_read_slowly(self):
        self.check_each_way("/write/1")

    def test_callers_that_read_slowly_and_asked_for_much(self):
        self.check_each_way("/write/1", more=MANY_TOKENS)

    def test_callers_that_read_slowly_of_streams_that_go_on(self):
        self.check_each_way("/resume/1", more=MANY_TOKENS)

    def test_callers_behind_a_slow_link(self):
        self.check_each_way("/write/1", LINK_BYTES_A_SECOND)

    def test_callers_of_a_host_that_reaches_engines_through_another(self):
        engines = [self.platform.endpoint("llm", "decode") for _ in range(2)]
        self.platform.configure(ROUTES, slots=SLOTS)
        cut = self.start_cut(self.is_serving)[1]
        for engine in engines:
            engine.endless = {"generate": "rising"}
        self.check(cut, "/write/1", more=MANY_TOKENS)

    # Guards against a sound stream that is cut although its caller takes all of it before the deadline.
    def test_sound_streams_of_callers_that_read_slowly(self):
        engines = [self.platform.endpoint("llm", "decode") for _ in range(2)]
        self.platform.configure(ROUTES, slots=SLOTS)
        gateway = self.start()
        wait_until(lambda: self.is_serving(gateway), "sound calls")
        for is_framed in (True, False):
            for engine in engines:
                engine.is_framed, engine.pause_seconds = is_framed, 0.0
                engine.events, engine.signature = LARGE_EVENTS, "x" * LARGE_EVENT_BYTES
            with self.subTest(is_framed=is_framed):
                ends = SlowCallers(gateway.callers, "/write/1", 1 << 14, 0.02).answers()
                self.assertEqual([(status, is_whole) for status, _, is_whole in ends], [(200, True)] * CALLERS)


if __name__ == "__main__":
    unittest.main()
