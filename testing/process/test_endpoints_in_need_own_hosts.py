"""Plain endpoints behind entries of our own hosts that ask for rest, say that they leave, or send without an end."""

import threading
import time
import unittest

from smallfleet import SmallFleet
from standin import call, wait_until
from userplatform import ENDLESS, UserPlatform

REST_SECONDS = 2.0
SETTLED_SECONDS = 0.5
MOST_DURING_REST = 2  # requests
CALLS_PER_SECOND = 25
LONGEST_CALL_SECONDS = 12


class EndpointsInNeedOfOwnHostsTest(unittest.TestCase):
    def setUp(self):
        self.platform = UserPlatform()
        self.addCleanup(self.platform.__exit__)
        fleet = SmallFleet()
        for name in fleet.apps:
            fleet.apps[name].address = self.platform.endpoint("cards").address
        self.endpoint, *self.others = self.platform.endpoints
        self.fleet = fleet.__enter__()
        self.addCleanup(fleet.__exit__)

    def ask(self):
        return call("GET", self.fleet.entries[0].address, "/cards/1", None, {"X-Workspace": "w"}, timeout=30)[0]

    def load(self, seconds):
        callers = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            callers.append(threading.Thread(target=self.ask))
            callers[-1].start()
            time.sleep(1 / CALLS_PER_SECOND)
        for caller in callers:
            caller.join()

    # Guards against an entry that goes on sending to an endpoint that has asked it for rest.
    def test_an_endpoint_rests(self):
        for other in self.others:
            other.behave = "error"
        self.endpoint.rests, self.endpoint.rest_seconds = frozenset(["plain"]), REST_SECONDS
        self.load(SETTLED_SECONDS + REST_SECONDS)
        asked = self.endpoint.arrivals[0][0]
        during = [at for at, _ in self.endpoint.arrivals if asked + SETTLED_SECONDS < at < asked + REST_SECONDS]
        self.assertLessEqual(len(during), MOST_DURING_REST)

    # Guards against an entry that sends to an endpoint that has said in an answer that it leaves.
    def test_an_endpoint_that_leaves_gets_no_call(self):
        self.endpoint.states_leaving = True
        wait_until(lambda: self.ask() and self.endpoint.arrivals, "a call to it")
        time.sleep(SETTLED_SECONDS)
        before = len(self.endpoint.arrivals)
        self.load(1)
        self.assertEqual(len(self.endpoint.arrivals), before)

    # Guards against an entry whose callers wait for an answer without an end, or take it for one.
    def test_bytes_without_an_end_end_the_call(self):
        for way in ENDLESS:
            for endpoint in self.platform.endpoints:
                endpoint.endless = {"plain": way}
            begin = time.monotonic()
            self.assertIn(self.ask(), (500, 502, 503, 504), way)
            self.assertLess(time.monotonic() - begin, LONGEST_CALL_SECONDS, way)
        for endpoint in self.platform.endpoints:
            endpoint.endless = {}
        wait_until(lambda: self.ask() == 200, "sound answers")


if __name__ == "__main__":
    unittest.main()
