"""Answers whose heads are no HTTP, on every path: they are none, and no caller gets one."""

import http.client
import itertools
import json
import unittest

from enginefront import EngineFront
from gatewayprocess import SIZE, send
from platformtest import PlatformTest
from smallfleet import SmallFleet
from standin import call, wait_until
from userplatform import EVENTS, UserPlatform, route

ROUTES = [route("/book/", "unsafe", "booking"), route("/look/", "safe", "booking", max_attempts=3),
          route("/write/", "stream", "llm"), route("/resume/", "stream", "llm", max_attempts=2, resumable=True)]
STAMP = "X-Server-Stamp: broken\r\n"
OK = "HTTP/1.1 200 OK"
CHUNKED = "Transfer-Encoding: chunked"
# The first line of a head, and a field of it.
STATUSES = {f"status {status}": (f"HTTP/1.1 {status} Status", "") for status in
            ("000", "001", "020", "099", "600", "999", "101", "0", "20", "2000", "-20")}
NAMES = {
    "blank in a name": (OK, "X Other: 1\r\n"),
    "blank after a name": (OK, "X-Other : 1\r\n"),
    "blank after the name of the length": (OK, "Content-Length : 5\r\n"),
    "blank after the name of the coding": (OK, "Transfer-Encoding : chunked\r\n"),
    "tab in a name": (OK, "X\tOther: 1\r\n"),
    "control byte in a name": (OK, "X-\x01Other: 1\r\n"),
    "NUL in a name": (OK, "X-\0Other: 1\r\n"),
    "DEL in a name": (OK, "X-\x7fOther: 1\r\n"),
    "no name": (OK, ": 1\r\n"),
    "control byte in a value": (OK, "X-Other: \x01\r\n"),
}
FRAMINGS = {
    "identity": (OK, "Transfer-Encoding: identity\r\n"),
    "gzip": (OK, "Transfer-Encoding: gzip\r\n"),
    "unknown coding": (OK, "Transfer-Encoding: xchunked\r\n"),
    "chunked, gzip": (OK, f"{CHUNKED}, gzip\r\n"),
    "gzip, then chunked": (OK, f"Transfer-Encoding: gzip\r\n{CHUNKED}\r\n"),
    "gzip, chunked": (OK, "Transfer-Encoding: gzip, chunked\r\n"),
    "chunked twice": (OK, f"{CHUNKED}, chunked\r\n"),
    "chunks of HTTP/1.0": ("HTTP/1.0 200 OK", f"{CHUNKED}\r\n"),
    "coding and length": (OK, "Transfer-Encoding: gzip\r\nContent-Length: 5\r\n"),
    "two lengths": (OK, "Content-Length: 5\r\nContent-Length: 6\r\n"),
    "version 2.0": ("HTTP/2.0 200 OK", ""),
}
BROKEN = {**STATUSES, **NAMES, **FRAMINGS}
EVENT = "id: 1\ndata: broken\n\n"


def answer(form, body, more=""):
    """A broken answer: its body in a chunk where the head names any coding."""
    line, field = BROKEN[form]
    body = f"{len(body):x}\r\n{body}\r\n0\r\n\r\n" if "Transfer-Encoding" in field else body
    return f"{line}\r\nX-Request-Id: %s\r\n{STAMP}{more}{field}\r\n{body}".encode("latin-1")


