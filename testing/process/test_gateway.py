"""The gateway against a stand-in of the users' platform, as separate processes."""

import http.client
import pathlib
import signal
import socket
import subprocess
import threading
import unittest

from gatewayprocess import SIZE, send
from platformtest import PlatformTest
from standin import binary, wait_until
from userplatform import EVENTS, route


class GatewayTest(PlatformTest):
    def setUp(self):
        super().setUp()
        self.one = self.platform.endpoint("booking")
        self.two = self.platform.endpoint("booking")
        self.reader = self.platform.endpoint("llm", "prefill")
        self.writers = [self.platform.endpoint("llm", "decode") for _ in range(2)]
        self.routes = [route("/book/", "unsafe", "booking"), route("/look/", "safe", "booking", max_attempts=2),
                       route("/write/", "stream", "llm"),
                       route("/resume/", "stream", "llm", max_attempts=2, resumable=True)]
        self.platform.configure(self.routes)

    def runs(self, request_id=None):
        return [run for endpoint in (self.one, self.two) for run in endpoint.seen
                if request_id in (None, run["id"])]

    def both(self, behaviour):
        self.one.behave = self.two.behave = behaviour

    def test_a_call_and_its_answer_pass_unchanged(self):
        gateway = self.start()
        status, headers, body = send(gateway.callers, "POST", "/book/7?a=%20b", b"\x00body", X_Request_Id="abc",
                                     X_Kv_Hold="forged", X_Stage="prefill", Content_Type="application/x-own")
        self.assertEqual((status, headers["X-Request-Id"]), (200, "abc"))
        (run,) = self.runs("abc")
        self.assertEqual((run["method"], run["path"], run["body"]), ("POST", "/book/7?a=%20b", b"\x00body"))
        self.assertEqual(run["headers"]["Host"], "shop.example")
        self.assertEqual(run["headers"]["Content-Type"], "application/x-own")
        self.assertNotIn("X-Kv-Hold", run["headers"])
        self.assertNotIn("X-Stage", run["headers"])
        self.assertLessEqual(int(run["headers"]["X-Deadline-Ms"]), 4000)
        self.assertTrue(headers["X-Server-Stamp"] and body.startswith(b"answer of i-"))

    def test_what_no_route_allows_is_refused(self):
        gateway = self.start()
        self.assertEqual(send(gateway.callers, "GET", "/nowhere/")[0], 404)
        self.assertEqual(send(gateway.callers, "GET", "/book/1", host="other.example")[0], 404)
        self.assertEqual(self.runs(), [])

    # On-call has the id of a failed request and the logs, and nothing else. The three kinds that operators are told of, and
    # what one host went through: each must name what decided it and the state of the registry that it was decided by.
    def test_logs_lead_from_an_id_to_its_cause(self):
        gateway = self.start()
        self.both("cut")
        send(gateway.callers, "POST", "/book/1", b"x", X_Request_Id="lost")
        for writer in self.writers:
            writer.behave = "half"
        with self.assertRaises(http.client.IncompleteRead):
            send(gateway.callers, "POST", "/write/1", b"x", X_Request_Id="half", **SIZE)
        for writer in self.writers:
            writer.behave = "full"
        send(gateway.callers, "POST", "/write/1", b"x", X_Request_Id="full", **{**SIZE, "X_Deadline_Ms": "1200"})
        log = pathlib.Path(self.folder) / "g1.log"
        wait_until(lambda: "request=full" in gateway.log(), "the refusal to be logged")
        log.write_text(gateway.log(), encoding="utf-8")
        told = {each: self.ctl("explain", each, log) for each in ("lost", "half", "full")}
        self.assertIn("run=may_have_run", told["lost"])
        self.assertIn("no_retry=not_repeatable", told["lost"])
        self.assertIn("outcome=broken_off", told["half"])
        self.assertIn("place_tried", told["half"])
        self.assertIn("reply cut short", told["half"])
        self.assertIn("run=not_run", told["full"])
        for each, text in told.items():
            self.assertRegex(text, r"registry=\d+", each)
            self.assertNotIn("missing:", text)
        span = self.ctl("timeline", "host", "g1", log)
        self.assertIn("leader_changed", span)
        self.assertIn("refused:overloaded=1", span)
        writer = self.ctl("timeline", "engine", self.writers[0].name, log)
        self.assertIn("requests", writer)

    def ctl(self, *words):
        run = subprocess.run([binary("fescuesillctl"), *map(str, words)], capture_output=True, text=True, timeout=30)
        self.assertEqual(run.returncode, 0, run.stderr)
        return run.stdout

    # An endpoint breaks off in the middle of its answer to a booking. The caller must not be told that it did not run, the
    # booking must not go to the other endpoint, and the half answer must not look like a whole one.
    def test_a_booking_whose_answer_is_lost_runs_once(self):
        gateway = self.start()
        for behaviour in ("cut", "other_id", "encoded"):
            self.both(behaviour)
            status, headers, _ = send(gateway.callers, "POST", "/book/1", b"x", X_Request_Id=behaviour)
            self.assertEqual(status, 502, behaviour)
            self.assertNotIn("X-Server-Stamp", headers)
            self.assertEqual(len(self.runs(behaviour)), 1)

    # Both endpoints say that they are full. The caller hears so at once, with a time to come back.
    def test_a_booking_that_nobody_takes_is_refused_as_not_run(self):
        gateway = self.start()
        self.both("full")
        status, headers, _ = send(gateway.callers, "POST", "/book/1", b"x")
        self.assertEqual((status, self.runs()), (503, []))
        self.assertGreater(float(headers["Retry-After"]), 0)

    # One endpoint is dead and still listed. Nothing of a booking was sent to it, so the other one may run it.
    def test_a_booking_passes_over_an_endpoint_that_cannot_be_reached(self):
        gateway = self.start()
        self.one.end()
        self.platform.endpoints.remove(self.one)
        for _ in range(6):
            self.assertEqual(send(gateway.callers, "POST", "/book/1", b"x")[0], 200)
        self.assertEqual(len(self.two.seen), 6)

    # A lookup may be repeated: an endpoint that breaks off, fails or stays silent costs the caller nothing but time.
    def test_a_lookup_is_asked_again_elsewhere(self):
        for behaviour in ("cut", "error", "mute", "full"):
            with self.subTest(behaviour):
                gateway = self.start(f"g-{behaviour}")
                self.one.behave = behaviour
                for _ in range(2):
                    self.assertEqual(send(gateway.callers, "GET", "/look/1")[0], 200)
                self.one.behave = "ok"

    # Guards against a host that gives up on the only endpoint of a service, and then has none to ask.
    def test_a_lookup_waits_for_the_only_endpoint(self):
        self.platform.remove(self.two)
        gateway = self.start()
        self.one.behave = "slow"
        self.assertEqual([send(gateway.callers, "GET", "/look/1")[0] for _ in range(3)], [200, 200, 200])

    # An endpoint sends a second answer that nobody asked for. No caller may get it.
    def test_bytes_after_an_answer_reach_nobody(self):
        gateway = self.start()
        self.both("extra")
        for _ in range(8):
            self.assertTrue(send(gateway.callers, "GET", "/look/1")[2].startswith(b"answer of "))

    def test_an_answer_without_a_length_is_whole_at_its_end(self):
        gateway = self.start()
        self.both("unframed")
        status, headers, body = send(gateway.callers, "POST", "/book/1", b"x")
        self.assertEqual((status, int(headers["Content-Length"])), (200, len(body)))

    def test_a_generation_is_read_by_one_engine_and_written_by_another(self):
        gateway = self.start()
        status, headers, body = send(gateway.callers, "POST", "/write/1", b"prompt", X_Request_Id="gen", **SIZE)
        self.assertEqual((status, headers["Content-Type"]), (200, "text/event-stream"))
        self.assertEqual(body.count(b"\n\n"), EVENTS)
        (run,) = [run for writer in self.writers for run in writer.seen]
        self.assertEqual(run["headers"]["X-Kv-Source"], f"{self.reader.address}/k1")
        self.assertTrue(run["headers"]["X-Kv-Hold"])
        self.assertIn(("POST", "/write/1"), self.reader.asked)

    # The engine dies within its third event. The route does not let another one go on: what the caller got must not look
    # whole, and no second run is made.
    def test_a_generation_that_breaks_off_does_not_look_whole(self):
        gateway = self.start()
        for writer in self.writers:
            writer.behave = "half"
        with self.assertRaises((http.client.IncompleteRead, ConnectionError)):
            send(gateway.callers, "POST", "/write/1", b"prompt", **SIZE)
        self.assertEqual(sum(len(writer.seen) for writer in self.writers), 1)

    # The same where the route allows it: the other engine goes on after the last whole event, and the caller sees each
    # event once, with no half one between.
    def test_a_resumable_generation_goes_on_at_another_engine(self):
        gateway = self.start()
        for writer in self.writers:
            writer.behave = "half"
            writer.on_half = lambda: [setattr(other, "behave", "ok") for other in self.writers]
        status, _, body = send(gateway.callers, "POST", "/resume/1", b"prompt", **SIZE)
        found = [line for line in body.split(b"\n") if line.startswith(b"id: ")]
        self.assertEqual((status, found), (200, [b"id: %d" % number for number in range(1, EVENTS + 1)]))

    # Guards against "not run" for a generation that was sent, lost its answer, and then found no place to go on.
    def test_a_generation_that_may_have_run_is_not_refused_as_not_run(self):
        def fill():
            for writer in self.writers:
                writer.behave = "full"

        gateway = self.start()
        for writer in self.writers:
            writer.behave, writer.on_half = "lost", fill
        status, _, body = send(gateway.callers, "POST", "/resume/1", b"prompt", **SIZE)
        self.assertEqual(sum(len(writer.seen) for writer in self.writers), 1)
        self.assertEqual(status, 502)
        self.assertIn(b'"may_have_run"', body)

    # All engines are full for good: the caller hears so within its target, not at its deadline.
    def test_a_generation_without_a_place_is_refused(self):
        gateway = self.start()
        for writer in self.writers:
            writer.behave = "full"
        status, headers, _ = send(gateway.callers, "POST", "/write/1", b"prompt", **SIZE)
        self.assertEqual((status, self.reader.seen), (503, []))
        self.assertGreater(float(headers["Retry-After"]), 0)

    def test_a_leaving_endpoint_gets_no_new_work(self):
        gateway = self.start()
        self.platform.register(self.one, state="draining")
        wait_until(lambda: f"endpoint={self.one.name}" in gateway.log() and "leaving=yes" in gateway.log(), "the change")
        for _ in range(10):
            send(gateway.callers, "GET", "/look/1")
        self.assertEqual((len(self.one.seen), len(self.two.seen)), (0, 10))

    # The store goes away and forgets its history meanwhile. Callers notice nothing, and a change made after its return
    # is in force.
    def test_an_outage_of_the_store_stops_nobody(self):
        gateway = self.start()
        self.platform.store.is_down = True
        wait_until(lambda: "event=store_lost" in gateway.log(), "the loss to be noticed")
        self.assertEqual(send(gateway.callers, "POST", "/book/1", b"x")[0], 200)
        self.platform.configure(self.routes + [route("/new/", "safe", "booking")])
        self.platform.store.forget_history()
        self.platform.store.is_down = False
        wait_until(lambda: send(gateway.callers, "GET", "/new/1")[0] == 200, "the change to be in force")

    # Every open connection to the store falls silent without a reset, right before an endpoint says that it leaves. Only
    # a new connection shows it: the host must notice by itself, or it goes on sending work to an endpoint that is going.
    def test_a_silent_connection_to_the_store_is_replaced(self):
        gateway = self.start()
        self.platform.silence_open_connections()
        self.platform.register(self.one, state="draining")
        wait_until(lambda: "leaving=yes" in gateway.log(), "the endpoint's leaving")
        asked = len(self.one.seen)
        for number in range(6):
            self.assertEqual(send(gateway.callers, "GET", f"/look/{number}")[0], 200)
        self.assertEqual(len(self.one.seen), asked)

    # The store writes the lease and its answers are lost. The host must find its own row and not wait for somebody else's
    # lease to end, and callers notice nothing.
    def test_lost_answers_to_the_lease_stop_nobody(self):
        self.platform.lose_answers(3)
        gateway = self.start()
        self.assertEqual(send(gateway.callers, "POST", "/write/1", b"prompt", **SIZE)[0], 200)
        wait_until(gateway.leads, "the host to lead")

    def test_rows_of_other_writers_stop_nobody(self):
        self.platform.store.put("servers", "torn", b'{"service":"booking","addr')
        self.platform.store.put("servers", "forged", b'{"service":7}')
        self.assertEqual(send(self.start().callers, "GET", "/look/1")[0], 200)

    # Two hosts, one leads. It dies: the other places generations alone at once, and leads after the lease.
    def test_another_host_leads_after_the_leader_died(self):
        first, second = self.start("g1"), self.start("g2")
        wait_until(lambda: first.leads() or second.leads(), "a leader")
        leader, other = (first, second) if first.leads() else (second, first)
        wait_until(lambda: "event=leader_reached" in other.log(), "the link")
        self.assertEqual(send(other.callers, "POST", "/write/1", b"prompt", **SIZE)[0], 200)
        leader.kill()
        self.assertEqual(send(other.callers, "POST", "/write/2", b"prompt", **SIZE)[0], 200)
        wait_until(other.leads, "the other to lead")
        self.assertEqual(send(other.callers, "POST", "/write/3", b"prompt", **SIZE)[0], 200)

    # Guards against a leader that links itself as a follower when it restarts before its lease has ended.
    def test_a_restarted_leader_does_not_follow_itself(self):
        gateway = self.start()
        wait_until(gateway.leads, "the host to lead")
        gateway.kill()
        gateway.start_again()
        wait_until(gateway.leads, "the host to lead again")
        self.assertNotIn("event=leader_reached", gateway.log())

    # The leader stops as planned while its own generation still runs: the other leads long before that host is gone.
    def test_a_stopping_leader_hands_over(self):
        first, second = self.start("g1"), self.start("g2")
        wait_until(lambda: first.leads() or second.leads(), "a leader")
        leader, other = (first, second) if first.leads() else (second, first)
        wait_until(lambda: "event=leader_reached" in other.log(), "the link")
        leader.send(signal.SIGTERM)
        wait_until(other.leads, "the other to lead")
        self.assertEqual(send(other.callers, "POST", "/write/1", b"prompt", **SIZE)[0], 200)

    # A host that follows hears of a change through its leader alone.
    def test_a_change_reaches_a_host_through_the_leader(self):
        first, second = self.start("g1"), self.start("g2")
        wait_until(lambda: first.leads() or second.leads(), "a leader")
        other = second if first.leads() else first
        wait_until(lambda: "table=servers relayed=yes" in other.log(), "the relay")
        self.platform.register(self.one, state="draining")
        self.platform.configure(self.routes + [route("/new/", "safe", "booking")])
        wait_until(lambda: send(other.callers, "GET", "/new/1")[0] == 200, "the change to be in force")
        wait_until(lambda: "leaving=yes" in other.log(), "the endpoint's leaving")

    # A planned stop: not ready at once, the generation in progress comes to its end, and the process ends by itself.
    def test_a_planned_stop_cuts_nothing_off(self):
        gateway = self.start()
        results = []
        caller = threading.Thread(target=lambda: results.append(send(gateway.callers, "POST", "/write/1", b"p", **SIZE)))
        caller.start()
        wait_until(lambda: any(writer.seen for writer in self.writers), "the generation to run")
        gateway.send(signal.SIGTERM)
        wait_until(lambda: send(gateway.ready, "GET", "/ready")[0] == 503, "not ready")
        caller.join()
        self.assertEqual((results[0][0], results[0][2].count(b"\n\n")), (200, EVENTS))
        self.assertEqual(gateway.process.wait(timeout=30), 0)

    def test_metrics_tell_outcomes_and_times(self):
        gateway = self.start()
        send(gateway.callers, "POST", "/book/1", b"x")
        send(gateway.callers, "POST", "/write/1", b"prompt", **SIZE)
        self.both("full")
        send(gateway.callers, "POST", "/book/1", b"x")
        text = send(gateway.ready, "GET", "/metrics")[2].decode()
        for line in ('fescuesill_gateway_calls_total{kind="plain",outcome="answered"} 1',
                     'fescuesill_gateway_calls_total{kind="generation",outcome="whole"} 1',
                     'fescuesill_gateway_refused_total{code="overloaded",run="not_run"} 1',
                     'fescuesill_gateway_seconds_count{of="first_event"} 1', 'fescuesill_gateway_state{of="leading"} '):
            self.assertIn(line, text)

    # A caller smuggles a second call behind the first by giving its length twice. It is refused, and nothing runs.
    def test_ambiguous_framing_is_refused(self):
        gateway = self.start()
        hidden = b"POST /book/9 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: hidden\r\nContent-Length: 0\r\n\r\n"
        for framing in (b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                        b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
                        b"Content-Length: 0\r\nContent-Length: 90\r\n\r\n", b"Content-Length: +5\r\n\r\n",
                        b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"):
            name, port = gateway.callers.split(":")
            with socket.create_connection((name, int(port)), timeout=20) as connection:
                connection.sendall(b"POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: first\r\n" + framing + hidden)
                self.assertIn(connection.recv(4096)[:12], (b"HTTP/1.1 400", b""), framing)
        self.assertEqual(self.runs("hidden"), [])


if __name__ == "__main__":
    unittest.main()
