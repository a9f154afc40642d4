"""Plain endpoints that are offered more calls than they serve, from several hosts at once."""

import collections
import functools
import threading
import time
import unittest

from gatewayprocess import send
from platformtest import PlatformTest
from standin import call_steadily
from userplatform import route

HOSTS = 3
SLOTS = 6
SERVE_SECONDS = 0.1  # so the endpoint serves 60 calls a second
CALLS_PER_SECOND = 40  # to each host
SETTLE_SECONDS = 2  # until the limit has come down to what the endpoint serves
LOAD_SECONDS = 3
TARGET_SECONDS = 0.5  # of the route
MOST_TURNED_AWAY = 0.1  # of the calls that reach the endpoint
LONGEST_REFUSAL_SECONDS = TARGET_SECONDS + 0.5  # the wait for a slot, the margin for its reply, and a busy machine


class EndpointSlotsTest(PlatformTest):
    def setUp(self):
        super().setUp()
        self.endpoint = self.platform.endpoint("booking")
        self.endpoint.places, self.endpoint.serve_seconds = threading.Semaphore(SLOTS), SERVE_SECONDS
        self.platform.configure([route("/look/", "safe", "booking", target_latency_ms=TARGET_SECONDS * 1000)])

    def start_hosts(self, is_on=True):
        return self.start_linked(HOSTS, more="[endpoints]\nshared_slots = yes\n" if is_on else "")

    @staticmethod
    def load(gateways, seconds):
        """Status, headers and seconds of each call."""
        def ask(gateway):
            begin = time.monotonic()
            status, headers, _ = send(gateway.callers, "GET", "/look/1")
            return status, headers, time.monotonic() - begin

        return call_steadily([functools.partial(ask, gateway) for gateway in gateways], CALLS_PER_SECOND, seconds)

    def check_refusals(self, answers):
        refused = [(headers, took) for status, headers, took in answers if status == 503]
        for headers, took in refused:
            self.assertGreater(float(headers["Retry-After"]), 0)
            self.assertLess(took, LONGEST_REFUSAL_SECONDS)
        return refused

    @staticmethod
    def is_limited_by(gateway):
        return any("event=endpoint_limited" in line and "limited=yes" in line for line in gateway.log().splitlines())

    # Guards against hosts that all keep sending to an endpoint that spends its time on turning calls away.
    def test_an_overloaded_endpoint_turns_few_calls_away(self):
        gateways = self.start_hosts()
        self.load(gateways, SETTLE_SECONDS)
        self.assertTrue(self.is_limited_by(gateways[0]))
        self.endpoint.turned_away.clear()
        ran = len(self.endpoint.seen)
        answers = self.load(gateways, LOAD_SECONDS)
        ran = len(self.endpoint.seen) - ran
        statuses = collections.Counter(status for status, _, _ in answers)
        self.assertEqual(set(statuses), {200, 503}, statuses)
        self.assertEqual(statuses[200], ran)
        self.assertLess(len(self.endpoint.turned_away), MOST_TURNED_AWAY * ran)
        self.assertGreater(ran, LOAD_SECONDS * SLOTS / SERVE_SECONDS / 2)
        self.check_refusals(answers)

    # Guards against calls that are lost, or wait beyond their time, when the host that grants the slots dies.
    def test_calls_that_wait_when_the_leader_dies_are_answered_or_refused(self):
        leader, *others = self.start_hosts()
        self.load([leader, *others], SETTLE_SECONDS)
        self.assertTrue(self.is_limited_by(leader))
        ran = len(self.endpoint.seen)
        killer = threading.Timer(1, leader.kill)
        killer.start()
        answers = self.load(others, LOAD_SECONDS)
        killer.join()
        statuses = collections.Counter(status for status, _, _ in answers)
        self.assertEqual(set(statuses) - {200, 503}, set(), statuses)
        self.assertEqual(statuses[200], len(self.endpoint.seen) - ran)
        self.check_refusals(answers)
        self.load(others, SETTLE_SECONDS)
        self.assertTrue(any(self.is_limited_by(other) for other in others))

    # Guards against an endpoint that shows its overload only by connections that it resets.
    def test_an_endpoint_that_resets_connections_is_limited(self):
        gateways = self.start_hosts()
        self.endpoint.behave, self.endpoint.places = "cut", None
        self.load(gateways, 0.5)
        self.assertFalse(self.is_limited_by(gateways[0]))  # its answers had begun
        self.endpoint.behave = "reset"
        self.load(gateways, 1)
        self.assertTrue(self.is_limited_by(gateways[0]))

    # Guards against a host that limits endpoints although its settings don't ask for it.
    def test_without_the_setting_nothing_is_limited(self):
        gateways = self.start_hosts(is_on=False)
        self.load(gateways, SETTLE_SECONDS)
        self.assertGreater(len(self.endpoint.turned_away), 0)
        for gateway in gateways:
            self.assertNotIn("event=endpoint_limited", gateway.log())
            self.assertIn('{of="endpoints_limited"} 0', send(gateway.ready, "GET", "/metrics")[2].decode())


if __name__ == "__main__":
    unittest.main()
