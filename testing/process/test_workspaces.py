"""Callers with keys: whose call it is, keys that are revoked, and quotas that all hosts keep together."""

import pathlib
import sys
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))

from gatewayprocess import SIZE, Gateway, send  # noqa: E402  pylint: disable=wrong-import-position
from platformtest import PlatformTest  # noqa: E402  pylint: disable=wrong-import-position
from proxy import Proxy  # noqa: E402  pylint: disable=wrong-import-position
from standin import wait_until  # noqa: E402  pylint: disable=wrong-import-position
from userplatform import route, workspace  # noqa: E402  pylint: disable=wrong-import-position

REVOKE_SECONDS = 3  # from the store's acknowledgement until a revoked key is refused everywhere
RATE, BURST, SLACK, OVERSHOOT, WINDOW_SECONDS = 10, 10, 20, 0.1, 2
SETTINGS = (f"[keys]\nrevoke_ms = {REVOKE_SECONDS * 1000}\nstrict = yes\n"
            f"[quotas]\nwindow_s = {WINDOW_SECONDS}\novershoot = {OVERSHOOT}\nslack = {SLACK}\n")
ROUTES = [route("/book/", "unsafe", "booking"), route("/look/", "safe", "booking", max_attempts=2),
          route("/open/", "safe", "booking", allow_anonymous=True), route("/write/", "stream", "llm"),
          route("/resume/", "stream", "llm", max_attempts=2, resumable=True)]
CALLS = (("POST", "/book/x", {}), ("GET", "/look/x", {}), ("POST", "/write/x", SIZE), ("POST", "/resume/x", SIZE))
BAD_KEYS = ("", "Bearer", "Bearer ", "k-one", "Basic k-one", "Bearer k-other", "Bearer k-one k-one", "Bearer K-ONE",
            "Bearer " + "k" * 8000, "Bearer k\xe9")


def key(text):
    return {"Authorization": "Bearer " + text}


