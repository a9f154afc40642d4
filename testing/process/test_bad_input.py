"""Bad input from every side gives a clear error; the process lives on and holds nothing."""

import http.client
import json
import os
import socket
import unittest

from cluster import MODEL, Cluster
from standin import call, wait_until

CLOSE_SECONDS = 60  # generous: the product's own limits are a few seconds


class BadInputTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = Cluster()
        cls.addClassCleanup(cls.cluster.end)
        cls.cluster.start()
        cls.host = cls.cluster.hosts[0]

    def tearDown(self):
        """Whatever was sent, the host still serves and no engine holds memory for it."""
        self.assertEqual(self.cluster.complete(self.host, "a log nonce=after .")[0], 200)
        self.assertEqual(self.cluster.book(self.host, f"after-{self.id().split('.')[-1]}")[0], 200)
        wait_until(lambda: not self.cluster.streams(), "the memory to be free")
        self.assertTrue(self.host.entry.is_running() and self.host.scheduler.is_running())

    def ask(self, method, target, body=None, **headers):
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        return call(method, self.host.callers, target, body, {"X-Workspace": "w1", **named})

    def expect(self, reply, status, code):
        self.assertEqual(reply[0], status, reply)
        self.assertEqual((reply[1]["error"]["code"], reply[1]["error"]["run"]), (code, "not_run"))

    def raw(self, data, address=None):
        """Sends bytes and returns all that comes back until the other end closes."""
        host, port = (address or self.host.callers).split(":")
        with socket.create_connection((host, int(port)), timeout=CLOSE_SECONDS) as connection:
            reply = b""
            try:
                connection.sendall(data)
                while True:
                    more = connection.recv(65536)
                    if not more:
                        return reply
                    reply += more
            except ConnectionError:
                return reply

    def test_an_oversized_header(self):
        reply = self.raw(b"GET /lookups/1 HTTP/1.1\r\nHost: x\r\nX-Workspace: " + b"w" * 1_000_000 + b"\r\n\r\n")
        self.assertTrue(reply == b"" or reply.split()[1] in (b"400", b"413", b"431"), reply[:200])

    def test_an_oversized_body(self):
        reply = self.raw(b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Workspace: w1\r\nContent-Length: 900000000\r\n\r\n{")
        self.assertEqual(reply.split()[1], b"413", reply)
        self.assertIn(b"too_large", reply)

    def test_broken_json(self):
        for body in ('{"model": ', "[]", '{"model": 7}', "\x00", json.dumps({"model": MODEL, "prompt": "x", "max_tokens": -5})):
            self.expect(self.ask("POST", "/v1/completions", body), 400, "bad_request")

    def test_a_chunked_body_cut_short(self):
        host, port = self.host.callers.split(":")
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(b"POST /bookings HTTP/1.1\r\nHost: x\r\nX-Workspace: w1\r\nIdempotency-Key: cut-short\r\n"
                               b"Transfer-Encoding: chunked\r\n\r\n40\r\n{\"item\":")
            connection.shutdown(socket.SHUT_WR)
            while connection.recv(65536):
                pass
        self.assertEqual(self.cluster.executions("cut-short"), 0)

    # A caller sends a byte now and then and would hold its place for hours.
    def test_a_slow_drip(self):
        host, port = self.host.callers.split(":")
        with socket.create_connection((host, int(port)), timeout=0.2) as connection:
            def is_closed():
                try:
                    connection.sendall(b"X")
                    return not connection.recv(65536)
                except TimeoutError:
                    return False
                except ConnectionError:
                    return True
            connection.sendall(b"POST /bookings HTTP/1.1\r\nX-Drip: ")
            wait_until(is_closed, "the entry to close the connection", CLOSE_SECONDS)

    def test_an_unknown_service(self):
        body = {"model": "no-such-model", "prompt": "x", "max_tokens": 5}
        self.expect(self.ask("POST", "/v1/completions", body), 404, "unknown_service")
        self.expect(self.ask("GET", "/no-such-route"), 404, "unknown_service")

    def test_a_wrong_method(self):
        self.expect(self.ask("DELETE", "/bookings", Idempotency_Key="wrong-method"), 405, "method_not_allowed")
        self.expect(self.ask("GET", "/v1/completions"), 405, "method_not_allowed")

    def test_a_bad_idempotency_key(self):
        self.expect(self.ask("POST", "/bookings", {"item": 1}), 400, "bad_idempotency_key")
        self.expect(self.ask("POST", "/bookings", {"item": 1}, Idempotency_Key="k" * 5000), 400, "bad_idempotency_key")

    # The same key with another body is another booking under a used name: answering it with the first one's answer would
    # tell a clerk that a motor was booked which was not.
    def test_a_key_used_before_with_another_body(self):
        self.assertEqual(self.ask("POST", "/bookings", {"item": 1}, Idempotency_Key="used")[0], 200)
        status, reply = self.ask("POST", "/bookings", {"item": 2}, Idempotency_Key="used")
        self.assertEqual((status, reply["error"]["code"]), (400, "bad_idempotency_key"))
        self.assertEqual(self.cluster.executions("used"), 1)

    def test_a_forged_resume_token(self):
        for token in ("nonsense", "A" * 4000, "eyJmb28iOiJiYXIifQ.AAAA.7"):
            status, reply = self.ask("GET", "/v1/streams", Last_Event_ID=token)
            self.assertEqual((status, reply["error"]["code"]), (403, "bad_resume_token"), token)

    def test_nonsense_on_the_internal_port(self):
        self.raw(os.urandom(4096) + b"\r\n\r\n", self.host.peers)
        upgrade = (b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                   b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n")
        # A masked binary frame whose payload is no CBOR.
        self.raw(upgrade + b"\x82\x88\x00\x00\x00\x00\xff\xff\xff\xff\xff\xff\xff\xff", self.host.peers)
        host, port = self.host.peers.split(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            for size in (0, 1, 100, 9000):
                probe.sendto(os.urandom(size), (host, int(port)))
        self.assertEqual(call("GET", self.host.scheduler_admin, "/healthz")[0], 200)

    # The table's reply to the record of a booking is cut short on its way. Whether the record was written is not known,
    # so the entry reads it back before it decides anything.
    def test_a_table_reply_that_does_not_parse(self):
        self.cluster.fault(prefix="call/", garbage_next=1)
        status, reply = self.cluster.book(self.host, "garbled")
        self.cluster.fault()
        ran = self.cluster.executions("garbled")
        self.assertLessEqual(ran, 1)
        if status == 200:
            self.assertEqual(ran, 1)
        elif reply["error"]["run"] == "not_run":
            self.assertEqual(ran, 0)


if __name__ == "__main__":
    unittest.main()
