"""The platform's store, or what is at its address, sends bytes without an end."""

import time
import unittest

from endlessplatform import call_once
from gatewayprocess import Gateway
from platformtest import PlatformTest
from standin import wait_until
from test_bytes_without_end import peak_memory_kb
from userplatform import ENDLESS, ENDLESS_ROWS, route

ROUTES = [route("/book/", "unsafe", "booking"), route("/write/", "stream", "llm")]
WAYS = (*ENDLESS, *ENDLESS_ROWS, "pages")
WAY_SECONDS = 1.0
CALL_DEADLINE_MS = 4000
MOST_MEMORY_KB = 90_000  # of 110 MB that a host has


class StoreWithoutEndTest(PlatformTest):
    def setUp(self):
        super().setUp()
        self.platform.endpoint("booking")
        self.platform.endpoint("llm", "prefill")
        self.platform.endpoint("llm", "decode")
        self.platform.configure(ROUTES)

    def check_memory(self, gateway, way):
        self.assertTrue(gateway.is_running(), way)
        self.assertLess(peak_memory_kb(gateway), MOST_MEMORY_KB, way)

    @staticmethod
    def is_served(gateway, path):
        return call_once(gateway.callers, path, CALL_DEADLINE_MS)[0] == 200

    # Each guards against a host whose memory ends as it reads a store that sends without an end.
    def test_a_store_that_a_host_follows(self):
        gateway = self.start()
        wait_until(lambda: self.is_served(gateway, "/write/1"), "sound answers")
        for way in WAYS:
            self.platform.server.endless = way
            self.platform.server.silence_open_connections()
            end = time.monotonic() + WAY_SECONDS
            while time.monotonic() < end:
                for path in ("/book/1", "/write/1"):
                    self.assertTrue(self.is_served(gateway, path), way)
            self.platform.server.endless = None
            self.check_memory(gateway, way)
        self.platform.configure([*ROUTES, route("/new/", "unsafe", "booking")])
        wait_until(lambda: self.is_served(gateway, "/new/1"), "the new configuration")

    def test_a_host_that_starts(self):
        for way in WAYS:
            self.platform.server.endless = way
            gateway = Gateway(self.folder, way.replace(" ", "-"), self.platform.address)
            self.addCleanup(gateway.end)
            time.sleep(WAY_SECONDS)
            self.platform.server.endless = None
            self.check_memory(gateway, way)
            wait_until(lambda: self.is_served(gateway, "/book/1"), way)
            gateway.kill()


if __name__ == "__main__":
    unittest.main()
