"""Requests that crash endpoints where the crashes overlap, look like answers, or come before or after an answer."""

import contextlib
import socket
import threading
import time
import unittest

from crashtest import DEADLY, MOST_CRASHES, PAUSE_SECONDS, CrashTest
from gatewayprocess import SIZE, ids
from standin import wait_until

COPIES = 3  # of one request, sent at once
LEFT_PAUSE_SECONDS = 1.0  # after a caller has left, before the next: its engine is looked at after half a second


class CrashesHardToSeeTest(CrashTest):
    def check_stops(self, gateways, path, times=8, most=MOST_CRASHES):
        statuses = []
        for number in range(times):
            statuses.append(self.ask(gateways[number % len(gateways)], path, DEADLY))
            time.sleep(PAUSE_SECONDS)
        self.assertLessEqual(self.crashes(), most, statuses)
        self.assertEqual(statuses[-3:], [503] * 3, statuses)
        for gateway in gateways:
            wait_until(lambda: self.ask(gateway, path.replace("deadly", "sound")) == 200, "a sound request")

    def check_copies_stop(self, path, waves=5):
        gateways = self.start_linked(COPIES)
        for _ in range(waves):
            copies = [threading.Thread(target=self.ask, args=(gateway, path, DEADLY)) for gateway in gateways]
            for copy in copies:
                copy.start()
            for copy in copies:
                copy.join()
            time.sleep(PAUSE_SECONDS)
        # The wave under which the third endpoint ends may be on its way to as many more.
        self.assertLessEqual(self.crashes(), MOST_CRASHES - 1 + COPIES)

    # Each guards against a request whose copies are sent at the same time, so that the endpoints end together.
    def test_copies_of_a_generation_stop(self):
        self.check_copies_stop("/write/1")

    def test_copies_of_a_repeatable_call_stop(self):
        self.check_copies_stop("/look/deadly")

    def test_copies_of_a_call_that_runs_once_stop(self):
        self.check_copies_stop("/book/1")

    # Guards against a request that ends the engines that read its prompt, before any writes an answer.
    def test_a_request_that_crashes_the_engines_that_read_its_prompt_stops(self):
        self.readers += [self.platform.endpoint("llm", "prefill") for _ in range(5)]
        for reader in self.readers:
            reader.crashes_on = self.is_deadly
        for writer in self.writers:
            writer.crashes_on = lambda request, body: False
        gateways = self.start_linked(3)
        for number in range(8):
            self.ask(gateways[number % 3], "/write/1", DEADLY)
            time.sleep(PAUSE_SECONDS)
        self.assertLessEqual(self.crashes(), MOST_CRASHES)
        for gateway in gateways:
            wait_until(lambda: self.ask(gateway, "/write/1") == 200, "a sound request")

    # Each guards against an engine whose end looks like the end of its answer.
    def test_an_unframed_stream_that_ends_in_order_with_its_engine_is_broken_off(self):
        for writer in self.writers:
            writer.is_framed, writer.ends_in_order, writer.crash_events = False, True, 2
        gateways = self.start_linked(3)
        self.assertEqual(self.ask(gateways[0], "/write/1", DEADLY), 0)
        self.check_stops(gateways, "/write/1")

    def test_a_plain_answer_that_ends_in_order_with_its_endpoint_is_none(self):
        for endpoint in self.plain:
            endpoint.ends_in_order = True
        gateways = self.start_linked(3)
        self.assertNotEqual(self.ask(gateways[0], "/book/1", DEADLY), 200)
        self.check_stops(gateways, "/book/1")

    # Guards against an endpoint that fails a call without running it, which is taken for proof that the call is sound.
    def test_an_error_in_between_does_not_clear_a_request(self):
        gateways = self.start_linked(3)
        for number in range(8):
            self.ask(gateways[number % 3], "/book/1", DEADLY)
            for endpoint in self.plain:
                endpoint.crashes_on, endpoint.behave = (lambda request, body: False), "error"
            self.ask(gateways[(number + 1) % 3], "/book/1", DEADLY)
            for endpoint in self.plain:
                endpoint.crashes_on, endpoint.behave = self.is_deadly, "ok"
            time.sleep(PAUSE_SECONDS)
        self.assertLessEqual(self.crashes(), MOST_CRASHES)

    # Guards against a request whose callers have left before its engine ends.
    def test_a_request_that_its_callers_leave_stops(self):
        for writer in self.writers:
            writer.crash_delay = 0.1
        gateways = self.start_linked(3)
        for number in range(8):
            address, port = gateways[number % 3].callers.split(":")
            headers = {"Host": "shop.example", "X-Request-Id": next(ids), "X-Deadline-Ms": "4000", "X-Prompt-Prefix": "aa:200,bb:800",
                       "Content-Length": len(DEADLY), **{name.replace("_", "-"): value for name, value in SIZE.items()}}
            text = "POST /write/1 HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers.items()) + "\r\n"
            with contextlib.closing(socket.create_connection((address, int(port)))) as caller:
                caller.sendall(text.encode() + DEADLY)
                time.sleep(0.05)
            time.sleep(LEFT_PAUSE_SECONDS)
        self.assertLessEqual(self.crashes(), MOST_CRASHES)


if __name__ == "__main__":
    unittest.main()
