"""Endpoints that name the requests a second that they take from all hosts together."""

import collections
import functools
import tempfile
import time
import unittest

from gatewayprocess import Gateway, send
from standin import call_steadily, wait_until
from userplatform import UserPlatform, route

HOSTS = 3
CALLS_PER_SECOND = 30  # to each host
LIMIT = 4.0
CONTACT_SECONDS = 3  # from the first answer with the limit until it holds
WINDOW_SECONDS = 4
LOAD_SECONDS = CONTACT_SECONDS + WINDOW_SECONDS + 1
ALLOWED = LIMIT * WINDOW_SECONDS * 1.5 + 5


def most_in_a_window(times):
    """The most events in any span of the window's length."""
    times = sorted(times)
    return max((sum(first <= other <= first + WINDOW_SECONDS for other in times) for first in times), default=0)


class LimitTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.platform = UserPlatform()
        self.addCleanup(self.platform.__exit__)
        self.endpoints = [self.platform.endpoint("booking") for _ in range(3)]
        self.platform.configure([route("/look/", "safe", "booking", max_attempts=2)])
        self.gateways = [Gateway(folder.name, f"g{number}", self.platform.address) for number in range(HOSTS)]
        for gateway in self.gateways:
            self.addCleanup(gateway.end)
            wait_until(gateway.is_ready, "a gateway to be ready")
        wait_until(lambda: any(gateway.leads() for gateway in self.gateways), "a leader")
        for gateway in self.gateways:
            wait_until(lambda: gateway.leads() or "event=leader_reached" in gateway.log(), "the links")

    def load(self, seconds, gateways=None):
        """Calls the hosts at a steady rate; status, headers and seconds that each call took."""
        def ask(gateway):
            begin = time.monotonic()
            status, headers, _ = send(gateway.callers, "GET", "/look/1")
            return status, headers, time.monotonic() - begin

        calls = [functools.partial(ask, gateway) for gateway in gateways or self.gateways]
        return call_steadily(calls, CALLS_PER_SECOND, seconds)

    # Guards against hosts that ignore the limit, or each send as much as it allows all of them.
    def test_hosts_together_keep_to_a_limit(self):
        limited = self.endpoints[:2]
        for endpoint in limited:
            endpoint.limit = LIMIT
        begin = time.time()
        answers = self.load(LOAD_SECONDS)
        for endpoint in limited:
            since = begin + CONTACT_SECONDS
            arrivals = [run["at"] for run in endpoint.seen if run["at"] >= since]
            self.assertLessEqual(most_in_a_window(arrivals), ALLOWED)
            self.assertGreater(len(arrivals), 0)
        statuses = collections.Counter(status for status, _, _ in answers)
        self.assertEqual(set(statuses), {200}, statuses)  # the third endpoint takes the rest

    # Guards against hosts that lose the limit, or each use all of it, when the host that gives the permits dies.
    def test_a_limit_holds_when_the_leader_dies(self):
        for endpoint in self.endpoints[:2]:
            endpoint.limit = LIMIT
        begin = time.time()
        leader = next(gateway for gateway in self.gateways if gateway.leads())
        others = [gateway for gateway in self.gateways if gateway is not leader]
        self.load(CONTACT_SECONDS)
        leader.kill()
        answers = self.load(WINDOW_SECONDS + 2, others)
        for endpoint in self.endpoints[:2]:
            arrivals = [run["at"] for run in endpoint.seen if run["at"] >= begin + CONTACT_SECONDS]
            self.assertLessEqual(most_in_a_window(arrivals), ALLOWED)
        statuses = collections.Counter(status for status, _, _ in answers)
        self.assertEqual(set(statuses), {200}, statuses)

    # Guards against calls that wait in vain, or are lost, where every endpoint names a limit.
    def test_calls_beyond_all_limits_are_refused_at_once(self):
        for endpoint in self.endpoints:
            endpoint.limit = LIMIT
        self.load(1)
        ran = sum(len(endpoint.seen) for endpoint in self.endpoints)
        answers = self.load(WINDOW_SECONDS)
        refused = [(headers, took) for status, headers, took in answers if status == 503]
        self.assertGreater(len(refused), len(answers) / 2)
        for headers, took in refused:
            self.assertGreater(float(headers["Retry-After"]), 0)
            self.assertLess(took, 1)  # a quarter of the route's timeout
        ran = sum(len(endpoint.seen) for endpoint in self.endpoints) - ran
        self.assertEqual(ran, sum(status == 200 for status, _, _ in answers))

    # Guards against a limit that outlives the answers that name it.
    def test_a_limit_ends_when_answers_no_longer_name_it(self):
        for endpoint in self.endpoints:
            endpoint.limit = LIMIT
        self.load(1)
        for endpoint in self.endpoints:
            endpoint.limit = None
        time.sleep(1)
        self.load(1)
        statuses = collections.Counter(status for status, _, _ in self.load(2))
        self.assertEqual(set(statuses), {200}, statuses)


if __name__ == "__main__":
    unittest.main()