class WorkspaceTest(PlatformTest):
    def setUp(self):
        super().setUp()
        for service, stage in (("booking", None),) * 2 + (("llm", "prefill"), ("llm", "decode"), ("llm", "decode")):
            self.platform.endpoint(service, stage)
        self.workspaces = [workspace("one", "k-one"), workspace("two", "k-two")]
        self.platform.configure(ROUTES, self.workspaces)

    def start(self, name="g1", store=None, **options):  # pylint: disable=arguments-differ
        gateway = Gateway(self.folder, name, store or self.platform.address, more=SETTINGS, **options)
        self.addCleanup(gateway.end)
        wait_until(gateway.is_ready, "the gateway to be ready")
        return gateway

    def start_fleet(self, count):
        """The leader first, then the followers, which know of each other by its word; and the proxies to the store."""
        proxies = [Proxy(self.platform.address) for _ in range(count)]
        for proxy in proxies:
            self.addCleanup(proxy.end)
        gateways = [self.start(f"g{number}", proxy.address) for number, proxy in enumerate(proxies)]
        wait_until(lambda: any(gateway.leads() for gateway in gateways), "a leader")
        pairs = sorted(zip(gateways, proxies), key=lambda pair: not pair[0].leads())
        for follower, _ in pairs[1:]:
            wait_until(lambda: "table=op relayed=yes" in follower.log(), "the relay")
        return [gateway for gateway, _ in pairs], [proxy for _, proxy in pairs]

    def seen(self):
        return [run for endpoint in self.platform.endpoints for run in endpoint.seen]

    # Guards against calls of unknown callers, and against keys that leave the host.
    def test_a_call_runs_only_with_a_known_key_and_in_the_name_of_its_workspace(self):
        gateway = self.start()
        for method, path, headers in CALLS:
            for bad in BAD_KEYS:
                status, answer, body = send(gateway.callers, method, path, b"x", Authorization=bad, **headers)
                with self.subTest(path=path, key=bad[:20]):
                    self.assertEqual((status, answer.get("WWW-Authenticate")), (401, "Bearer"))
                    self.assertIn(b'"not_run"', body)
            self.assertEqual(send(gateway.callers, method, path, b"x", **headers)[0], 401)
        self.assertEqual(self.seen(), [])
        for method, path, headers in CALLS:
            for name in ("one", "two"):
                self.assertEqual(send(gateway.callers, method, path, b"x", X_Tenant="forged", x_tenant="two",
                                      **key("k-" + name), **headers)[0], 200)
        runs = [(run["headers"].get("X-Tenant"), run["headers"].get("Authorization")) for run in self.seen()]
        self.assertEqual(sorted(runs), [("one", None)] * len(CALLS) + [("two", None)] * len(CALLS))
        self.assertNotIn("k-one", gateway.log())
        metrics = send(gateway.ready, "GET", "/metrics")[2].decode()
        self.assertIn(f'workspace_calls_total{{event="received",workspace="one"}} {len(CALLS)}', metrics)

    def test_an_open_route_needs_no_key_and_takes_no_wrong_one(self):
        gateway = self.start()
        self.assertEqual(send(gateway.callers, "GET", "/open/x", X_Tenant="forged")[0], 200)
        self.assertEqual(send(gateway.callers, "GET", "/open/x", **key("k-two"))[0], 200)
        self.assertEqual(send(gateway.callers, "GET", "/open/x", **key("k-other"))[0], 401)
        runs = sorted(self.seen(), key=lambda run: run["at"])
        self.assertEqual([run["headers"].get("X-Tenant") for run in runs], [None, "two"])

    # Guards against a caller that goes on with the stream of another workspace.
    def test_a_stream_is_taken_up_only_by_its_workspace(self):
        gateways, _ = self.start_fleet(2)
        begun = {"X_Request_Id": "stream-of-one", **SIZE}
        self.assertEqual(send(gateways[1].callers, "POST", "/resume/x", b"x", **key("k-one"), **begun)[0], 200)
        again = {"Resumes": "stream-of-one", "Last_Event_Id": 2, **SIZE}
        for gateway in gateways:
            self.assertEqual(send(gateway.callers, "POST", "/resume/x", b"x", **key("k-two"), **again)[0], 503)
            self.assertEqual(send(gateway.callers, "POST", "/resume/x", b"x", **key("k-one"), **again)[0], 200)

    def test_keys_are_added_and_revoked_everywhere(self):
        gateways, _ = self.start_fleet(3)
        self.platform.configure(ROUTES, [workspace("one", "k-new"), workspace("two", "k-two")])
        for gateway in gateways:
            wait_until(lambda: send(gateway.callers, "GET", "/look/x", **key("k-new"))[0] == 200, "the new key")
            self.assertEqual(send(gateway.callers, "GET", "/look/x", **key("k-one"))[0], 401)
            self.assertEqual(send(gateway.callers, "GET", "/look/x", **key("k-two"))[0], 200)

    # Guards against a revoked key that goes on at a host which can't learn of the change.
    def test_no_host_admits_a_revoked_key_later_than_the_bound(self):
        gateways, proxies = self.start_fleet(3)
        for proxy in proxies:
            proxy.mode = "silent"
        self.platform.configure(ROUTES, [workspace("one"), workspace("two", "k-two")])
        since = time.monotonic()
        statuses = []
        while time.monotonic() < since + REVOKE_SECONDS + 1:
            at = time.monotonic()
            for gateway in gateways:
                status, headers, body = send(gateway.callers, "POST", "/book/x", b"x", **key("k-one"))
                statuses.append((at - since, status))
                if status == 503:
                    self.assertGreater(float(headers["Retry-After"]), 0)
                    self.assertIn(b'"not_run"', body)
            time.sleep(0.05)
        self.assertIn(200, [status for _, status in statuses])  # nothing is refused at once
        self.assertEqual({status for at, status in statuses if at > REVOKE_SECONDS}, {503})
        for gateway in gateways:
            self.assertEqual(send(gateway.callers, "GET", "/open/x")[0], 200)
            self.assertFalse(gateway.is_ready())
        for proxy in proxies:
            proxy.mode = "pass"
            proxy.reset()
        for gateway in gateways:
            wait_until(lambda: send(gateway.callers, "GET", "/look/x", **key("k-two"))[0] == 200, "the keys in force")
            self.assertEqual(send(gateway.callers, "GET", "/look/x", **key("k-one"))[0], 401)

    # Guards against hosts that refuse all callers because they can't read the store, although the leader can.
    def test_a_follower_without_the_store_goes_on_by_the_word_of_the_leader(self):
        gateways, proxies = self.start_fleet(3)
        for proxy in proxies[1:]:
            proxy.mode = "refuse"
            proxy.reset()
        until = time.monotonic() + 2 * REVOKE_SECONDS
        while time.monotonic() < until:
            for gateway in gateways:
                self.assertEqual(send(gateway.callers, "GET", "/look/x", **key("k-one"))[0], 200)
            time.sleep(0.1)
        self.platform.configure(ROUTES, [workspace("one"), workspace("two", "k-two")])
        time.sleep(1)
        for gateway in gateways:
            self.assertEqual(send(gateway.callers, "GET", "/look/x", **key("k-one"))[0], 401)

    # The same for a leader: followers read the store for it.
    def test_a_leader_without_the_store_goes_on_by_the_word_of_its_followers(self):
        gateways, proxies = self.start_fleet(3)
        proxies[0].mode = "refuse"
        proxies[0].reset()
        until = time.monotonic() + 2 * REVOKE_SECONDS
        while time.monotonic() < until:
            for gateway in gateways:
                self.assertEqual(send(gateway.callers, "GET", "/look/x", **key("k-one"))[0], 200)
            time.sleep(0.1)

    def flood(self, gateways, seconds, call):
        """The statuses of calls that go on for so long at all hosts."""
        results = []

        def run(gateway):
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                results.append(call(gateway))

        threads = [threading.Thread(target=run, args=(gateway,)) for gateway in gateways for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return results

    def most_in_a_window(self, name):
        times = sorted(run["at"] for run in self.seen() if run["headers"].get("X-Tenant") == name)
        return max(sum(first <= at <= first + WINDOW_SECONDS for at in times) for first in times)

    # Guards against a workspace that gets its quota at each host, or refusals of another one that keeps within its own.
    def test_all_hosts_together_keep_a_quota(self):
        self.platform.configure(ROUTES, [workspace("one", "k-one", rate_per_s=RATE, burst=BURST), self.workspaces[1]])
        gateways, _ = self.start_fleet(4)
        seconds = 4
        answers = self.flood(gateways[1:], seconds,
                             lambda gateway: send(gateway.callers, "GET", "/look/x", **key("k-one")))
        served = [status for status, _, _ in answers].count(200)
        self.assertEqual({status for status, _, _ in answers}, {200, 429})
        for status, headers, body in answers:
            if status == 429:
                self.assertGreater(float(headers["Retry-After"]), 0)
                self.assertIn(b'"not_run"', body)
        self.assertLessEqual(self.most_in_a_window("one"), (RATE * WINDOW_SECONDS + BURST) * (1 + OVERSHOOT) + SLACK)
        self.assertGreaterEqual(served, 0.95 * RATE * seconds)
        self.assertEqual(send(gateways[1].callers, "GET", "/look/x", **key("k-two"))[0], 200)

    # Guards against generations that are counted at each host that places them, or not at all.
    def test_all_hosts_together_keep_a_quota_of_tokens(self):
        tokens = 500  # of one generation (SIZE)
        self.platform.configure(ROUTES, [workspace("one", "k-one", unit="tokens", plain_tokens=50,
                                                   rate_per_s=RATE * tokens, burst=BURST * tokens)])
        gateways, _ = self.start_fleet(3)
        answers = self.flood(gateways, 4,
                             lambda gateway: send(gateway.callers, "POST", "/write/x", b"x", **key("k-one"), **SIZE))
        statuses = {status for status, _, _ in answers}
        self.assertLessEqual(statuses, {200, 429, 503})
        self.assertIn(429, statuses)
        self.assertLessEqual(self.most_in_a_window("one"), (RATE * WINDOW_SECONDS + BURST) * (1 + OVERSHOOT) + SLACK / tokens)

    # Guards against a quota that is used up by calls that no endpoint ran.
    def test_what_did_not_run_is_given_back(self):
        self.platform.configure(ROUTES, [workspace("one", "k-one", rate_per_s=2, burst=5)])
        gateway = self.start()
        time.sleep(3)  # a host that has started begins with little credit
        for endpoint in self.platform.endpoints:
            endpoint.behave = "full"
        for _ in range(40):
            for method, path, headers in CALLS:
                self.assertEqual(send(gateway.callers, method, path, b"x", X_Deadline_Ms=300, **key("k-one"), **headers)[0],
                                 503)
        for endpoint in self.platform.endpoints:
            endpoint.behave = "ok"
        wait_until(lambda: send(gateway.callers, "POST", "/write/x", b"x", **key("k-one"), **SIZE)[0] == 200, "a place")
        for _ in range(3):
            self.assertEqual(send(gateway.callers, "GET", "/look/x", **key("k-one"))[0], 200)


if __name__ == "__main__":
    unittest.main()
