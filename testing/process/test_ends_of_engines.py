"""Streams without framing, which end with the connection of an engine that ends, and events that do not continue a stream."""

import contextlib
import http.client
import re
import threading
import time
import unittest

from gatewayprocess import SIZE, send
from platformtest import PlatformTest
from proxy import Proxy
from standin import wait_until
from test_broken_off_answers import World
from userplatform import EVENTS, events_in


class EndsOfEnginesWorld(World):
    """Engines that end after three events of a stream without framing, which ends in order with their connection."""

    def setUp(self):
        super().setUp()
        for writer in self.writers:
            writer.is_framed, writer.ends_in_order = False, True
            writer.crash_events, writer.down_seconds = 3, 30

    def start(self, name="g1", **options):
        """Without proxies between: their ports would stay when an engine ends."""
        return PlatformTest.start(self, name, **options)

    def send_to_one_that_ends(self, gateway, path="/write/1", before_end=lambda writer: None):
        """The status and the ids of the events that the caller gets, or None in place of the status of a part."""
        writer = self.writers[0]
        self.platform.remove(self.writers[1])
        wait_until(lambda: f"event=endpoint_removed endpoint={self.writers[1].name}" in gateway.log(), "the removal")

        def ends(_request, _body):
            threading.Thread(target=before_end, args=(writer,), daemon=True).start()
            return True

        writer.pause_seconds, writer.crashes_on = 0.2, ends
        try:
            status, _, body = send(gateway.callers, "POST", path, b"prompt", **SIZE)
        except (http.client.IncompleteRead, ConnectionError) as torn:
            status, body = None, getattr(torn, "partial", b"")
        return status, [number for number, _ in events_in(body)]

    def check_part(self, gateway, before_end=lambda writer: None):
        status, events = self.send_to_one_that_ends(gateway, before_end=before_end)
        self.assertEqual((status, events), (None, [1, 2, 3]))

    def set_row(self, gateway, writer, **row):
        self.platform.register(writer, **row)
        wait_until(lambda: re.search(f"event=endpoint_changed endpoint={writer.name} .*leaving=yes", gateway.log()), "the row")


class EndsOfEnginesTest(EndsOfEnginesWorld):
    # Each guards against a part of a stream that looks complete since its engine ended while nobody expected it to stay, or
    # while it could not be asked.
    def test_a_stream_of_an_engine_that_drains_and_ends(self):
        gateway = self.start()
        self.check_part(gateway, lambda writer: self.set_row(gateway, writer, state="draining"))

    def test_a_stream_of_an_engine_that_is_no_longer_listed_and_ends(self):
        self.check_part(self.start(), self.platform.remove)

    def test_a_stream_of_an_engine_that_says_that_it_leaves_and_ends(self):
        self.writers[0].states_leaving = True
        self.check_part(self.start())

    def test_a_stream_of_an_engine_that_starts_again_at_once(self):
        self.writers[0].down_seconds = 0
        self.check_part(self.start())

    def test_a_stream_of_an_engine_that_closes_its_port_last(self):
        self.writers[0].port_seconds = 0.05
        self.check_part(self.start())

    def test_a_stream_of_an_engine_that_can_no_longer_be_reached(self):
        gateway = World.start(self)
        writer = self.writers[0]
        writer.on_crash.append(lambda: gateway.paths.redirect(lambda address: gateway.paths.silent_address))
        self.check_part(gateway)

    # Guards against a resumable stream that ends with its first engine although another one could go on.
    def test_a_resumable_stream_goes_on_when_its_engine_drains_and_ends(self):
        gateway = self.start()

        def drain(writer):
            self.platform.register(self.writers[1])
            self.writers[1].crashes_on = lambda request, body: False
            self.set_row(gateway, writer, state="draining")

        status, events = self.send_to_one_that_ends(gateway, "/resume/1", drain)
        self.assertEqual((status, events), (200, list(range(1, EVENTS + 1))))

    # Guards against whole streams that are broken off since their engine is leaving.
    def test_a_whole_stream_of_an_engine_that_drains(self):
        gateway = self.start()
        for writer in self.writers:
            writer.pause_seconds = 0.1
        draining = threading.Timer(0.2, lambda: [self.set_row(gateway, writer, state="draining") for writer in self.writers])
        draining.start()
        status, _, body = send(gateway.callers, "POST", "/write/1", b"prompt", **SIZE)
        draining.join()
        self.assertEqual((status, len(events_in(body))), (200, EVENTS))

    # Each guards against the part of a plain answer that looks whole: its endpoint was leaving, or closes its port last.
    def test_a_plain_answer_of_an_endpoint_that_is_no_longer_listed_and_ends(self):
        self.check_plain(self.platform.remove)

    def test_a_plain_answer_of_an_endpoint_that_closes_its_port_last(self):
        for endpoint in self.plain:
            endpoint.port_seconds = 0.05
        self.check_plain(lambda endpoint: None)

    def check_plain(self, before_end):
        gateway = self.start()
        for endpoint in self.plain:
            endpoint.ends_in_order, endpoint.down_seconds, endpoint.crash_delay = True, 30, 0.3
            endpoint.crashes_on = lambda request, body, ending=endpoint: before_end(ending) or True
        self.assertEqual(send(gateway.callers, "POST", "/book/1", b"x")[0], 502)


