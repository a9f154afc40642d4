"""What tests of gateways begin with: a folder, a stand-in of the users' platform, and gateways that are ready.

    class MyTest(PlatformTest):
        def setUp(self):
            super().setUp()
            self.platform.endpoint("booking") ... self.platform.configure(ROUTES)

        def test_something(self):
            gateway = self.start("g1")
            leader, other = self.start_linked(2)
            self.lose_all([leader, other])
        other, cut = self.start_cut(is_served)
"""

import json
import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))

# pylint: disable=wrong-import-position
from endlessplatform import EndlessEndpoints  # noqa: E402
from gatewayprocess import Gateway  # noqa: E402
from paths import Paths  # noqa: E402
from standin import wait_until  # noqa: E402
from userplatform import UserPlatform  # noqa: E402


class PlatformTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.platform = UserPlatform()
        self.addCleanup(self.platform.__exit__)

    def start(self, name="g1", store=None, **options):
        """A gateway that is ready, and that ends with the test. `store`: an address that leads to the platform's store."""
        gateway = Gateway(self.folder, name, store or self.platform.address, **options)
        self.addCleanup(gateway.end)
        wait_until(gateway.is_ready, "the gateway to be ready")
        return gateway

    def start_endless(self, service, names, stage, slots):
        """Endpoints in a process of their own, which ends with the test; the platform lists them as ready."""
        endpoints = EndlessEndpoints(names, stage)
        self.addCleanup(endpoints.end)
        self.platform.services.add((service, stage is not None))
        for name, address in zip(names, endpoints.addresses):
            row = {"service": service, "address": address, "zone": "a", "version": "v1", "slots": slots, "state": "ready",
                   "cold_remaining_ms": 0, "sequence": 1, "born": 1, **({"stage": stage} if stage else {})}
            self.platform.store.put("servers", name, json.dumps(row).encode())
        return endpoints

    def start_linked(self, count, **options):
        """The leader first; all others are linked to it."""
        gateways = [self.start(f"g{number}", **options) for number in range(1, count + 1)]
        wait_until(lambda: any(gateway.leads() for gateway in gateways), "a leader")
        gateways.sort(key=lambda gateway: not gateway.leads())
        for other in gateways[1:]:
            wait_until(lambda: "event=leader_reached" in other.log(), "the links")
        return gateways

    @staticmethod
    def lose_all(gateways):
        """All hosts lose power at once, and start again: one leads, and the others follow it."""
        for gateway in gateways:
            gateway.kill()
        for gateway in gateways:
            gateway.start_again()
        wait_until(lambda: any(gateway.leads() for gateway in gateways), "a leader")
        wait_until(lambda: sum("event=leader_reached" in gateway.log() for gateway in gateways) == len(gateways) - 1,
                   "the links")

    def start_cut(self, is_served):
        """A leader, and a host that reaches endpoints through it only, once `is_served` is true of that host."""
        paths = Paths(self.folder, "cut", self.platform.endpoints)
        self.addCleanup(paths.end)
        other = self.start("other")
        wait_until(other.leads, "a leader")
        cut = self.start("cut", paths=paths)
        wait_until(lambda: "event=leader_reached" in cut.log(), "the links")
        paths.cut("refuse")
        wait_until(lambda: is_served(cut), "calls through another host")
        return other, cut
