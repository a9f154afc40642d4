"""How often a fleet calls the store, and that each host hears of changes all the same."""

import pathlib
import sys
import time
import unittest

from gatewayprocess import Gateway, send
from platformtest import PlatformTest
from standin import wait_until
from userplatform import route

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))

from proxy import Proxy  # noqa: E402  pylint: disable=wrong-import-position

HOSTS = 5
SECONDS = 3
# Of the leader: each table twice, and two renewals of a lease of 1.5 s.
CALLS_AT_REST_PER_SECOND = 6
# Of the leader four tries of the registry, two of the lease and one of the configuration, and of its readers two each
# half second, with a try of the configuration each.
CALLS_IN_AN_OUTAGE_PER_SECOND = 15
MARGIN = 10


class StoreCallsTest(PlatformTest):
    def setUp(self):
        super().setUp()
        self.one, self.two = self.platform.endpoint("booking"), self.platform.endpoint("booking")
        self.routes = [route("/look/", "safe", "booking", max_attempts=2)]
        self.platform.configure(self.routes)
        self.proxies = {}
        self.gateways = []
        for number in range(HOSTS):
            proxy = Proxy(self.platform.address)
            gateway = Gateway(self.folder, f"g{number}", proxy.address)
            self.proxies[gateway] = proxy
            self.gateways.append(gateway)
            self.addCleanup(gateway.end)
        wait_until(lambda: any(gateway.leads() for gateway in self.gateways), "a leader")
        self.leader = next(gateway for gateway in self.gateways if gateway.leads())
        self.others = [gateway for gateway in self.gateways if gateway is not self.leader]
        for gateway in self.others:
            wait_until(lambda: "table=servers relayed=yes" in gateway.log(), "the relay")
        time.sleep(2)  # the long polls from before the relay have ended

    def calls_in(self, seconds):
        before = len(self.platform.server.calls)
        time.sleep(seconds)
        return len(self.platform.server.calls) - before

    def refuse(self, gateway):
        self.proxies[gateway].mode = "refuse"
        self.proxies[gateway].reset()

    def assert_in_force(self, gateways):
        """A new route and an endpoint's leaving, on each of the hosts."""
        self.platform.configure(self.routes + [route("/new/", "safe", "booking")])
        self.platform.register(self.one, state="draining")
        for gateway in gateways:
            wait_until(lambda: send(gateway.callers, "GET", "/new/1")[0] == 200, "the change to be in force")
            wait_until(lambda: "leaving=yes" in gateway.log(), "the endpoint's leaving")

    # Guards against a read of the lease by each host of the fleet in the moment in which its leader is lost.
    def test_the_deputy_alone_reads_the_lease_of_a_lost_leader(self):
        def lease_reads(gateway):
            return gateway.log().count("event=store_called call=rows-get table=leases")

        before = {gateway: lease_reads(gateway) for gateway in self.others}
        self.leader.kill()
        wait_until(lambda: any(each.leads() for each in self.others), "another leader")
        deputy = next(gateway for gateway in self.others if "event=standing_in for_leader=yes" in gateway.log())
        for gateway in self.others:
            if gateway is not deputy:
                self.assertEqual(lease_reads(gateway), before[gateway])

    # Guards against a fleet that tries one deputy after the other, because none names a leader that it does not follow.
    def test_the_deputy_names_a_leader_that_does_not_follow_it(self):
        self.leader.kill()
        wait_until(lambda: any("event=standing_in for_leader=yes" in each.log() for each in self.others), "a deputy")
        deputy = next(each for each in self.others if "event=standing_in for_leader=yes" in each.log())
        self.refuse(deputy)
        stranger = Gateway(self.folder, "g9", self.platform.address)  # has read of the leader, but not of its deputy
        self.addCleanup(stranger.end)
        wait_until(stranger.leads, "the stranger to lead")
        self.proxies[deputy].mode = "pass"
        for gateway in self.others:
            wait_until(lambda: f"event=leader_reached address={stranger.peers}" in gateway.log(), "the new leader")
            if gateway is not deputy:
                self.assertNotIn("event=standing_in for_leader=yes", gateway.log())

    # Guards against calls that grow with the fleet.
    def test_one_host_calls_the_store_at_rest(self):
        self.assertLessEqual(self.calls_in(SECONDS), SECONDS * CALLS_AT_REST_PER_SECOND + MARGIN)
        self.assert_in_force(self.gateways)

    # Guards against a fleet that calls a store which is down, and against hosts that miss its return.
    def test_a_few_hosts_call_a_store_that_is_down(self):
        self.platform.store.is_down = True
        wait_until(lambda: all("event=store_outage begins=yes" in each.log() for each in self.gateways), "the outage")
        self.assertLessEqual(self.calls_in(SECONDS), SECONDS * CALLS_IN_AN_OUTAGE_PER_SECOND + MARGIN)
        for gateway in self.gateways:
            self.assertEqual(send(gateway.callers, "GET", "/look/1")[0], 200)
        self.platform.store.is_down = False
        back = time.monotonic()
        wait_until(lambda: all("event=store_outage begins=no" in each.log() for each in self.gateways), "the return")
        self.assertLess(time.monotonic() - back, 2)
        self.assert_in_force(self.gateways)

    # Guards against a fleet that reads the store itself, or misses changes, because the store refuses its leader alone.
    def test_changes_reach_a_fleet_whose_leader_is_refused(self):
        self.refuse(self.leader)
        wait_until(lambda: any("event=store_read_for_leader begins=yes" in each.log() for each in self.others), "a reader")
        self.assertLessEqual(self.calls_in(SECONDS), SECONDS * CALLS_AT_REST_PER_SECOND + MARGIN)
        self.assert_in_force(self.gateways)
        for gateway in self.gateways:
            self.assertNotIn("event=store_outage", gateway.log())

    # Guards against an outage that is announced where a few hosts, and the leader among them, are refused.
    def test_changes_reach_a_fleet_in_which_one_host_is_served(self):
        for gateway in self.gateways[:]:
            if gateway is not self.others[0]:
                self.refuse(gateway)
        self.assert_in_force(self.gateways)

    # Guards against reads by each host between two leaders, and against changes that are missed meanwhile.
    def test_changes_reach_a_fleet_between_two_leaders(self):
        before = len(self.platform.server.calls)
        self.leader.kill()
        self.assert_in_force(self.others)
        wait_until(lambda: any(each.leads() for each in self.others), "another leader")
        wait_until(lambda: all(each.leads() or each.log().count("event=leader_reached") >= 2 for each in self.others),
                   "the links")
        # Of the deputy as of a leader for three seconds, then of the others a few reads of the lease.
        self.assertLessEqual(len(self.platform.server.calls) - before, 45)