class EndsSeenOnlyInReportsTest(EndsOfEnginesWorld):
    """The port of an engine that has ended accepts connections on: it closes late, a proxy stays, or another engine is there."""

    def start_behind_proxy(self, without_target="reset"):
        gateway = World.start(self)
        for proxy in gateway.paths.proxies.values():
            proxy.without_target = without_target
        return gateway

    def check_late_port(self, seconds, before_end=lambda writer: None):
        self.writers[0].port_seconds = seconds
        self.check_part(self.start(), before_end)

    # Each guards against a part of a stream that looks whole since something accepts connections at its engine's address.
    def test_a_stream_of_an_engine_that_ends_behind_a_proxy(self):
        self.check_part(self.start_behind_proxy())

    def test_a_stream_of_an_engine_that_ends_behind_a_proxy_that_closes_in_order(self):
        self.check_part(self.start_behind_proxy(without_target="close"))

    def test_a_stream_of_an_engine_that_closes_its_port_some_time_later(self):
        self.check_late_port(0.4)

    def test_a_stream_of_an_engine_that_closes_its_port_much_later(self):
        self.check_late_port(1.5)

    def test_a_stream_of_an_engine_that_drains_and_closes_its_port_much_later(self):
        gateway = self.start()
        self.writers[0].port_seconds = 1.5
        self.check_part(gateway, lambda writer: self.set_row(gateway, writer, state="draining"))

    def test_a_stream_of_an_engine_that_is_no_longer_listed_and_closes_its_port_much_later(self):
        self.check_late_port(1.5, self.platform.remove)

    def test_a_stream_of_an_engine_whose_address_another_one_has_taken(self):
        gateway, writer = self.start_behind_proxy(), self.writers[0]
        writer.down_seconds = 0.02
        writer.on_crash.append(lambda: setattr(writer, "name", "i-another"))
        self.check_part(gateway)

    def test_a_stream_of_an_engine_that_is_back_before_its_row_says_so(self):
        self.check_back_unseen(lambda writer: None)

    def test_a_stream_of_an_engine_that_is_back_and_knows_no_report(self):
        self.check_back_unseen(lambda writer: setattr(writer, "report_status", 404))

    def test_a_stream_of_an_engine_that_is_back_and_turns_requests_away(self):
        self.check_back_unseen(lambda writer: setattr(writer, "report_status", 503))

    def test_a_stream_of_an_engine_whose_proxy_answers_for_it(self):
        self.check_back_unseen(lambda writer: setattr(writer, "report_status", 502))

    def test_a_stream_of_an_engine_that_is_back_and_rests(self):
        def rest(writer):
            writer.rests, writer.rest_seconds = frozenset(["report"]), 0.2

        self.check_back_unseen(rest)

    def check_back_unseen(self, prepare):
        gateway, writer = self.start_behind_proxy(), self.writers[0]
        writer.down_seconds = 0.02
        writer.on_back.clear()
        writer.on_crash = [lambda: prepare(writer)]
        self.check_part(gateway)

    # Guards against a part that looks whole since its engine, which is exiting, was asked too soon for want of time.
    def test_a_stream_that_ends_shortly_before_its_deadline(self):
        gateway, writer = self.start(), self.writers[0]
        self.platform.remove(self.writers[1])
        wait_until(lambda: f"event=endpoint_removed endpoint={self.writers[1].name}" in gateway.log(), "the removal")
        writer.pause_seconds, writer.events, generate = 0.2, 3, writer.generate

        def generate_and_exit(request, body):
            generate(request, body)
            threading.Timer(0.3, writer.crash).start()

        writer.generate = generate_and_exit
        with self.assertRaises((http.client.IncompleteRead, ConnectionError)):
            send(gateway.callers, "POST", "/write/1", b"prompt", X_Deadline_Ms=900, **SIZE)

    # Guards against a part of a stream that looks whole although its living engine has made more events of it.
    def test_a_stream_that_a_living_engine_ends_early(self):
        gateway, writer = self.start(), self.writers[0]
        self.platform.remove(self.writers[1])
        wait_until(lambda: f"event=endpoint_removed endpoint={self.writers[1].name}" in gateway.log(), "the removal")
        writer.behave, writer.breaks_at = "short", 4
        self.check_incomplete(gateway, "/write/1")

    # Guards against a resumable stream that ends with its first engine, whose port stays, although another one could go on.
    def test_a_resumable_stream_goes_on_when_its_engine_ends_behind_a_proxy(self):
        self.check_goes_on(self.start_behind_proxy())

    def test_a_resumable_stream_goes_on_when_its_engine_closes_its_port_much_later(self):
        self.writers[0].port_seconds = 1.5
        self.check_goes_on(self.start())

    def check_goes_on(self, gateway):
        def add_another(_writer):
            self.writers[1].crashes_on = lambda request, body: False
            self.platform.register(self.writers[1])

        status, events = self.send_to_one_that_ends(gateway, "/resume/1", add_another)
        self.assertEqual((status, events), (200, list(range(1, EVENTS + 1))))


