"""Hosts that lose their paths to all endpoints, while callers, the store and the other hosts still reach them."""

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))

from callers import SIZE, Callers  # noqa: E402  pylint: disable=wrong-import-position
from checker import check  # noqa: E402  pylint: disable=wrong-import-position
from gatewayprocess import Gateway, send  # noqa: E402  pylint: disable=wrong-import-position
from paths import Paths  # noqa: E402  pylint: disable=wrong-import-position
from platformtest import PlatformTest  # noqa: E402  pylint: disable=wrong-import-position
from standin import wait_until  # noqa: E402  pylint: disable=wrong-import-position
from userplatform import route  # noqa: E402  pylint: disable=wrong-import-position

HOSTS = 4
CALLERS = 48  # more than the stand-ins serve on a busy machine: they come back as soon as they are refused
FEW_CALLERS = 12
CONTACT_SECONDS = 3  # from the start of a cut until its hosts must serve again
CUT_SECONDS = CONTACT_SECONDS + 4
FEW_CALLERS_SECONDS = CONTACT_SECONDS + 8  # of a cut, so that few callers make enough calls on a busy machine
FEWEST_CALLS = 30  # to judge by
SHORT_DEADLINE_MS = 300  # of a caller that comes back with a third of its time left
# What the users' rule allows: as many failures in all, and a share of what the other hosts serve.
ALLOWED_FAILURES, ALLOWED_FAILURES_EACH = 10, 1 / 50
ALLOWED_SHARE = 2 / 3
GENERATIONS = ("stream", "resumable")
ROUTES = [route("/book/", "unsafe", "booking"), route("/look/", "safe", "booking", max_attempts=2),
          route("/write/", "stream", "llm"), route("/resume/", "stream", "llm", max_attempts=2, resumable=True)]