class BrokenHeadsTest(PlatformTest):
    def setUp(self):
        super().setUp()
        self.plain = [self.platform.endpoint("booking") for _ in range(2)]
        self.readers = [self.platform.endpoint("llm", "prefill")]
        self.writers = [self.platform.endpoint("llm", "decode") for _ in range(2)]
        self.platform.configure(ROUTES)

    @staticmethod
    def ask(gateway, path, deadline_ms=4000):
        """The status, 0 where there is no answer, the headers and the body."""
        method, body = ("GET", None) if path.startswith("/look/") else ("POST", b"prompt")
        try:
            return send(gateway.callers, method, path, body, X_Deadline_Ms=deadline_ms, **SIZE)
        except (http.client.HTTPException, ConnectionError):
            return 0, {}, b""

    def check_no_answer(self, gateway, path, endpoints, kind, body, more=""):
        """All these endpoints answer with broken heads: each call reaches one of them, once, and its caller gets a 502."""
        for form in BROKEN:
            with self.subTest(path=path, form=form):
                self.set_raw(endpoints, {kind: answer(form, body, more)})
                before = sum(len(endpoint.seen) for endpoint in endpoints)
                status, headers, text = self.ask(gateway, path)
                self.assertEqual(status, 502)
                self.assertNotIn("X-Server-Stamp", headers)
                self.assertNotIn(body.encode(), text)
                self.assertEqual(sum(len(endpoint.seen) for endpoint in endpoints), before + 1)
        self.set_raw(endpoints, {})
        wait_until(lambda: self.ask(gateway, path)[0] == 200, "sound answers")

    @staticmethod
    def set_raw(endpoints, raw):
        for endpoint in endpoints:
            endpoint.raw = raw

    # Each guards against a caller that gets an answer, or a body, that HTTP does not allow.
    def test_plain_answers(self):
        self.check_no_answer(self.start(), "/book/1", self.plain, "plain", "broken body")

    def test_generations(self):
        self.check_no_answer(self.start(), "/write/1", self.writers, "generate", EVENT, "Content-Type: text/event-stream\r\n")

    def test_plain_answers_through_a_tunnel(self):
        _, cut = self.start_cut(lambda gateway: self.ask(gateway, "/look/1")[0] == 200)
        self.check_no_answer(cut, "/book/1", self.plain, "plain", "broken body")

    def test_generations_through_a_tunnel(self):
        _, cut = self.start_cut(lambda gateway: self.ask(gateway, "/write/1")[0] == 200)
        self.check_no_answer(cut, "/write/1", self.writers, "generate", EVENT)

    # Each guards against a call that may be repeated and ends at the endpoint that sends such a head.
    def test_repeatable_calls(self):
        gateway = self.start()
        for form in BROKEN:
            self.set_raw(self.plain[:1], {"plain": answer(form, "broken body")})
            for _ in range(3):
                status, _, body = self.ask(gateway, "/look/1")
                self.assertEqual((status, body), (200, b"answer of i-1"), form)

    def test_generations_that_go_on_elsewhere(self):
        gateway = self.start()
        for form in BROKEN:
            self.set_raw(self.writers[:1], {"generate": answer(form, EVENT)})
            for _ in range(2):
                status, _, body = self.ask(gateway, "/resume/1")
                self.assertEqual((status, body.count(b"\n\n"), b"broken" in body), (200, EVENTS, False), form)

    # Guards against a generation that goes on from what such a head brings: the decode engine reads the prompt itself.
    def test_reads_of_prompts(self):
        gateway = self.start()
        for form in BROKEN:
            self.set_raw(self.readers, {"prefill": answer(form, json.dumps({"handle": "broken", "tokens": 10, "version": 1}))})
            status, _, body = self.ask(gateway, "/write/1")
            self.assertTrue(status != 200 or body.count(b"\n\n") == EVENTS, (form, status, body))
        told = [str(seen["headers"]) for writer in self.writers for seen in writer.seen]
        self.assertTrue(told)
        self.assertFalse([headers for headers in told if "broken" in headers])

    # Guards against a generation under a reservation of such a head.
    def test_reservations(self):
        gateway = self.start()
        for form in BROKEN:
            self.set_raw(self.writers, {"hold": answer(form, json.dumps({"hold": "broken"}))})
            self.assertNotEqual(self.ask(gateway, "/write/1", 500)[0], 200, form)
        self.assertFalse([seen for writer in self.writers for seen in writer.seen if seen["path"].startswith("/write/")])

    # Guards against a notice that is taken from such a head: the endpoint does not leave.
    def test_notices(self):
        gateway = self.start()
        for form in BROKEN:
            self.set_raw(self.plain, {"plain": answer(form, "broken body", "Server-Leaving: 1\r\n")})
            self.ask(gateway, "/book/1")
        self.set_raw(self.plain, {})
        self.assertEqual(self.ask(gateway, "/book/1")[0], 200)
        self.assertNotIn("event=endpoint_states_leaving", gateway.log())

    def test_notices_through_a_tunnel(self):
        other, cut = self.start_cut(lambda gateway: self.ask(gateway, "/look/1")[0] == 200)
        for form in BROKEN:
            self.set_raw(self.plain, {"plain": answer(form, "broken body", "Server-Leaving: 1\r\n")})
            self.ask(cut, "/book/1")
        self.assertNotIn("event=endpoint_states_leaving", other.log() + cut.log())

    # Guards against an answer that names another request too, and is taken for the one to this request.
    def test_answers_that_name_two_requests(self):
        gateway = self.start()
        head = f"{OK}\r\nX-Request-Id: %s\r\nX-Request-Id: another\r\n{STAMP}\r\n{EVENT}".encode()
        for path, endpoints, kind in (("/book/1", self.plain, "plain"), ("/write/1", self.writers, "generate")):
            self.set_raw(endpoints, {kind: head})
            status, headers, body = self.ask(gateway, path)
            self.assertEqual(status, 502)
            self.assertNotIn("X-Server-Stamp", headers)
            self.assertNotIn(b"broken", body)

    # Guards against rows of the store that come with such a head.
    def test_the_store(self):
        gateway = self.start()
        for form in ("status 000", "blank in a name", "gzip", "chunked, gzip"):
            self.platform.server.raw = answer(form, "").split(b"\r\n\r\n")[0] + b"\r\n\r\n"
            calls = len(self.platform.server.calls)
            self.platform.configure([*ROUTES, route("/new/", "unsafe", "booking")])
            wait_until(lambda: len(self.platform.server.calls) > calls + 2, "calls of the store")
            self.assertEqual(self.ask(gateway, "/new/1")[0], 404, form)
            self.platform.configure(ROUTES)
            self.platform.server.raw = None
        self.platform.configure([*ROUTES, route("/new/", "unsafe", "booking")])
        wait_until(lambda: self.ask(gateway, "/new/1")[0] == 200, "the configuration")

    # Guards against odd answers that HTTP allows and that are refused with the broken ones.
    def test_odd_answers_are_passed_on(self):
        gateway = self.start()
        lines = {"HTTP/1.1 200 ": 200, "HTTP/1.0 200 OK": 200, "HTTP/1.1 299 Unknown": 299, "HTTP/1.1 418 \xe9": 418,
                 "HTTP/1.1 599 Unknown": 599, "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK": 200,
                 "HTTP/1.1 199 Unknown\r\n\r\nHTTP/1.1 200 OK": 200}
        fields = ["", "Content-Length: 4\r\n", "Content-Length: 4\r\nContent-Length: 4\r\n", "X-Empty:\r\n", "X-Odd: \xe9\t1\r\n",
                  "!#$%&'*+-.^_`|~: 1\r\n", "X-Twice: 1\r\nX-Twice: 2\r\n", "transfer-encoding: CHUNKED\r\n"]
        for (line, status), field in itertools.product(lines.items(), fields):
            is_chunked = "CHUNKED" in field
            if is_chunked and "HTTP/1.0" in line:
                continue
            text = "4\r\nodd!\r\n0\r\n\r\n" if is_chunked else "odd!"
            self.set_raw(self.plain, {"plain": f"{line}\r\nX-Request-Id: %s\r\n{field}\r\n{text}".encode("latin-1")})
            found = self.ask(gateway, "/book/1")
            self.assertEqual((found[0], found[2]), (status, b"odd!"), (line, field))