class WholeUnframedStreamsTest(EndsOfEnginesWorld):
    """Whole streams that end with their connection, of engines that live on."""

    def setUp(self):
        super().setUp()
        self.writer = self.writers[0]
        self.writer.pause_seconds = 0.1
        self.platform.remove(self.writers[1])

    def check_whole(self, gateway, evidence="report", path="/write/1"):
        status, _, body = send(gateway.callers, "POST", path, b"prompt", **SIZE)
        self.assertEqual((status, [number for number, _ in events_in(body)]), (200, list(range(1, EVENTS + 1))))
        wait_until(lambda: "outcome=whole" in gateway.log(), "the end")
        ends = re.findall(r"outcome=whole .*end_evidence=(\w+)", gateway.log())
        self.assertEqual(set(ends), {evidence})

    # Each guards against whole streams that are broken off since their engine could not be asked at once.
    def test_behind_a_proxy(self):
        self.check_whole(World.start(self))

    def test_on_a_resumable_route(self):
        self.check_whole(self.start(), path="/resume/1")

    def test_of_an_engine_that_falls_silent_after_it(self):
        self.writer.silent_seconds = 1.0
        self.check_whole(self.start())

    def test_of_an_engine_with_a_limit(self):
        gateway = self.start()
        self.writer.limit = 2
        for _ in range(3):
            self.check_whole(gateway)

    def test_of_an_engine_whose_report_states_no_start(self):
        self.writer.states_start = False
        self.check_whole(self.start(), evidence="answer")

    def test_of_an_engine_that_started_again_before_it_while_the_store_was_silent(self):
        for path in ("/write/1", "/resume/1"):
            with self.subTest(path):
                store = Proxy(self.platform.address)
                self.addCleanup(store.end)
                gateway = self.start(f"g-{path[1:-2]}", store=store.address)
                store.mode = "silent"
                is_back = threading.Event()
                self.writer.on_back.append(is_back.set)
                self.writer.down_seconds = 0.1
                self.writer.crash()
                self.assertTrue(is_back.wait(5))
                self.check_whole(gateway, path=path)
                self.assertNotIn("event=endpoint_ended_with_answer", gateway.log())

    def test_on_a_resumable_route_of_engines_that_fall_silent_after_it(self):
        self.platform.register(self.writers[1])
        for writer in self.writers:
            writer.silent_seconds, writer.pause_seconds = 1.0, 0.1
        self.check_whole(self.start(), path="/resume/1")

    def test_of_an_engine_that_did_not_report_its_start_at_first(self):
        report, asked = self.writer.report, []

        def report_late(request):
            asked.append(request)
            time.sleep(0.5 if len(asked) == 1 else 0)
            report(request)

        self.writer.report, self.writer.silent_seconds = report_late, 1.0
        self.check_whole(self.start(), path="/resume/1")

    # Guards against a request to an engine that has asked this host for rest, too.
    def test_of_an_engine_that_rests(self):
        gateway = self.start()
        asked = []

        def ask_for_rest():
            self.writer.rests, self.writer.rest_seconds = frozenset(["hold"]), 1.5
            with contextlib.suppress(ConnectionError, http.client.HTTPException):
                send(gateway.callers, "POST", "/write/2", b"prompt", X_Deadline_Ms=200, **SIZE)
            asked.append(next(at for at, kind in self.writer.arrivals[1:] if kind == "hold"))

        second = threading.Timer(0.25, ask_for_rest)
        second.start()
        self.check_whole(gateway)
        second.join()
        in_rest = [kind for at, kind in self.writer.arrivals if asked[0] + 0.2 < at < asked[0] + 1.5]
        self.assertEqual(in_rest, [])

    # Guards against a request for each of the streams that end at an engine that is slow to answer.
    def test_of_many_streams_at_once(self):
        gateway = self.start()
        self.writer.silent_seconds = 1.0
        results = []
        threads = [threading.Thread(target=lambda: results.append(send(gateway.callers, "POST", "/write/1", b"p", **SIZE)))
                   for _ in range(6)]
        begin = time.monotonic()
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual([(status, len(events_in(body))) for status, _, body in results], [(200, EVENTS)] * 6)
        first_end = begin + EVENTS * self.writer.pause_seconds
        reports = sum(kind == "report" and at > first_end for at, kind in self.writer.arrivals)
        self.assertLess(reports, len(threads))


