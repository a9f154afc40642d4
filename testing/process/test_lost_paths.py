"""Hosts that lose their paths to all endpoints, while callers, the store and the other hosts still reach them."""

import pathlib
import sys
import tempfile
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))

from callers import Callers  # noqa: E402  pylint: disable=wrong-import-position
from checker import check  # noqa: E402  pylint: disable=wrong-import-position
from gatewayprocess import Gateway  # noqa: E402  pylint: disable=wrong-import-position
from paths import Paths  # noqa: E402  pylint: disable=wrong-import-position
from standin import wait_until  # noqa: E402  pylint: disable=wrong-import-position
from userplatform import UserPlatform, route  # noqa: E402  pylint: disable=wrong-import-position

HOSTS = 4
CALLERS = 48
CONTACT_SECONDS = 3  # from the start of a cut until its hosts must serve again
CUT_SECONDS = CONTACT_SECONDS + 4
FEWEST_CALLS = 30  # to judge by
# What the users' rule allows: as many failures in all, and a share of what the other hosts serve.
ALLOWED_FAILURES, ALLOWED_FAILURES_EACH = 10, 1 / 50
ALLOWED_SHARE = 2 / 3
ROUTES = [route("/book/", "unsafe", "booking"), route("/look/", "safe", "booking", max_attempts=2),
          route("/write/", "stream", "llm"), route("/resume/", "stream", "llm", max_attempts=2, resumable=True)]


class LostPathsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.platform = UserPlatform()
        self.addCleanup(self.platform.__exit__)
        for service, stage in (("booking", None),) * 3 + (("llm", "prefill"),) * 2 + (("llm", "decode"),) * 3:
            self.platform.endpoint(service, stage)
        self.platform.configure(ROUTES)
        self.gateways = []
        for number in range(HOSTS):
            paths = Paths(folder.name, f"g{number}", self.platform.endpoints)
            self.addCleanup(paths.end)
            self.gateways.append(Gateway(folder.name, f"g{number}", self.platform.address, paths=paths))
            self.addCleanup(self.gateways[-1].end)
        for gateway in self.gateways:
            wait_until(gateway.is_ready, "a gateway to be ready")
        wait_until(lambda: any(gateway.leads() for gateway in self.gateways), "a leader")
        for gateway in self.gateways:
            wait_until(lambda: gateway.leads() or "event=leader_reached" in gateway.log(), "the links")

    def leader_first(self):
        return sorted(self.gateways, key=lambda gateway: not gateway.leads())

    def play(self, cut, kind):
        """Cuts these hosts while callers go on. The first tries after contact, at the cut hosts and at the others."""
        callers = Callers(self.gateways, kind, CALLERS)
        callers.start()
        time.sleep(1)
        for gateway in cut:
            gateway.paths.cut(kind)
        since = time.monotonic() + CONTACT_SECONDS
        time.sleep(CUT_SECONDS)
        until = time.monotonic()
        for gateway in cut:
            gateway.paths.heal()
        callers.stop()
        self.assertEqual(check(callers.calls, self.platform.endpoints), [])
        names = {gateway.name for gateway in cut}
        during = [call for call in callers.calls if since <= call.at < until - 1]
        return [call for call in during if call.host in names], [call for call in during if call.host not in names]

    def check_served(self, here, there):
        """The users' rule, for all kinds of calls together and for each kind that came often enough."""
        served = [sum(call.status == 200 and call.is_whole for call in calls) for calls in (here, there)]
        failed = len(here) + len(there) - sum(served)
        self.assertGreater(len(here), FEWEST_CALLS, "too few calls to judge by")
        shares = served[0] / len(here), served[1] / max(1, len(there))
        with self.subTest(served=served, of=(len(here), len(there))):
            self.assertTrue(shares[0] >= ALLOWED_SHARE * shares[1]
                            or failed <= ALLOWED_FAILURES + ALLOWED_FAILURES_EACH * (len(here) + len(there)))
        for kind in sorted({call.kind for call in here}):
            calls = [call for call in here if call.kind == kind]
            whole = sum(call.status == 200 and call.is_whole for call in calls)
            with self.subTest(kind=kind, served=whole, of=len(calls)):
                self.assertGreaterEqual(whole, ALLOWED_SHARE * len(calls))

    # Guards against hosts that refuse their callers because they reach no endpoint, although other hosts reach them all.
    def test_serves_while_connections_hang(self):
        self.check_served(*self.play(self.leader_first()[1:3], "hang"))

    def test_serves_while_connections_are_reset(self):
        self.check_served(*self.play(self.leader_first()[1:3], "reset"))

    def test_serves_while_only_new_connections_are_refused(self):
        self.check_served(*self.play(self.leader_first()[1:3], "refuse"))

    # The host that places generations for all is among those that reach no endpoint, and only one host reaches any.
    def test_serves_while_most_hosts_and_the_leader_are_cut(self):
        self.check_served(*self.play(self.leader_first()[:3], "hang"))
