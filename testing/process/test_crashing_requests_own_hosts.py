"""Requests that crash engines and endpoints behind entries of our own hosts, beside sound ones."""

import time
import unittest

from enginefront import EngineFront
from smallfleet import SmallFleet
from standin import call, wait_until
from userplatform import UserPlatform

DEADLY_TOKENS = 77  # an engine ends as it begins to write an answer of at most that many
MOST_CRASHES = 3  # under one request
PAUSE_SECONDS = 0.3  # between two tries


class CrashingRequestsOfOwnHostsTest(unittest.TestCase):
    # Guards against a request under which three engines have ended, and that entries go on sending to others.
    def test_a_model_call_that_crashes_engines_stops_at_every_entry(self):
        with SmallFleet(decodes=8, engine_options=("--dies-at-tokens", DEADLY_TOKENS)) as fleet:
            entries = [fleet.entries[0], fleet.start_entry("athens-b")]
            fleet.wait_ready(entries[1])

            def ask(entry, tokens):
                body = {"model": "verdict", "prompt": "word " * 400, "max_tokens": tokens}
                return call("POST", entry.address, "/v1/completions", body, {"X-Workspace": "w"}, timeout=30)[0]

            statuses = []
            for number in range(6):
                statuses.append(ask(entries[number % 2], DEADLY_TOKENS))
                time.sleep(PAUSE_SECONDS)
            ended = [name for name in fleet.engines if not fleet.engines[name].is_running()]
            self.assertLessEqual(len(ended), MOST_CRASHES, statuses)
            self.assertEqual(statuses[-3:], [503] * 3, statuses)
            for entry in entries:
                wait_until(lambda: ask(entry, 20) == 200, "a sound call")

    # Guards against a prompt under which three engines have ended as they read it, and that entries go on sending to others.
    def test_a_model_call_that_crashes_the_engines_that_read_its_prompt_stops(self):
        fleet = SmallFleet()
        fronts = []
        for name in ("p1", "p2"):
            front = EngineFront(fleet.engines[name].address)
            self.addCleanup(front.end)
            front.crashes_on = lambda path, body: path == "/v1/prefill" and b"deadly" in body
            fleet.engines[name].address = front.address
            fronts.append(front)
        with fleet:
            def ask(prompt):
                body = {"model": "verdict", "prompt": prompt, "max_tokens": 20}
                return call("POST", fleet.entry, "/v1/completions", body, {"X-Workspace": "w"}, timeout=30)[0]

            wait_until(lambda: ask("word " * 400) == 200, "a sound call")
            statuses = []
            for _ in range(6):
                statuses.append(ask("deadly " * 400))
                time.sleep(PAUSE_SECONDS)
            self.assertLessEqual(sum(front.crashes for front in fronts), MOST_CRASHES, statuses)
            wait_until(lambda: ask("word " * 400) == 200, "a sound call")

    # Guards against a plain call under which three endpoints have ended, and that its entry goes on sending to others.
    def test_a_repeatable_call_that_crashes_endpoints_stops_at_its_entry(self):
        self.check_plain("GET", "/cards/deadly", entries=1)

    def test_a_call_that_runs_once_and_crashes_endpoints_stops_at_its_entry(self):
        self.check_plain("POST", "/bookings", entries=1)

    def test_a_plain_call_that_crashes_endpoints_stops_at_every_entry(self):
        self.check_plain("GET", "/cards/deadly", entries=2)

    def check_plain(self, method, path, entries):
        with UserPlatform() as platform:
            fleet = SmallFleet()
            for name in fleet.apps:
                endpoint = platform.endpoint("cards")
                endpoint.crashes_on = lambda request, body: request.path.endswith("deadly") or body == b"deadly"
                fleet.apps[name].address = endpoint.address
            with fleet:
                for number in range(1, entries):
                    fleet.wait_ready(fleet.start_entry(f"athens-{number}"))
                statuses = []
                for number in range(8):
                    headers = {"X-Workspace": "w", "Idempotency-Key": f"k{number}"}
                    body = "deadly" if method == "POST" else None
                    statuses.append(call(method, fleet.entries[number % entries].address, path, body, headers, timeout=30)[0])
                    time.sleep(PAUSE_SECONDS)
                self.assertLessEqual(sum(endpoint.crashes for endpoint in platform.endpoints), MOST_CRASHES, statuses)
                for entry in fleet.entries:
                    wait_until(lambda: call("GET", entry.address, "/cards/1", None, {"X-Workspace": "w"})[0] == 200,
                               "a sound call")


if __name__ == "__main__":
    unittest.main()
