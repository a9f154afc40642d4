"""Plain endpoints behind entries of our own hosts that ask for rest, say that they leave, or send without an end."""

import itertools
import time
import unittest

from smallfleet import SmallFleet
from standin import call, call_steadily, wait_until
from userplatform import ENDLESS, UserPlatform

REST_SECONDS = 2.0
SETTLED_SECONDS = 0.5
MOST_DURING_REST = 2  # requests
CALLS_PER_SECOND = 25
LONGEST_CALL_SECONDS = 12
LONGEST_REFUSAL_SECONDS = 0.5


class EndpointsInNeedOfOwnHostsTest(unittest.TestCase):
    def setUp(self):
        self.keys = itertools.count(1)
        self.platform = UserPlatform()
        self.addCleanup(self.platform.__exit__)
        fleet = SmallFleet()
        for name in fleet.apps:
            fleet.apps[name].address = self.platform.endpoint("cards").address
        self.endpoint, *self.others = self.platform.endpoints
        self.fleet = fleet.__enter__()
        self.addCleanup(fleet.__exit__)

    def ask(self, path="/cards/1"):
        headers = {"X-Workspace": "w"}
        if path.startswith("/bookings"):
            headers["Idempotency-Key"] = f"k{next(self.keys)}"
        method = "POST" if path.startswith("/bookings") else "GET"
        return call(method, self.fleet.entries[0].address, path, None, headers, timeout=30)

    def load(self, path, seconds):
        call_steadily([lambda: self.ask(path)], CALLS_PER_SECOND, seconds)

    def check_rests(self, path):
        self.endpoint.rests, self.endpoint.rest_seconds = frozenset(["plain"]), REST_SECONDS
        self.load(path, SETTLED_SECONDS + REST_SECONDS)
        asked = self.endpoint.arrivals[0][0]
        during = [at for at, _ in self.endpoint.arrivals if asked + SETTLED_SECONDS < at < asked + REST_SECONDS]
        self.assertLessEqual(len(during), MOST_DURING_REST)
        self.endpoint.rests = frozenset()
        wait_until(lambda: self.ask(path) and self.endpoint.arrivals[-1][0] > asked + REST_SECONDS, "calls after the rest")

    def check_leaves(self, path):
        self.endpoint.states_leaving = True
        wait_until(lambda: self.ask(path) and self.endpoint.arrivals, "a call to it")
        time.sleep(SETTLED_SECONDS)
        before = len(self.endpoint.arrivals)
        self.load(path, 1)
        self.assertEqual(len(self.endpoint.arrivals), before)

    # Each guards against an entry that goes on sending to an endpoint that has asked it for rest.
    def test_an_endpoint_rests(self):
        for other in self.others:
            other.behave = "error"
        self.check_rests("/cards/1")

    def test_an_endpoint_of_calls_that_run_once_rests(self):
        for other in self.others:
            other.behave = "error"
        self.check_rests("/bookings/1")

    # Each guards against an entry that sends to an endpoint that has said in an answer that it leaves.
    def test_an_endpoint_that_leaves_gets_no_call(self):
        self.check_leaves("/cards/1")

    def test_an_endpoint_that_leaves_gets_no_call_that_runs_once(self):
        self.check_leaves("/bookings/1")

    # Guards against callers who wait in vain, or are not told that nothing ran.
    def test_calls_are_refused_at_once_while_every_endpoint_rests(self):
        for endpoint in self.platform.endpoints:
            endpoint.rests, endpoint.rest_seconds = frozenset(["plain"]), REST_SECONDS
        wait_until(lambda: self.ask() and all(endpoint.arrivals for endpoint in self.platform.endpoints), "a call to each")
        for path in ("/cards/1", "/bookings/1"):
            with self.subTest(path=path):
                before = sum(len(endpoint.arrivals) for endpoint in self.platform.endpoints)
                begin = time.monotonic()
                status, body = self.ask(path)
                self.assertLess(time.monotonic() - begin, LONGEST_REFUSAL_SECONDS)
                self.assertEqual((status, body["error"]["run"]), (502, "not_run"))
                self.assertEqual(sum(len(endpoint.arrivals) for endpoint in self.platform.endpoints), before)

    # Guards against an entry whose callers wait for an answer without an end, or take it for one.
    def test_bytes_without_an_end_end_the_call(self):
        for way in ENDLESS:
            for endpoint in self.platform.endpoints:
                endpoint.endless = {"plain": way}
            begin = time.monotonic()
            self.assertIn(self.ask()[0], (500, 502, 503, 504), way)
            self.assertLess(time.monotonic() - begin, LONGEST_CALL_SECONDS, way)
        for endpoint in self.platform.endpoints:
            endpoint.endless = {}
        wait_until(lambda: self.ask()[0] == 200, "sound answers")


if __name__ == "__main__":
    unittest.main()
