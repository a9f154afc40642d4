"""Events that are held for a short time while packets are being lost. Loss is seen from an engine's bursts after pauses."""

import http.client
import re
import signal
import threading
import time
import unittest

from gatewayprocess import SIZE, ids, send
from platformtest import PlatformTest
from standin import wait_until
from userplatform import events_in, route

ROUTES = [route("/write/", "stream", "llm"), route("/resume/", "stream", "llm", max_attempts=2, resumable=True)]
HOLD_SECONDS = 1
SETTING = f"[streams]\nlatest_event_ms = {HOLD_SECONDS * 2000}\n"
EVENTS = 20
PAUSE_SECONDS = 0.03


def metric(gateway, name):
    text = send(gateway.ready, "GET", "/metrics")[2].decode()
    found = re.search(rf"^fescuesill_gateway_{re.escape(name)} (\S+)$", text, re.MULTILINE)
    return float(found.group(1)) if found else 0.0


def relayed(gateway):
    """Events and the writes that carried them."""
    return tuple(metric(gateway, f'relayed_total{{of="{what}"}}') for what in ("events", "writes"))


def holds(gateway):
    return metric(gateway, 'state{of="event_loss"}') == 1


def write(gateway, path="/write/1"):
    """The events that the caller got, and whether the stream came whole."""
    try:
        status, _, body = send(gateway.callers, "POST", path, b"prompt", **SIZE)
        assert status == 200, (status, body)
        return [number for number, _ in events_in(body)], True
    except http.client.IncompleteRead as error:
        return [number for number, _ in events_in(error.partial)], False


class LateEventsTest(PlatformTest):
    def setUp(self):
        super().setUp()
        self.platform.endpoint("llm", "prefill")
        self.engines = [self.platform.endpoint("llm", "decode") for _ in range(3)]
        self.platform.configure(ROUTES)

    def all_engines(self, **attributes):
        for engine in self.engines:
            for name, value in attributes.items():
                setattr(engine, name, value)

    def send_bursts(self, gateways):
        """Streams with stalls at each gateway."""
        self.all_engines(burst=3, pause_seconds=0.3)
        threads = [threading.Thread(target=write, args=(gateway,)) for gateway in gateways for _ in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.all_engines(burst=1, pause_seconds=PAUSE_SECONDS, events=EVENTS)

    def start_holding(self):
        """Three gateways that hold events, the leader first."""
        gateways = self.start_linked(3, more=SETTING)
        self.send_bursts(gateways)
        wait_until(lambda: all(holds(gateway) for gateway in gateways), "the verdict at all gateways")
        self.assertIn("event=event_loss seen=yes", gateways[0].log())
        return gateways

    # Guards against held events that are dropped when their engine breaks off.
    def test_held_events_are_written_before_a_broken_stream_ends(self):
        gateway = self.start_holding()[1]
        for behaviour in ("half", "half_reset"):
            for is_framed in (True, False):
                with self.subTest(behaviour=behaviour, is_framed=is_framed):
                    self.all_engines(behave=behaviour, is_framed=is_framed, breaks_at=9)
                    events, writes = relayed(gateway)
                    self.assertEqual(write(gateway), (list(range(1, 9)), False))
                    after = relayed(gateway)
                    self.assertEqual(after[0] - events, 8)
                    self.assertLess(after[1] - writes, 4, "events were not held")

    # Guards against events that are lost, repeated or out of order where a stream with held events goes on at another engine.
    def test_held_events_are_written_before_a_stream_goes_on_elsewhere(self):
        gateway = self.start_holding()[1]
        self.all_engines(behave="half_first", breaks_at=9)
        events, writes = relayed(gateway)
        self.assertEqual(write(gateway, "/resume/1"), (list(range(1, EVENTS + 1)), True))
        after = relayed(gateway)
        self.assertEqual(after[0] - events, EVENTS)
        self.assertLess(after[1] - writes, EVENTS / 2, "events were not held")

    # Guards against streams that lose held events, or hosts that no longer hold them, when the leader is lost.
    def test_streams_go_on_when_the_leader_is_killed(self):
        leader, *others = self.start_holding()
        self.all_engines(events=60)
        results = []
        threads = [threading.Thread(target=lambda at=gateway: results.append(write(at))) for gateway in others for _ in range(2)]
        for thread in threads:
            thread.start()
        wait_until(lambda: sum(len(engine.seen) for engine in self.engines) >= 10, "the streams")
        time.sleep(PAUSE_SECONDS * 10)
        leader.send(signal.SIGKILL)
        for thread in threads:
            thread.join()
        self.assertEqual(results, [(list(range(1, 61)), True)] * 4)
        wait_until(lambda: any(gateway.leads() for gateway in others), "the next leader")
        self.assertTrue(all(holds(gateway) for gateway in others))

    # Guards against held events that wait for an engine that has stopped.
    def test_events_are_held_for_half_of_the_setting(self):
        gateway = self.start_holding()[1]
        self.all_engines(behave="stall")
        self.assertAlmostEqual(self.seconds_to_the_second_event(gateway), HOLD_SECONDS, delta=0.5)

    # Guards against events that are held although the setting is left out.
    def test_events_are_forwarded_as_they_come_without_the_setting(self):
        gateways = self.start_linked(3)
        self.send_bursts(gateways)
        self.assertFalse(any(holds(gateway) for gateway in gateways))
        events, writes = relayed(gateways[1])
        self.assertEqual(write(gateways[1]), (list(range(1, EVENTS + 1)), True))
        after = relayed(gateways[1])
        self.assertEqual(after[0] - events, EVENTS)
        self.assertGreater(after[1] - writes, EVENTS * 0.8)
        self.all_engines(behave="stall")
        self.assertLess(self.seconds_to_the_second_event(gateways[1]), HOLD_SECONDS / 2)
        self.assertFalse(any("event=event_loss" in gateway.log() for gateway in gateways))

    @staticmethod
    def seconds_to_the_second_event(gateway):
        """After the first one; the engine stops after both."""
        name, port = gateway.callers.split(":")
        connection = http.client.HTTPConnection(name, int(port), timeout=20)
        try:
            headers = {"Host": "shop.example", "X-Request-Id": next(ids), "X-Deadline-Ms": "4000",
                       **{key.replace("_", "-"): value for key, value in SIZE.items()}}
            connection.request("POST", "/write/1", b"prompt", headers)
            reply = connection.getresponse()
            body, times = b"", []
            while len(times) < 2:
                body += reply.read1(4096)
                times += [time.monotonic()] * (len(events_in(body)) - len(times))
            return times[1] - times[0]
        finally:
            connection.close()


if __name__ == "__main__":
    unittest.main()
