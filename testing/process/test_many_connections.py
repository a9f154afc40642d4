"""Most new connections of a data centre, or of all, come to one host for some seconds, while callers open more of them."""

import http.client
import random
import threading
import time
import unittest

from gatewayprocess import SIZE, send
from platformtest import PlatformTest
from userplatform import route

ROUTES = [route("/book/", "unsafe", "booking"), route("/look/", "safe", "booking", max_attempts=2),
          route("/write/", "stream", "llm")]
SHARE_OF_ONE = 0.85
SPREAD_SECONDS, SKEWED_SECONDS = 3, 5
PAUSE_SECONDS = {"spread": 0.04, "skewed": 0.02}  # of a caller, between two connections
CALLERS = 16
LEAST_SHARE_KEPT = 0.75  # of the requests that were served at the first attempt before


class ManyConnectionsTest(PlatformTest):
    def setUp(self):
        super().setUp()
        for _ in range(3):
            self.platform.endpoint("booking")
        for stage in ("prefill", "prefill", "decode", "decode", "decode", "decode"):
            self.platform.endpoint("llm", stage)
        self.platform.configure(ROUTES)

    def load(self, phase, seconds, choose):
        """The statuses of first attempts that a host has read, each on a connection of its own."""
        statuses = []
        end = time.monotonic() + seconds

        def call(number):
            chance = random.Random(f"{phase}-{number}")
            while time.monotonic() < end:
                path = chance.choice(("/book/1", "/look/1", "/write/1"))
                try:
                    statuses.append(send(choose(chance).callers, "GET" if path == "/look/1" else "POST", path, b"x", **SIZE)[0])
                except ConnectionRefusedError:
                    continue
                except (OSError, http.client.HTTPException):
                    statuses.append(0)
                time.sleep(PAUSE_SECONDS[phase])

        callers = [threading.Thread(target=call, args=(number,)) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        return statuses

    # Each guards against a host that serves fewer of its callers once it gets most of the new connections.
    def test_requests_are_served_while_most_connections_come_to_the_leader(self):
        leader, *others = self.start_linked(3)
        self.check_served(leader, others)

    def test_requests_are_served_while_most_connections_come_to_a_follower(self):
        leader, one, other = self.start_linked(3)
        self.check_served(one, [leader, other])

    def check_served(self, one, others):
        before = self.load("spread", SPREAD_SECONDS, lambda chance: chance.choice([one, *others]))
        after = self.load("skewed", SKEWED_SECONDS,
                          lambda chance: one if chance.random() < SHARE_OF_ONE else chance.choice(others))
        served_before, served_after = (found.count(200) / len(found) for found in (before, after))
        self.assertGreater(len(after), 1.2 * len(before))
        self.assertGreaterEqual(served_after, LEAST_SHARE_KEPT * served_before, (served_before, len(after)))


if __name__ == "__main__":
    unittest.main()