class LostPathsTest(PlatformTest):
    def setUp(self):
        super().setUp()
        for service, stage in (("booking", None),) * 3 + (("llm", "prefill"),) * 2 + (("llm", "decode"),) * 3:
            self.platform.endpoint(service, stage)
        self.platform.configure(ROUTES)
        self.gateways = []
        for number in range(HOSTS):
            paths = Paths(self.folder, f"g{number}", self.platform.endpoints)
            self.addCleanup(paths.end)
            self.gateways.append(Gateway(self.folder, f"g{number}", self.platform.address, paths=paths))
            self.addCleanup(self.gateways[-1].end)
        for gateway in self.gateways:
            wait_until(gateway.is_ready, "a gateway to be ready")
        wait_until(lambda: any(gateway.leads() for gateway in self.gateways), "a leader")
        for gateway in self.gateways:
            wait_until(lambda: gateway.leads() or "event=leader_reached" in gateway.log(), "the links")

    def leader_first(self):
        return sorted(self.gateways, key=lambda gateway: not gateway.leads())

    def endpoints_of(self, service):
        return [endpoint for endpoint in self.platform.endpoints if endpoint.service == service]

    def all_logs(self):
        return "".join(gateway.log() for gateway in self.gateways)

    def play(self, cut, kind, count=CALLERS, seconds=CUT_SECONDS):
        """Cuts these hosts while callers go on. The first tries after contact, at the cut hosts and at the others."""
        callers = Callers(self.gateways, kind, count)
        callers.start()
        time.sleep(1)
        for gateway in cut:
            gateway.paths.cut(kind)
        since = time.monotonic() + CONTACT_SECONDS
        time.sleep(seconds)
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
            share, there_share = (self.share_of(kind, calls) for calls in (here, there))
            # Engines that have no room for more generations refuse those of all hosts alike.
            bound = ALLOWED_SHARE * (there_share if kind in GENERATIONS else 1)
            with self.subTest(kind=kind, share=share, at_others=there_share):
                self.assertGreaterEqual(share, bound)

    def check_few_served(self, here):
        """Of so few callers, whatever the other hosts serve."""
        self.assertGreater(len(here), FEWEST_CALLS, "too few calls to judge by")
        for kind in sorted({call.kind for call in here}):
            with self.subTest(kind=kind):
                self.assertGreaterEqual(self.share_of(kind, here), ALLOWED_SHARE)

    @staticmethod
    def share_of(kind, calls):
        outcomes = [call.status == 200 and call.is_whole for call in calls if call.kind == kind]
        return sum(outcomes) / max(1, len(outcomes))

    # Guards against hosts that refuse their callers because they reach no endpoint, although other hosts reach them all.
    def test_serves_while_connections_hang(self):
        self.check_served(*self.play(self.leader_first()[1:3], "hang"))

    def test_serves_while_connections_are_reset(self):
        self.check_served(*self.play(self.leader_first()[1:3], "reset"))

    def test_serves_while_only_new_connections_are_refused(self):
        self.check_served(*self.play(self.leader_first()[1:3], "refuse"))

    def test_few_callers_are_served_while_connections_hang(self):
        self.check_few_served(self.play(self.leader_first()[1:3], "hang", FEW_CALLERS, FEW_CALLERS_SECONDS)[0])

    def test_few_callers_are_served_while_connections_are_reset(self):
        self.check_few_served(self.play(self.leader_first()[1:3], "reset", FEW_CALLERS, FEW_CALLERS_SECONDS)[0])

    def test_few_callers_are_served_while_only_new_connections_are_refused(self):
        self.check_few_served(self.play(self.leader_first()[1:3], "refuse", FEW_CALLERS, FEW_CALLERS_SECONDS)[0])

    # The host that places generations for all is among those that reach no endpoint, and only one host reaches any.
    def test_serves_while_most_hosts_and_the_leader_are_cut(self):
        self.check_served(*self.play(self.leader_first()[:3], "hang"))

    def test_few_callers_are_served_while_most_hosts_and_the_leader_are_cut(self):
        self.check_few_served(self.play(self.leader_first()[:3], "hang", FEW_CALLERS, FEW_CALLERS_SECONDS)[0])

    # Guards against hosts that reach none of the endpoints of one service, and notice it anew at each call because they
    # reach other endpoints: callers with little time get no answer.
    def test_serves_while_plain_endpoints_are_out_of_reach(self):
        cut = self.leader_first()[1]
        cut.paths.cut("hang", self.endpoints_of("booking"))
        self.check_share(cut, lambda: send(cut.callers, "POST", "/book/x", b"x", X_Deadline_Ms=SHORT_DEADLINE_MS))
        self.assertIn("event=endpoint_needs_tunnel", cut.log())

    def test_serves_while_decode_engines_are_out_of_reach(self):
        cut = self.leader_first()[1]
        cut.paths.cut("hang", [engine for engine in self.platform.endpoints if engine.stage == "decode"])
        self.check_share(cut, lambda: send(cut.callers, "POST", "/write/x", b"x", X_Deadline_Ms=1000, **SIZE))

    def check_share(self, cut, call):
        """The share of these calls that is served after contact, while the host opens other connections."""
        until = time.monotonic() + CONTACT_SECONDS
        statuses = []
        while len(statuses) < FEWEST_CALLS:
            send(cut.callers, "GET", "/look/x")
            send(cut.callers, "POST", "/write/x", b"x", **SIZE)
            status = call()[0]
            if time.monotonic() > until:
                statuses.append(status)
        self.assertGreaterEqual(statuses.count(200), ALLOWED_SHARE * len(statuses), statuses)

    # Guards against calls that wait for their deadline at a host that knows that no host reaches an endpoint.
    def test_refuses_at_once_while_all_hosts_are_cut(self):
        for gateway in self.gateways:
            gateway.paths.cut("hang")
        first = self.gateways[0]
        wait_until(lambda: send(first.callers, "GET", "/look/x")[0] == 503 and "endpoints_unreachable" in first.log(),
                   "the first host to notice")
        time.sleep(CONTACT_SECONDS)
        for path in ("/look/x", "/book/x", "/write/x"):
            begin = time.monotonic()
            status, headers, body = send(first.callers, "POST", path, b"x")
            with self.subTest(path=path):
                self.assertEqual(status, 503)
                self.assertIn(b'"not_run"', body)
                self.assertGreater(float(headers["Retry-After"]), 0)
                self.assertLess(time.monotonic() - begin, 1)  # a quarter of the route's timeout
        self.assertEqual(sum(len(endpoint.seen) for endpoint in self.platform.endpoints), 0)

    # Guards against tunnels that stay in use after the cut.
    def test_connects_directly_after_the_cut(self):
        cut = self.leader_first()[1]
        cut.paths.cut("hang")
        wait_until(lambda: send(cut.callers, "GET", "/look/x")[0] == 200 and "event=tunnel_ended" in self.all_logs(),
                   "calls through another host")
        cut.paths.heal()
        wait_until(lambda: "event=endpoints_reachable" in cut.log(), "the host to notice", CONTACT_SECONDS)
        time.sleep(CONTACT_SECONDS)  # for the checks of what the tunnels reached
        before = self.all_logs().count("event=tunnel_ended")
        for _ in range(10):
            self.assertEqual(send(cut.callers, "POST", "/book/x", b"x")[0], 200)
        self.assertEqual(self.all_logs().count("event=tunnel_ended"), before)

    # Guards against calls through a host that stops: it opens no new tunnels, and ends after those that are open.
    def test_no_call_is_lost_when_a_host_with_tunnels_stops(self):
        cut, *others = self.leader_first()[1:]
        cut.paths.cut("refuse")
        wait_until(lambda: send(cut.callers, "GET", "/look/x")[0] == 200, "calls through another host")
        answers = []
        ended = threading.Event()

        def call():
            while not ended.is_set():
                path = ("/book/x", "/write/x")[len(answers) % 2]
                status, _, body = send(cut.callers, "POST", path, b"x", **SIZE)
                answers.append((path, status, body))

        threads = [threading.Thread(target=call) for _ in range(8)]
        for thread in threads:
            thread.start()
        for gateway in others:
            gateway.send(signal.SIGTERM)
            gateway.process.wait(timeout=20)
            gateway.start_again()
            wait_until(gateway.is_ready, "a gateway to be ready again")
        ended.set()
        for thread in threads:
            thread.join()
        self.assertGreater(len(answers), FEWEST_CALLS)
        self.assertEqual({status for _, status, _ in answers}, {200})
