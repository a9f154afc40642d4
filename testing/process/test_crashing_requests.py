"""Requests that crash the endpoints that answer them, beside sound ones, and crashes that no request causes."""

import pathlib
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))

# pylint: disable=wrong-import-position
from crashtest import DEADLY, DEADLY_PART, MOST_CRASHES, PAUSE_SECONDS, CrashTest  # noqa: E402
from paths import Paths  # noqa: E402
from standin import wait_until  # noqa: E402

TRIAL_SECONDS = 20  # from the block until a request is sent all the same
BACK_SECONDS = 5  # for the next trial, after one that was not sent
MOST_PART_CRASHES = 5  # under requests that share a part of their prompts
DOWN_SECONDS = 4.0  # of an engine, until a row of the registry shows that it has ended


class CrashingRequestsTest(CrashTest):
    def repeat(self, gateways, path, body, times=10):
        """The statuses of as many tries, at one host after the other."""
        statuses = []
        for number in range(times):
            statuses.append(self.ask(gateways[number % len(gateways)], path, body))
            time.sleep(PAUSE_SECONDS)
        return statuses

    def check_stops(self, gateways, path, body=DEADLY):
        before = self.crashes()
        statuses = self.repeat(gateways, path, body)
        self.assertLessEqual(self.crashes() - before, MOST_CRASHES, statuses)
        self.assertEqual(statuses[-5:], [503] * 5, statuses)
        for gateway in gateways:
            wait_until(lambda: self.ask(gateway, path.replace("deadly", "sound")) == 200, "a sound request")

    # Each guards against a request under which three endpoints have ended, and that hosts go on sending to others.
    def test_a_generation_that_crashes_engines_stops_at_every_host(self):
        self.check_stops(self.start_linked(3), "/write/1")

    def test_a_resumable_generation_that_crashes_engines_stops_at_every_host(self):
        self.check_stops(self.start_linked(3), "/resume/1")

    def test_a_repeatable_call_that_crashes_endpoints_stops_at_every_host(self):
        self.check_stops(self.start_linked(3), "/look/deadly")

    def test_a_call_that_runs_once_and_crashes_endpoints_stops_at_every_host(self):
        self.check_stops(self.start_linked(3), "/book/1")

    def test_unframed_streams_that_crash_engines_stop(self):
        for writer in self.writers:
            writer.is_framed = False
        self.check_stops(self.start_linked(2), "/write/1")

    # Guards against a host that has lost its paths to endpoints and goes on through tunnels of others.
    def test_crashing_requests_stop_at_a_host_that_uses_tunnels(self):
        paths = Paths(self.folder, "cut", self.platform.endpoints)
        self.addCleanup(paths.end)
        others = self.start_linked(2)
        cut = self.start("cut", paths=paths)
        wait_until(lambda: "event=leader_reached" in cut.log(), "the links")
        paths.cut("refuse")
        wait_until(lambda: self.ask(cut, "/look/sound") == 200, "calls through another host")
        self.check_stops([cut, *others], "/write/1")

    # Guards against sound requests that stay blocked because the one that was to show it was refused for another reason.
    def test_a_trial_that_is_refused_is_made_again(self):
        gateway = self.start()
        self.check_part_stops([gateway])
        for writer in self.writers:
            writer.crashes_on = lambda request, body: False
            writer.rests, writer.rest_seconds = frozenset(["hold"]), 1.0
        wait_until(lambda: self.ask(gateway, "/write/1") != 200, "engines that rest")
        wait_until(lambda: self.ask_part(gateway, "/write/1", 0x4000) and "event=blocked_request_tried" in gateway.log(),
                   "a trial", TRIAL_SECONDS + 5)
        for writer in self.writers:
            writer.rests = frozenset()
        wait_until(lambda: self.ask_part(gateway, "/write/1", 0x4000) == 200, "another trial", BACK_SECONDS)

    # Guards against a new leader that has heard of none of the crashes before it led.
    def test_crashes_before_a_leader_is_lost_count(self):
        leader, *others = self.start_linked(3)
        for gateway in others:
            self.ask(gateway, "/write/1", DEADLY)
            time.sleep(PAUSE_SECONDS)
        leader.send(signal.SIGKILL)
        wait_until(lambda: any(gateway.leads() or "event=standing_in for_leader=yes" in gateway.log() for gateway in others),
                   "another leader")
        statuses = self.repeat(others, "/write/1", DEADLY, 8)
        self.assertLessEqual(self.crashes(), MOST_CRASHES, statuses)

    def ask_part(self, gateway, path, number, part=DEADLY_PART):
        """No two of these requests are alike but for their first part and the given one."""
        return self.ask(gateway, path, b"prompt %d" % number, f"f1:200,{part}:300,{number:x}:500")

    def check_part_stops(self, gateways, path="/write/1"):
        statuses = []
        for number in range(14):
            statuses.append(self.ask_part(gateways[number % len(gateways)], path, 0x1000 + number))
            self.assertEqual(self.ask_part(gateways[0], path, 0x2000 + number, "cafe"), 200, statuses)
            time.sleep(PAUSE_SECONDS)
        self.assertLessEqual(self.crashes(), MOST_PART_CRASHES, statuses)
        self.assertEqual(statuses[-5:], [503] * 5, statuses)
        for gateway in gateways:
            self.assertEqual(self.ask_part(gateway, path, 0x3000, "cafe"), 200)

    # Each guards against requests that crash engines by a part of their prompts, and of which no two are alike.
    def test_requests_with_a_part_that_crashes_engines_stop_at_every_host(self):
        self.check_part_stops(self.start_linked(3))

    def test_resumable_requests_with_a_part_that_crashes_engines_stop(self):
        self.check_part_stops(self.start_linked(2), "/resume/1")

    def test_unframed_streams_with_a_part_that_crashes_engines_stop(self):
        for writer in self.writers:
            writer.is_framed = False
        self.check_part_stops(self.start_linked(2))

    def check_part_stops_with_late_ports(self, seconds):
        self.writers += [self.platform.endpoint("llm", "decode") for _ in range(6)]
        for writer in self.writers:
            writer.crashes_on = self.is_deadly
            writer.port_seconds, writer.down_seconds = seconds, DOWN_SECONDS
        self.check_part_stops(self.start_linked(3))

    # Each guards against engines that end one after the other until the registry shows it, since their ports close later than
    # their connections.
    def test_requests_with_a_part_that_crashes_engines_stop_although_ports_close_after_connections(self):
        self.check_part_stops_with_late_ports(0.01)

    def test_requests_with_a_part_that_crashes_engines_stop_although_ports_close_late(self):
        self.check_part_stops_with_late_ports(0.1)

    def test_requests_with_a_part_that_crashes_engines_stop_although_ports_close_seconds_late(self):
        self.check_part_stops_with_late_ports(2.0)

    # Guards against a part that all requests share, and that is blocked with the one that crashes engines.
    def test_sound_requests_with_the_same_first_part_are_served(self):
        gateways = self.start_linked(3)
        statuses = []
        for number in range(8):
            self.ask_part(gateways[number % 3], "/write/1", 0x1000 + number)
            time.sleep(PAUSE_SECONDS)
        for number in range(20):
            statuses.append(self.ask_part(gateways[number % 3], "/write/1", 0x2000 + number, "cafe"))
        self.assertEqual(statuses, [200] * 20)

    # Guards against callers who are refused since endpoints crash for reasons of their own.
    def test_requests_that_did_not_cause_crashes_are_served(self):
        gateways = self.start_linked(3)
        served = []

        def go_on(gateway):
            for _ in range(40):
                served.append(self.ask(gateway, "/write/1"))

        callers = [threading.Thread(target=go_on, args=(gateway,)) for gateway in gateways for _ in range(2)]
        for caller in callers:
            caller.start()
        for writer in self.writers[:5]:
            time.sleep(PAUSE_SECONDS)
            writer.crash()
        for caller in callers:
            caller.join()
        wait_until(lambda: all(not writer.crashing.locked() for writer in self.writers), "all engines to be back")
        self.assertEqual([self.ask(gateway, "/write/1") for gateway in gateways], [200] * 3)
        self.assertGreater(served.count(200), len(served) * 0.9, served)


if __name__ == "__main__":
    unittest.main()
