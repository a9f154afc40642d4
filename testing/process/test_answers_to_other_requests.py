"""Answers that name another request, such as one that was answered before: they say nothing of this one."""

import json
import unittest

from gatewayprocess import SIZE, send
from platformtest import PlatformTest
from userplatform import EVENTS, route

ROUTES = [route("/book/", "unsafe", "booking", max_attempts=2), route("/look/", "safe", "booking", max_attempts=2),
          route("/write/", "stream", "llm", max_attempts=2)]
NOT_RUN = "X-Not-Executed: 1\r\n"
REFUSALS = {
    "full": ("503 Service Unavailable", NOT_RUN),
    "at its limit": ("429 Too Many Requests", NOT_RUN),
    "misdirected": ("421 Misdirected Request", NOT_RUN),
    "misdirected, by its status only": ("421 Misdirected Request", ""),
}
OTHER = "X-Request-Id: another\r\n"
OWN = "X-Request-Id: %s\r\n"


def answer(status, fields, body=""):
    return f"HTTP/1.1 {status}\r\n{fields}Content-Length: {len(body)}\r\n\r\n{body}".encode()


class AnswersToOtherRequestsTest(PlatformTest):
    def setUp(self):
        super().setUp()
        self.plain = [self.platform.endpoint("booking") for _ in range(2)]
        self.reader = self.platform.endpoint("llm", "prefill")
        self.writers = [self.platform.endpoint("llm", "decode") for _ in range(2)]
        self.platform.configure(ROUTES)

    @staticmethod
    def ask(gateway, path):
        return send(gateway.callers, "GET" if path.startswith("/look/") else "POST", path, b"x", X_Deadline_Ms=4000, **SIZE)

    def check_no_refusal(self, gateway, path, endpoints, kind):
        for ids in (OTHER, OWN + OTHER, OTHER + OWN):
            for name, (status, fields) in REFUSALS.items():
                with self.subTest(path=path, ids=ids, refusal=name):
                    for endpoint in endpoints:
                        endpoint.raw = {kind: answer(status, ids + fields)}
                    before = sum(len(endpoint.seen) for endpoint in endpoints)
                    self.assertEqual(self.ask(gateway, path)[0], 502)
                    self.assertEqual(sum(len(endpoint.seen) for endpoint in endpoints), before + 1)

    # Each guards against a call that runs, and is refused as not run or sent to a second endpoint.
    def test_refusals_of_plain_calls(self):
        self.check_no_refusal(self.start(), "/book/1", self.plain, "plain")

    def test_refusals_of_generations(self):
        self.check_no_refusal(self.start(), "/write/1", self.writers, "generate")

    def test_refusals_of_plain_calls_through_a_tunnel(self):
        _, cut = self.start_cut(lambda gateway: self.ask(gateway, "/look/1")[0] == 200)
        self.check_no_refusal(cut, "/book/1", self.plain, "plain")

    # Guards against refusals of this very request that are not believed.
    def test_refusals_of_this_request(self):
        gateway = self.start()
        for name, (status, fields) in REFUSALS.items():
            self.plain[0].raw = {"plain": answer(status, OWN + fields)}
            for _ in range(4):
                code, _, body = self.ask(gateway, "/book/1")
                self.assertEqual((code, body), (200, b"answer of " + self.plain[1].name.encode()), name)

    # Guards against a generation that goes on from the prompt of another one.
    def test_reads_of_prompts(self):
        gateway = self.start()
        result = json.dumps({"handle": "foreign", "tokens": 10, "version": 1})
        for ids in (OTHER, OWN + OTHER, OTHER + OWN, ""):
            self.reader.raw = {"prefill": answer("200 OK", ids + "Content-Type: application/json\r\n", result)}
            status, _, body = self.ask(gateway, "/write/1")
            self.assertEqual((status, body.count(b"\n\n")), (200, EVENTS), ids)
        sources = [seen["headers"].get("X-Kv-Source", "") for writer in self.writers for seen in writer.seen]
        self.assertFalse([source for source in sources if "foreign" in source])


if __name__ == "__main__":
    unittest.main()
