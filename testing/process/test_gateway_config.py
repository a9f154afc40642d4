"""Large configurations: thousands of routes, slow links, many hosts, and engines replaced meanwhile."""

import contextlib
import pathlib
import sys
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))

from gatewayprocess import Gateway, send  # noqa: E402  pylint: disable=wrong-import-position
from platformtest import PlatformTest  # noqa: E402  pylint: disable=wrong-import-position
from proxy import Proxy  # noqa: E402  pylint: disable=wrong-import-position
from standin import wait_until  # noqa: E402  pylint: disable=wrong-import-position
from userplatform import route  # noqa: E402  pylint: disable=wrong-import-position

ROUTES = 3000
HOSTS = 24
LONGEST_FOLLOW_SECONDS = 2  # a read that waited for a change when the leader took over has ended by then
LEADER_BYTES_PER_SECOND = 100_000  # its read takes some eight seconds
SLOW_BYTES_PER_SECOND = 250_000  # the whole row takes several times the limit for a short reply


def routes(count):
    return [route(f"/r{number}/", "safe", "booking", max_attempts=2) for number in range(count)]


class LargeConfigurationTest(PlatformTest):
    def setUp(self):
        super().setUp()
        self.endpoints = [self.platform.endpoint("booking") for _ in range(3)]
        self.platform.configure(routes(10))

    def start(self, name, store):  # pylint: disable=arguments-differ
        """Not ready yet: hosts of these tests start together."""
        gateway = Gateway(self.folder, name, store)
        self.addCleanup(gateway.end)
        return gateway

    def slow_store(self, bytes_per_second=SLOW_BYTES_PER_SECOND):
        proxy = Proxy(self.platform.address)
        proxy.bytes_per_second = bytes_per_second
        self.addCleanup(proxy.end)
        return proxy.address

    def is_served(self, gateway, number):
        return send(gateway.callers, "GET", f"/r{number}/x")[0] == 200

    # Guards against a host behind a slow link that never has a large configuration.
    def test_a_large_configuration_reaches_a_host_behind_a_slow_link(self):
        fast, slow = self.start("fast", self.platform.address), self.start("slow", self.slow_store())
        for gateway in (fast, slow):
            wait_until(gateway.is_ready, "a gateway to be ready")
        self.platform.configure(routes(ROUTES))
        for gateway in (fast, slow):
            wait_until(lambda: self.is_served(gateway, ROUTES - 1), "the last route to be served")

    # Guards against a host that is never ready again, since it starts with a large configuration to read.
    def test_a_host_behind_a_slow_link_starts_with_a_large_configuration(self):
        self.platform.configure(routes(ROUTES))
        gateway = self.start("slow", self.slow_store())
        wait_until(gateway.is_ready, "the gateway to be ready")
        gateway.start_again()
        wait_until(gateway.is_ready, "the gateway to be ready again")
        self.assertTrue(self.is_served(gateway, ROUTES - 1))

    # Guards against a small change of a large configuration that every host reads whole from the store.
    def test_a_small_change_reaches_followers_without_a_read_of_the_store(self):
        self.platform.configure(routes(ROUTES))
        gateways = [self.start(f"g{number}", self.platform.address) for number in range(4)]
        wait_until(lambda: any(gateway.leads() for gateway in gateways), "a leader")
        followers = [gateway for gateway in gateways if not gateway.leads()]
        for gateway in followers:
            wait_until(lambda: "table=op relayed=yes" in gateway.log(), "the relay")
        time.sleep(LONGEST_FOLLOW_SECONDS)
        sent = self.platform.configs_sent
        version = self.platform.configure(routes(ROUTES + 1))
        for gateway in followers:
            wait_until(lambda: f"config_in_force version={version} " in gateway.log(), "the change to be in force")
            self.assertIn("event=config_changed ", gateway.log())
            self.assertTrue(self.is_served(gateway, ROUTES))
        self.assertEqual(self.platform.configs_sent - sent, 1)

    # Guards against a leader with a slow link that keeps a configuration from all others while it reads it.
    def test_followers_do_not_wait_for_a_leader_that_reads_slowly(self):
        leader = self.start("leader", self.slow_store(LEADER_BYTES_PER_SECOND))
        wait_until(leader.leads, "the slow host to lead")
        followers = [self.start(f"g{number}", self.platform.address) for number in range(3)]
        for gateway in followers:
            wait_until(lambda: "table=op relayed=yes" in gateway.log(), "the relay")
        time.sleep(LONGEST_FOLLOW_SECONDS)
        version = self.platform.configure(routes(ROUTES))
        for gateway in followers:
            wait_until(lambda: f"config_in_force version={version} " in gateway.log(), "the change on a follower")
        self.assertNotIn(f"config_in_force version={version} ", leader.log())
        wait_until(lambda: f"config_in_force version={version} " in leader.log(), "the change on the leader")
        small = self.platform.configure(routes(ROUTES + 1))
        for gateway in followers + [leader]:
            wait_until(lambda: f"config_in_force version={small} " in gateway.log(), "the next change")

    # Guards against hosts that keep an old configuration, or fall back to it, while it grows and engines are replaced.
    def test_many_hosts_follow_a_growing_configuration_during_a_rollout(self):
        gateways = [self.start(f"g{number}", self.slow_store() if number % 3 else self.platform.address)
                    for number in range(HOSTS)]
        for gateway in gateways:
            wait_until(gateway.is_ready, "a gateway to be ready")
        with self.rollout():
            for count in (ROUTES // 2, ROUTES // 2 + 1, ROUTES, ROUTES + 1):
                self.platform.configure(routes(count))
                time.sleep(1)
            for gateway in gateways:
                wait_until(lambda: self.is_served(gateway, ROUTES), f"the newest route on {gateway.name}")
        for gateway in gateways:
            versions = [int(line.split(" version=")[1].split()[0]) for line in gateway.log().splitlines()
                        if "event=config_in_force" in line]
            self.assertEqual(versions, sorted(versions), gateway.name)

    @contextlib.contextmanager
    def rollout(self):
        ended = threading.Event()

        def replace():
            while not ended.wait(0.3):
                made = self.platform.endpoint("booking")
                self.platform.register(self.endpoints[0], state="draining")
                self.platform.remove(self.endpoints.pop(0))
                self.endpoints.append(made)

        replacing = threading.Thread(target=replace)
        replacing.start()
        try:
            yield
        finally:
            ended.set()
            replacing.join()


if __name__ == "__main__":
    unittest.main()