class BrokenHeadsOfOwnHostsTest(unittest.TestCase):
    # Guards against an entry that passes on an answer that HTTP does not allow.
    def test_plain_answers(self):
        with UserPlatform() as platform:
            fleet = SmallFleet()
            for name in fleet.apps:
                fleet.apps[name].address = platform.endpoint("cards").address
            with fleet:
                for form in BROKEN:
                    for endpoint in platform.endpoints:
                        endpoint.raw = {"plain": answer(form, "broken body")}
                    status, body = call("GET", fleet.entry, "/cards/1", headers={"X-Workspace": "w"})
                    self.assertIn(status, (502, 503, 504), form)
                    self.assertNotIn("broken body", str(body), form)

    # Guards against a completion that is made of answers whose heads say what can't be read.
    def test_completions(self):
        fleet = SmallFleet()
        fronts = {}
        for name, engine in fleet.engines.items():
            fronts[name] = EngineFront(engine.address)
            self.addCleanup(fronts[name].end)
            engine.address = fronts[name].address
        ask = {"model": "verdict", "prompt": "word " * 400, "max_tokens": 20}
        with fleet:
            wait_until(lambda: call("POST", fleet.entry, "/v1/completions", ask, {"X-Workspace": "w"})[0] == 200, "an answer")
            # A stream is also read from where it runs, once its first answer was none.
            kinds = (["/v1/prefill"], ["/v1/decode", "/v1/streams"])
            for paths, form in itertools.product(kinds, ("gzip", "identity", "unknown coding", "status 000")):
                for front in fronts.values():
                    front.heads = dict.fromkeys(paths, "\r\n".join(BROKEN[form]).encode() + b"\r\n")
                status, body = call("POST", fleet.entry, "/v1/completions", ask, {"X-Workspace": "w"})
                self.assertNotEqual(status, 200, (paths, form, body))
            for front in fronts.values():
                front.heads = {}
            wait_until(lambda: call("POST", fleet.entry, "/v1/completions", ask, {"X-Workspace": "w"})[0] == 200, "an answer")


if __name__ == "__main__":
    unittest.main()
