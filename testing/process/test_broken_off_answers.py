"""Answers with neither a length nor chunks, which end with their connection, and that are broken off."""

import http.client
import pathlib
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))

from gatewayprocess import SIZE, send  # noqa: E402  pylint: disable=wrong-import-position
from paths import Paths  # noqa: E402  pylint: disable=wrong-import-position
from platformtest import PlatformTest  # noqa: E402  pylint: disable=wrong-import-position
from smallfleet import SmallFleet  # noqa: E402  pylint: disable=wrong-import-position
from standin import call, wait_until  # noqa: E402  pylint: disable=wrong-import-position
from userplatform import EVENTS, UserPlatform, route  # noqa: E402  pylint: disable=wrong-import-position

ROUTES = [route("/book/", "unsafe", "booking"), route("/look/", "safe", "booking", max_attempts=2),
          route("/write/", "stream", "llm"), route("/resume/", "stream", "llm", max_attempts=2, resumable=True)]


class World(PlatformTest):
    def setUp(self):
        super().setUp()
        self.plain = [self.platform.endpoint("booking") for _ in range(2)]
        self.platform.endpoint("llm", "prefill")
        self.writers = [self.platform.endpoint("llm", "decode") for _ in range(2)]
        self.platform.configure(ROUTES)

    def start(self, name="g1", **options):
        paths = Paths(self.folder, name, self.platform.endpoints)
        self.addCleanup(paths.end)
        return super().start(name, paths=paths, **options)

    def all_write(self, behaviour, is_framed=False):
        for writer in self.writers:
            writer.behave, writer.is_framed = behaviour, is_framed

    def all_answer(self, behaviour):
        for endpoint in self.plain:
            endpoint.behave = behaviour

    def check_incomplete(self, gateway, path):
        with self.assertRaises((http.client.IncompleteRead, ConnectionError)):
            send(gateway.callers, "POST", path, b"prompt", **SIZE)


class BrokenOffAnswersTest(World):
    # Guards against a stream that stops inside an event and is passed on as complete.
    def test_a_stream_that_ends_inside_an_event_does_not_look_complete(self):
        gateway = self.start()
        for behaviour in ("half", "half_reset"):
            for is_framed in (False, True):
                with self.subTest(behaviour=behaviour, is_framed=is_framed):
                    self.all_write(behaviour, is_framed)
                    self.check_incomplete(gateway, "/write/1")

    # Guards against a stream without any event that is passed on as complete, although nothing but the end of the engine's
    # connection says so.
    def test_an_unframed_stream_without_events_does_not_look_complete(self):
        gateway = self.start()
        self.all_write("empty")
        self.check_incomplete(gateway, "/write/1")

    def test_a_complete_unframed_stream_is_passed_on(self):
        gateway = self.start()
        self.all_write("ok")
        status, _, body = send(gateway.callers, "POST", "/write/1", b"prompt", **SIZE)
        self.assertEqual((status, body.count(b"\n\n")), (200, EVENTS))

    # Guards against a resumable stream that ends where its first engine broke off, since the end of the connection was taken
    # for the end of the stream.
    def test_an_unframed_stream_goes_on_at_another_engine(self):
        for behaviour in ("half", "half_reset"):
            with self.subTest(behaviour):
                gateway = self.start(f"g-{behaviour}")
                self.all_write(behaviour)
                for writer in self.writers:
                    writer.on_half = lambda: [setattr(other, "behave", "ok") for other in self.writers]
                status, _, body = send(gateway.callers, "POST", "/resume/1", b"prompt", **SIZE)
                found = [line for line in body.split(b"\n") if line.startswith(b"id: ")]
                self.assertEqual((status, found), (200, [b"id: %d" % number for number in range(1, EVENTS + 1)]))

    # Guards against the part of a plain answer before a reset that is passed on as the whole answer.
    def test_a_plain_answer_that_is_reset_does_not_look_complete(self):
        gateway = self.start()
        self.all_answer("unframed_reset")
        self.assertEqual(send(gateway.callers, "POST", "/book/1", b"x")[0], 502)
        self.plain[0].behave = "ok"
        for _ in range(4):
            self.assertEqual(send(gateway.callers, "GET", "/look/1")[::2], (200, b"answer of i-0"))

    # Guards against the end of a host that carries a tunnel being taken for the end of the answer.
    def test_a_stream_through_a_host_that_is_killed_does_not_look_complete(self):
        self.check_killed_tunnel("/write/1", lambda: self.all_write("stall"))

    def test_a_plain_answer_through_a_host_that_is_killed_does_not_look_complete(self):
        self.check_killed_tunnel("/book/1", lambda: self.all_answer("unframed_stall"))

    def check_killed_tunnel(self, path, behave):
        cut, other = sorted(self.start_linked(2), key=lambda gateway: gateway.name)
        cut.paths.cut("refuse")
        wait_until(lambda: send(cut.callers, "GET", "/look/1")[0] == 200, "calls through the other host")
        behave()
        results = []

        def ask():
            try:
                results.append(send(cut.callers, "POST", path, b"prompt", **SIZE))
            except (http.client.IncompleteRead, ConnectionError) as error:
                results.append((0, {}, error))

        before = sum(len(endpoint.seen) for endpoint in self.plain + self.writers)
        caller = threading.Thread(target=ask)
        caller.start()
        wait_until(lambda: sum(len(endpoint.seen) for endpoint in self.plain + self.writers) > before, "the run")
        time.sleep(0.3)  # until the endpoint has written the first part of its answer
        other.send(signal.SIGKILL)
        caller.join()
        self.assertNotEqual(results[0][0], 200, results)


class BrokenOffAnswersOfOwnHostsTest(unittest.TestCase):
    # Guards against an entry that passes on the part of a plain answer before a reset as the whole answer.
    def test_a_plain_answer_that_is_reset_does_not_look_complete(self):
        with UserPlatform() as platform:
            fleet = SmallFleet()
            for name in fleet.apps:
                endpoint = platform.endpoint("cards")
                endpoint.behave = "unframed_reset"
                fleet.apps[name].address = endpoint.address
            with fleet:
                status, body = call("GET", fleet.entry, "/cards/1", headers={"X-Workspace": "w"})
                self.assertNotEqual(status, 200, body)
                for endpoint in platform.endpoints:
                    endpoint.behave = "unframed"
                self.assertEqual(call("GET", fleet.entry, "/cards/1", headers={"X-Workspace": "w"})[0], 200)


if __name__ == "__main__":
    unittest.main()