class FirstStartTest(PlatformTest):
    # Guards against several calls by each host of a fleet that starts for the first time, before its configuration exists.
    def test_hosts_take_the_first_configuration_from_the_leader(self):
        def calls(gateway, call):
            return gateway.log().count(f"event=store_called {call} ")

        self.platform.endpoint("booking")
        gateways = [Gateway(self.folder, f"g{number}", self.platform.address, first_start=True) for number in range(HOSTS)]
        for gateway in gateways:
            self.addCleanup(gateway.end)
        wait_until(lambda: any(gateway.leads() for gateway in gateways), "a leader")
        others = [gateway for gateway in gateways if not gateway.leads()]
        for gateway in others:
            wait_until(lambda: "table=op relayed=yes" in gateway.log(), "the relay")
            # A host that waits for the leader for too long reads the table once.
            self.assertLessEqual(calls(gateway, "call=rows-get table=op"), 1)
            self.assertLessEqual(calls(gateway, "call=rows-get table=leases"), 2)
        before = {gateway: calls(gateway, "call=rows-get table=op") for gateway in others}
        self.platform.configure([route("/look/", "safe", "booking")])
        for gateway in others:
            wait_until(lambda: send(gateway.callers, "GET", "/look/1")[0] == 200, "the configuration")
            self.assertEqual(calls(gateway, "call=rows-get table=op"), before[gateway])


if __name__ == "__main__":
    unittest.main()
