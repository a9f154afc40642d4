"""Requests that have crashed endpoints, where the hosts that counted the crashes are lost, or much time has passed."""

import contextlib
import http.client
import time
import unittest

from crashtest import DEADLY, MOST_CRASHES, PAUSE_SECONDS, CrashTest
from gatewayprocess import SIZE, send
from standin import wait_until

REPEAT_SECONDS = 24  # longer than hosts wait before they send a blocked request as a trial
SAVED_SECONDS = 0.5  # until the leader has saved what it knows
DEADLINE_MS = 600
SILENT_SECONDS = 1.4  # of an endpoint, from the request until it starts again
REPORTED_SECONDS = 1.5  # until the leader has told its deputy what it has counted
GENERATIONS = ("/write/1", "/resume/1")
PATHS = ("/write/1", "/look/deadly", "/book/1")


class CrashesRememberedTest(CrashTest):
    def crashes_of(self, path):
        return sum(endpoint.crashes for endpoint in (self.readers + self.writers if path in GENERATIONS else self.plain))

    def ask_until(self, gateways, path, crashes):
        """Sends the request until that many endpoints have ended under it in all. A writer may read the prompt itself."""
        for number in range(3 * crashes):
            if self.crashes_of(path) < crashes:
                self.ask(gateways[number % len(gateways)], path, DEADLY)
                time.sleep(PAUSE_SECONDS)
        self.assertGreaterEqual(self.crashes_of(path), crashes)

    def check_remembered(self, path, before):
        gateways = self.start_linked(3)
        self.ask_until(gateways, path, before)
        for _ in range(2):
            time.sleep(SAVED_SECONDS)
            self.lose_all(gateways)
            for gateway in gateways:
                wait_until(lambda each=gateway: self.ask(each, "/write/1") == 200, "a sound request")
            for number in range(6):
                self.ask(gateways[number % 3], path, DEADLY)
                time.sleep(PAUSE_SECONDS)
        self.assertLessEqual(self.crashes_of(path), MOST_CRASHES)

    # Guards against a request under which three endpoints have ended, and that is sent again on purpose.
    def test_a_request_that_crashed_three_endpoints_is_not_tried_again(self):
        gateways = self.start_linked(2)
        for path in PATHS:
            self.ask_until(gateways, path, MOST_CRASHES if path == "/write/1" else 1)
        end = time.monotonic() + REPEAT_SECONDS
        while time.monotonic() < end:
            for gateway in gateways:
                for path in PATHS:
                    self.ask(gateway, path, DEADLY)
            time.sleep(PAUSE_SECONDS)
        self.assertLessEqual(self.crashes_of("/write/1"), MOST_CRASHES)
        self.assertLessEqual(self.crashes_of("/book/1"), 2 * MOST_CRASHES)  # two requests

    # Each guards against hosts that forget, with all of them, what they have blocked or counted.
    def test_a_blocked_generation_stays_blocked_after_all_hosts_were_lost(self):
        self.check_remembered("/write/1", MOST_CRASHES)

    def test_a_blocked_plain_call_stays_blocked_after_all_hosts_were_lost(self):
        self.check_remembered("/book/1", MOST_CRASHES)

    def test_a_blocked_resumable_generation_stays_blocked_after_all_hosts_were_lost(self):
        self.check_remembered("/resume/1", MOST_CRASHES)

    def test_a_request_blocked_for_its_readers_stays_blocked_after_all_hosts_were_lost(self):
        self.readers += [self.platform.endpoint("llm", "prefill") for _ in range(5)]
        for reader in self.readers:
            reader.crashes_on = self.is_deadly
        for writer in self.writers:
            writer.crashes_on = lambda request, body: False
        self.check_remembered("/write/1", MOST_CRASHES)

    def test_crashes_count_after_all_hosts_were_lost(self):
        self.check_remembered("/write/1", MOST_CRASHES - 1)

    # Guards against a deputy that knows nothing of the crashes that only the lost leader has seen, and can't read the store.
    def test_crashes_that_the_leader_saw_count_at_its_deputy(self):
        leader, *others = self.start_linked(3)
        self.ask_until([leader], "/write/1", MOST_CRASHES - 1)
        time.sleep(REPORTED_SECONDS)
        self.platform.store.is_down = True
        leader.kill()
        wait_until(lambda: any("event=standing_in for_leader=yes" in gateway.log() for gateway in others), "the deputy")
        for number in range(6):
            self.ask(others[number % 2], "/write/1", DEADLY)
            time.sleep(PAUSE_SECONDS)
        self.assertLessEqual(self.crashes_of("/write/1"), MOST_CRASHES)

    # Guards against an engine that is back at its address before a host has seen that it ended.
    def test_crashes_of_engines_that_are_back_at_once_count(self):
        for writer in self.writers:
            writer.down_seconds = 0.0
        gateways = self.start_linked(3)
        for number in range(8):
            self.ask(gateways[number % 3], "/write/1", DEADLY)
            time.sleep(1.0)
        self.assertLessEqual(self.crashes_of("/write/1"), MOST_CRASHES)

    # Guards against sound callers of a host that was not there when the crashes were, and whose answers clear nothing.
    def test_answers_of_a_host_that_starts_later_clear_what_they_share(self):
        for writer in self.writers:
            writer.crashes_on = lambda request, body: body.startswith(DEADLY)
        leader = self.start("g1")
        for number in range(3):
            self.ask(leader, "/write/1", DEADLY + b"%d" % number, f"f1:200,{number:x}:100")
            time.sleep(PAUSE_SECONDS)
        later = self.start("g2")
        wait_until(lambda: "event=leader_reached" in later.log(), "the link")
        wait_until(lambda: self.ask(later, "/write/1", parts="f1:200,aa:100") == 200, "a sound request")
        time.sleep(PAUSE_SECONDS)
        self.ask(leader, "/write/1", DEADLY + b"3", "f1:200,3:100")
        time.sleep(PAUSE_SECONDS)
        self.assertEqual(self.ask(leader, "/write/1", parts="f1:200,bb:100"), 200)

    # Each guards against an endpoint that falls silent under a request, and has started again when its caller has given up.
    def test_generations_that_silence_engines_stop(self):
        self.check_silenced("/write/1", self.writers)

    def test_plain_calls_that_silence_endpoints_stop(self):
        self.check_silenced("/book/1", self.plain)

    def check_silenced(self, path, endpoints):
        for endpoint in endpoints:
            endpoint.crash_delay, endpoint.down_seconds = SILENT_SECONDS, 0.0
        gateways = self.start_linked(3)
        for number in range(8):
            with contextlib.suppress(http.client.HTTPException, ConnectionError):
                send(gateways[number % 3].callers, "POST", path, DEADLY, X_Deadline_Ms=DEADLINE_MS, **SIZE)
            time.sleep(SILENT_SECONDS)
        self.assertLessEqual(self.crashes_of(path), MOST_CRASHES)


if __name__ == "__main__":
    unittest.main()
