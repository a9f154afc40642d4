"""What tests of gateways begin with: a folder, a stand-in of the users' platform, and gateways that are ready.

    class MyTest(PlatformTest):
        def setUp(self):
            super().setUp()
            self.platform.endpoint("booking") ... self.platform.configure(ROUTES)

        def test_something(self):
            gateway = self.start("g1")
            leader, other = self.start_linked(2)
"""

import tempfile
import unittest

from gatewayprocess import Gateway
from standin import wait_until
from userplatform import UserPlatform


class PlatformTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.platform = UserPlatform()
        self.addCleanup(self.platform.__exit__)

    def start(self, name="g1", **options):
        """A gateway that is ready, and that ends with the test."""
        gateway = Gateway(self.folder, name, self.platform.address, **options)
        self.addCleanup(gateway.end)
        wait_until(gateway.is_ready, "the gateway to be ready")
        return gateway

    def start_linked(self, count):
        """The leader first; all others are linked to it."""
        gateways = [self.start(f"g{number}") for number in range(1, count + 1)]
        wait_until(lambda: any(gateway.leads() for gateway in gateways), "a leader")
        gateways.sort(key=lambda gateway: not gateway.leads())
        for other in gateways[1:]:
            wait_until(lambda: "event=leader_reached" in other.log(), "the links")
        return gateways