class EventsOutOfOrderTest(World):
    def check_order(self, gateway, path, **headers):
        try:
            status, _, body = send(gateway.callers, "POST", path, b"prompt", **SIZE, **headers)
        except (http.client.IncompleteRead, ConnectionError) as torn:
            status, body = None, getattr(torn, "partial", b"")
        events = [int(number) for number in re.findall(rb"id: (\d+)\n", body)]
        begin = int(headers.get("Last_Event_Id", 0)) + 1
        self.assertEqual(events, list(range(begin, begin + len(events))), body)
        self.assertNotIn(b"HTTP/1.1", body)
        if status == 200:
            self.assertEqual(begin + len(events) - 1, EVENTS)

    # Guards against events that come twice since the engine that goes on with a stream begins it anew.
    def test_a_run_that_begins_anew_is_not_joined(self):
        gateway = self.start()
        for writer in self.writers:
            writer.ignores_last_event = True
        self.all_write("half", is_framed=True)
        for writer in self.writers:
            writer.on_half = lambda: [setattr(other, "behave", "ok") for other in self.writers]
        self.check_order(gateway, "/resume/1")
        self.check_order(gateway, "/resume/1", Last_Event_Id=3, Resumes="none")

    # Guards against a second answer that is taken for events of the stream before it.
    def test_a_second_answer_is_not_joined(self):
        gateway = self.start()
        self.all_write("extra")
        self.check_order(gateway, "/write/1")


if __name__ == "__main__":
    unittest.main()
