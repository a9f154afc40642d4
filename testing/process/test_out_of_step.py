"""Engines of a new software version join while one host is out of step with the others. Streams that have begun on them
through other hosts are taken up at that host, and go on only at the version that began them."""

import dataclasses
import pathlib
import re
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))

# pylint: disable=wrong-import-position
from paths import Paths  # noqa: E402
from proxy import Proxy  # noqa: E402
from standin import wait_until  # noqa: E402
from test_mixed_versions import GOES_ON_SHARE, NOTICE_SECONDS, World  # noqa: E402

STREAMS = 6
HOSTS = 3
LINK_SILENCE_SECONDS = 2  # after which a host has noticed that it is cut off from the others, and reads the store itself


@dataclasses.dataclass
class Link:
    """Another host's port for links, as an endpoint of Paths."""

    address: str


class OutOfStepTest(World):
    versions = ("v1", "v1")

    def start_hosts(self):
        """The leader, its deputy and a follower, each with a path of its own to the store and to the others."""
        self.proxies, self.links = {}, {}
        gateways = []
        for number in range(HOSTS):
            name = f"g{number}"
            store = Proxy(self.platform.address)
            self.addCleanup(store.end)
            paths = Paths(self.folder, name, self.platform.endpoints + [Link(other.peers) for other in gateways])
            self.addCleanup(paths.end)
            gateways.append(self.start(name, store=store.address, first_start=True, paths=paths))
            wait_until(gateways[0].leads, "a leader")
            self.proxies[name], self.links[name] = store, [Link(other.peers) for other in gateways[:-1]]
        for other in gateways[1:]:
            wait_until(lambda: "event=leader_reached" in other.log(), "the links")
        deputy = wait_until(lambda: re.findall(r"event=deputy_named address=(\S+)", gateways[0].log()), "a deputy")[-1]
        return [gateways[0], *sorted(gateways[1:], key=lambda gateway: gateway.peers != deputy)]

    def join_new_version(self, gateways):
        """Engines of v2 join, and new streams begin only there."""
        for writer in self.writers:
            writer.behave = "full"
        for _ in range(2):
            self.writers.append(self.platform.endpoint("llm", "decode", "v2"))
            self.writers[-1].behave = "half_first"
        for gateway in gateways:
            wait_until(lambda: f"event=endpoint_changed endpoint={self.writers[-1].name}" in gateway.log(), "the new engines")

    def take_up_all(self, gateway, begun):
        """At the same time. No stream goes on at another version."""
        for writer in self.writers:
            writer.behave = "ok"
        results = [None] * len(begun)

        def take_up(number):
            results[number] = self.take_up(gateway, *begun[number])

        callers = [threading.Thread(target=take_up, args=(number,)) for number in range(len(begun))]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        self.assertEqual([versions for _, versions in results if len(set(versions)) > 1], [])
        return results

    def check_goes_on(self, gateway, begun):
        results = self.take_up_all(gateway, begun)
        gone_on = sum(status == 200 for status, _ in results)
        self.assertGreaterEqual(gone_on, GOES_ON_SHARE * len(results), results)

    def check_frozen(self, role):
        gateways = self.start_hosts()
        frozen = gateways[role]
        others = [gateway for gateway in gateways if gateway is not frozen]
        frozen.send(signal.SIGSTOP)
        self.addCleanup(frozen.send, signal.SIGCONT)
        self.proxies[frozen.name].mode = "silent"
        if role == 0:
            wait_until(lambda: any(other.leads() for other in others), "another leader")
        self.join_new_version(others)
        begun = [self.begin(others[number % 2]) for number in range(STREAMS)]
        frozen.send(signal.SIGCONT)
        self.take_up_all(frozen, begun)
        self.proxies[frozen.name].mode = "pass"
        self.proxies[frozen.name].reset()
        wait_until(lambda: f"event=endpoint_changed endpoint={self.writers[-1].name}" in frozen.log(), "the new engines")
        time.sleep(LINK_SILENCE_SECONDS)
        self.check_goes_on(frozen, begun)

    # Each guards against a host that stood still while a version joined, does not know it, and takes the only version that it
    # knows for that of each stream.
    def test_a_leader_that_stood_still(self):
        self.check_frozen(0)

    def test_a_deputy_that_stood_still(self):
        self.check_frozen(1)

    def test_a_follower_that_stood_still(self):
        self.check_frozen(2)

    # Guards against a host that was cut off from the others, and decides alone before it has read what they know.
    def test_a_host_that_is_cut_off_from_the_others(self):
        gateways = self.start_hosts()
        cut = next(gateway for gateway in gateways[1:] if len(self.links[gateway.name]) == HOSTS - 1)
        self.proxies[cut.name].mode = "delay"
        cut.paths.cut("hang", self.links[cut.name])
        self.join_new_version([gateway for gateway in gateways if gateway is not cut])
        begun = [self.begin(gateways[0]) for _ in range(STREAMS)]
        self.take_up_all(cut, begun)
        time.sleep(LINK_SILENCE_SECONDS)
        self.check_goes_on(gateways[0], begun)

    # Guards against streams that are refused since the host that stands in for the leader does not know them: they began
    # while there was one version, and nobody told it when another one joined.
    def test_streams_from_before_the_leader_was_lost_and_a_version_joined(self):
        leader, deputy, follower = self.start_hosts()
        for writer in self.writers:
            writer.behave = "half_first"
        begun = [self.begin(follower) for _ in range(STREAMS)]
        leader.kill()
        wait_until(lambda: deputy.leads() and follower.log().count("event=leader_reached") == 2, "the next leader")
        self.join_new_version([deputy, follower])
        time.sleep(NOTICE_SECONDS)
        self.check_goes_on(deputy, begun)


if __name__ == "__main__":
    unittest.main()
