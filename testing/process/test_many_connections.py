"""Most new connections of a data centre, or of all, come to one host for some seconds, while callers open more of them."""

import http.client
import pathlib
import random
import sys
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))

from gatewayprocess import SIZE, send  # noqa: E402  pylint: disable=wrong-import-position
from paths import Paths  # noqa: E402  pylint: disable=wrong-import-position
from platformtest import PlatformTest  # noqa: E402  pylint: disable=wrong-import-position
from standin import wait_until  # noqa: E402  pylint: disable=wrong-import-position
from userplatform import route  # noqa: E402  pylint: disable=wrong-import-position

ROUTES = [route("/book/", "unsafe", "booking"), route("/look/", "safe", "booking", max_attempts=2),
          route("/write/", "stream", "llm")]
SHARE_OF_ONE = 0.85
SPREAD_SECONDS, SKEWED_SECONDS = 3, 5
CONTACT_SECONDS = 2  # within which a host adapts to a link that is full
CALLS_PER_SECOND = {"spread": 60, "skewed": 120}  # each on a new connection
LEAST_SHARE_KEPT = 0.75  # of the requests that were served at the first attempt before
LINK_BYTES_PER_SECOND = 12_000  # more than a third of the load takes, and less than most of it
DEADLINE_MS = 1000


class ManyConnectionsTest(PlatformTest):
    def setUp(self):
        super().setUp()
        for _ in range(3):
            self.platform.endpoint("booking")
        for stage in ("prefill", "prefill", "decode", "decode", "decode", "decode"):
            self.platform.endpoint("llm", stage)
        self.platform.configure(ROUTES)

    def load(self, phase, seconds, choose, others=(), counted_after=0.0):
        """The statuses of first attempts that a host has read, each on a connection of its own.

        Callers come at a steady rate. One whose connection is refused, or closed before anything came back, tries one of the
        others, which then counts.
        """
        statuses = []

        def attempt(host, path):
            headers = {**SIZE, "X_Deadline_Ms": DEADLINE_MS}
            return send(host.callers, "GET" if path == "/look/1" else "POST", path, b"x", **headers)[0]

        def call(host, path, other, is_counted):
            try:
                status = attempt(host, path)
            except (ConnectionError, http.client.RemoteDisconnected) as failed:
                if other is None and isinstance(failed, ConnectionRefusedError):
                    return
                try:
                    status = attempt(other, path) if other else 0
                except (OSError, http.client.HTTPException):
                    status = 0
            except (OSError, http.client.HTTPException):
                status = 0
            if is_counted:
                statuses.append(status)

        callers = []
        chance = random.Random(phase)
        begin = time.monotonic()
        while (now := time.monotonic() - begin) < seconds:
            path = chance.choice(("/book/1", "/look/1", "/write/1"))
            arguments = (choose(chance), path, chance.choice(others) if others else None, now >= counted_after)
            callers.append(threading.Thread(target=call, args=arguments))
            callers[-1].start()
            time.sleep(1 / CALLS_PER_SECOND[phase])
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

    # Guards against a host that reads more requests than its link carries, so that none of them is answered in time.
    def test_requests_are_served_while_most_connections_come_to_a_host_with_a_slow_link(self):
        paths = Paths(self.folder, "slow", self.platform.endpoints)
        self.addCleanup(paths.end)
        others = self.start_linked(2)
        slow = self.start("slow", paths=paths, process=f"link_mbps = {LINK_BYTES_PER_SECOND * 8 / 1e6}\n")
        wait_until(lambda: "event=leader_reached" in slow.log(), "the links")
        paths.limit(LINK_BYTES_PER_SECOND)
        before = self.load("spread", SPREAD_SECONDS, lambda chance: chance.choice([slow, *others]), others)
        after = self.load("skewed", CONTACT_SECONDS + SKEWED_SECONDS,
                          lambda chance: slow if chance.random() < SHARE_OF_ONE else chance.choice(others), others, CONTACT_SECONDS)
        served_before, served_after = (found.count(200) / len(found) for found in (before, after))
        self.assertGreater(served_before, 0.9)
        self.assertGreaterEqual(served_after, LEAST_SHARE_KEPT * served_before, (len(before), len(after)))


if __name__ == "__main__":
    unittest.main()
