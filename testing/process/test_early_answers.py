"""Endpoints that answer an upload before they have read it, without a length, and reset the connection amid it."""

import http.client
import itertools
import unittest

from gatewayprocess import SIZE, send
from platformtest import PlatformTest
from smallfleet import SmallFleet
from standin import call
from userplatform import EARLY_PART, LONG_UPLOAD, UserPlatform, route

ROUTES = [route("/book/", "unsafe", "booking"), route("/put/", "safe", "booking", max_attempts=2),
          route("/look/", "safe", "booking"),
          route("/write/", "stream", "llm"), route("/resume/", "stream", "llm", max_attempts=2, resumable=True)]
UPLOAD = b"x" * (4 * LONG_UPLOAD)
SHARES = (0, 0.5, 0.999999)  # of the upload, that are read
SECONDS = (0, 0.05, 0.3)  # from the answer to the reset
# A tunnel reads and writes at the same time: the reset comes amid both, and all orders of the two come up.
TUNNEL_SHARES = (0, 0.1, 0.5)
TUNNEL_SECONDS = (0, 0.001, 0.002, 0.003)
TUNNEL_ROUNDS = 15


class EarlyAnswersTest(PlatformTest):
    def setUp(self):
        super().setUp()
        self.plain = [self.platform.endpoint("booking") for _ in range(2)]
        self.platform.endpoint("llm", "prefill")
        self.writers = [self.platform.endpoint("llm", "decode") for _ in range(2)]
        self.platform.configure(ROUTES, limits={"max_body_bytes": len(UPLOAD)})

    def check(self, gateway, path, endpoints, forms=tuple(itertools.product(SHARES, SECONDS))):
        for share, seconds in forms:
            with self.subTest(path=path, share=share, seconds=seconds):
                for endpoint in endpoints:
                    endpoint.early = (share, seconds)
                before = sum(len(endpoint.asked) for endpoint in endpoints)
                try:
                    status, _, body = send(gateway.callers, "POST", path, UPLOAD, **SIZE)
                except (http.client.HTTPException, ConnectionError):
                    status, body = 0, b""
                self.assertNotEqual(status, 200, body)
                self.assertGreater(sum(len(endpoint.asked) for endpoint in endpoints), before)
        for endpoint in endpoints:
            endpoint.early = None

    # Each guards against a caller that gets a part of an answer, up to a reset, as all of it.
    def test_plain_answers(self):
        gateway = self.start()
        self.check(gateway, "/book/1", self.plain)
        self.check(gateway, "/put/1", self.plain)

    def test_generations(self):
        self.check(self.start(), "/write/1", self.writers)

    def test_generations_that_go_on_elsewhere(self):
        self.check(self.start(), "/resume/1", self.writers)

    def test_through_a_tunnel(self):
        _, cut = self.start_cut(lambda gateway: send(gateway.callers, "GET", "/look/1")[0] == 200)
        forms = tuple(itertools.product(TUNNEL_SHARES, TUNNEL_SECONDS)) * TUNNEL_ROUNDS
        self.check(cut, "/book/1", self.plain, forms)
        self.check(cut, "/write/1", self.writers, forms)


class EarlyAnswersOfOwnHostsTest(unittest.TestCase):
    # Guards against an entry that passes on the part before the reset as the whole answer.
    def test_plain_answers(self):
        with UserPlatform() as platform:
            fleet = SmallFleet()
            for name in fleet.apps:
                fleet.apps[name].address = platform.endpoint("bookings").address
            with fleet:
                for number, early in enumerate(itertools.product(SHARES, SECONDS)):
                    for endpoint in platform.endpoints:
                        endpoint.early, endpoint.behave = early, "error"  # what asks for the result gets an error
                    headers = {"X-Workspace": "w", "Idempotency-Key": f"key-{number}"}
                    status, body = call("POST", fleet.entry, "/bookings", UPLOAD, headers)
                    self.assertNotEqual(status, 200, (early, body))
                    self.assertNotIn(EARLY_PART.decode(), str(body), early)
                self.assertTrue(any(endpoint.asked for endpoint in platform.endpoints))


if __name__ == "__main__":
    unittest.main()
