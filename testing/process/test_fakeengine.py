"""The stand-in engine and application server keep to docs/ARCHITECTURE.md, "Towards engines"."""

import http.client
import json
import unittest

from standin import Process, binary, call, wait_until

# At the speed of these engines two minutes: longer than any test.
ENDLESS = 100000
FAST = ("--speed", "20")


def open_stream(address, method, target, body=None):
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    connection.request(method, target, None if body is None else json.dumps(body))
    return connection, connection.getresponse()


def read_lines(response):
    """All lines up to the end, or up to where the connection broke."""
    lines = []
    try:
        for line in response:
            lines.append(json.loads(line))
    except (http.client.IncompleteRead, ConnectionError):
        pass
    return lines


class FakeEngineTest(unittest.TestCase):
    def setUp(self):
        self.prefill = self.start("--role", "prefill", "--keep-ms", "200000")
        self.decode = self.start("--role", "decode")

    def start(self, *flags):
        engine = Process(binary("fakeengine"), *FAST, *flags).read_address()
        self.addCleanup(engine.end)
        return engine.address

    def fault(self, address, **script):
        self.assertEqual(call("POST", address, "/faults", script)[0], 200)

    def read_prompt(self, prompt="a log", tokens=4000, prefix=()):
        body = {"request_id": "r", "prompt": prompt, "prompt_tokens": tokens, "prefix": list(prefix), "priority": 1}
        return call("POST", self.prefill, "/v1/prefill", body)

    def decode_body(self, stream, kv, tokens=4000, output=20):
        return {"stream_id": stream, "request_id": "r", "entry": "h1", "prompt_tokens": tokens, "max_tokens": output,
                "priority": 1, "kv": {"address": self.prefill, "kv_id": kv}}

    def write(self, stream, **amounts):
        body = self.decode_body(stream, self.read_prompt()[1]["kv_id"], **amounts)
        connection, response = open_stream(self.decode, "POST", "/v1/decode", body)
        self.addCleanup(connection.close)
        return connection, response

    def streams(self):
        return call("GET", self.decode, "/v1/streams")[1]["streams"]

    def test_an_answer_comes_whole_and_frees_its_memory(self):
        lines = read_lines(self.write("s1")[1])
        self.assertEqual([line["offset"] for line in lines[:-1]], list(range(20)))
        self.assertEqual((lines[-1]["end"], lines[-1]["length"]), (True, 20))
        self.assertEqual(self.streams(), [])

    def test_the_same_prompt_has_the_same_answer(self):
        self.assertEqual(read_lines(self.write("s1")[1]), read_lines(self.write("s2")[1]))

    # A caller's entry dies in the middle of an answer. The engine goes on and keeps the memory; another entry resumes
    # where the caller stopped and sees every fragment once.
    def test_a_broken_stream_holds_memory_and_resumes(self):
        self.fault(self.decode, cut_after=5, cut_next=1)
        first = read_lines(self.write("s1", output=ENDLESS)[1])
        self.assertEqual([line["offset"] for line in first], list(range(5)))
        wait_until(lambda: not self.streams()[0]["attached"], "the engine to see the broken connection")
        self.assertEqual(self.streams()[0]["pieces"], 1)
        connection, rest = open_stream(self.decode, "GET", "/v1/streams/s1?from=5&entry=h2")
        self.assertEqual([json.loads(rest.readline())["offset"] for _ in range(50)], list(range(5, 55)))
        connection.close()

    def test_a_cancelled_stream_frees_its_memory(self):
        self.fault(self.decode, cut_after=1)
        read_lines(self.write("s1", output=ENDLESS)[1])
        self.assertEqual(call("DELETE", self.decode, "/v1/streams/s1"), (200, {"state": "cancelled"}))
        self.assertEqual(self.streams(), [])
        self.assertEqual(call("DELETE", self.decode, "/v1/streams/s1")[0], 404)

    def test_only_the_last_reader_cancels(self):
        self.fault(self.decode, cut_after=1)
        read_lines(self.write("s1", output=ENDLESS)[1])
        connection, _ = open_stream(self.decode, "GET", "/v1/streams/s1?from=0&entry=h2")
        self.addCleanup(connection.close)
        refused = call("DELETE", self.decode, "/v1/streams/s1?entry=h1")
        self.assertEqual(refused, (409, {"error": "other_reader"}))
        self.assertEqual(len(self.streams()), 1)
        self.assertEqual(call("DELETE", self.decode, "/v1/streams/s1?entry=h2")[0], 200)

    def test_memory_is_limited(self):
        self.assertEqual(self.write("s1", tokens=80000, output=ENDLESS)[1].status, 200)
        self.assertEqual(self.write("s2", tokens=4000)[1].status, 503)

    def test_a_prefill_result_is_gone_after_its_time(self):
        self.prefill = self.start("--role", "prefill", "--keep-ms", "800")
        kv = self.read_prompt()[1]["kv_id"]
        wait_until(lambda: call("GET", self.prefill, f"/v1/kv/{kv}")[0] == 404, "the result to expire")
        self.assertEqual(call("POST", self.decode, "/v1/decode", self.decode_body("s1", kv))[0], 410)
        self.assertEqual(self.streams(), [])

    def test_a_known_prefix_is_not_read_again(self):
        blocks = [f"{n:016x}" for n in range(10)]
        self.assertEqual(self.read_prompt(prefix=blocks)[1]["tokens_reused"], 0)
        self.assertEqual(self.read_prompt(prefix=blocks[:8] + ["f" * 16])[1]["tokens_reused"], 8 * 256)
        events = wait_until(lambda: call("GET", self.prefill, "/v1/cache-events?after=0")[1]["events"], "cache events")
        self.assertEqual(events[0]["kind"], "added")

    def test_orders_with_an_old_fencing_number(self):
        careless = self.start("--ignore-fencing")
        old, new = ({"fencing": n, "kind": "role", "value": "prefill"} for n in (4, 5))
        for address, status in ((self.decode, 409), (careless, 200)):
            self.assertEqual(call("POST", address, "/v1/orders", new)[0], 200)
            self.assertEqual(call("POST", address, "/v1/orders", old)[0], status)

    # Something between the two ends has lost track of the open connections: nothing comes on them any more and nothing
    # tells so, while a new connection works.
    def test_open_connections_fall_silent_and_new_ones_work(self):
        connection, response = self.write("s1", output=ENDLESS)
        response.readline()
        self.fault(self.decode, silent=True)
        resumed, rest = open_stream(self.decode, "GET", "/v1/streams/s1?from=0&entry=h2")
        self.assertEqual([json.loads(rest.readline())["offset"] for _ in range(50)], list(range(50)))
        resumed.close()
        connection.sock.settimeout(0.2)
        with self.assertRaises(TimeoutError):
            while True:
                if not connection.sock.recv(65536):
                    break

    def test_an_application_runs_what_it_is_sent(self):
        application = self.start("--app")
        self.fault(application, lose_next=1)
        headers = {"Idempotency-Key": "k1"}
        with self.assertRaises(http.client.RemoteDisconnected):
            call("POST", application, "/bookings", {"motor": 7}, headers)
        self.assertEqual(call("GET", application, "/results/k1")[1]["key"], "k1")
        self.assertEqual(call("GET", application, "/results/k2")[0], 404)
        call("POST", application, "/bookings", {"motor": 7}, headers)
        executions = call("GET", application, "/history")[1]["executions"]
        self.assertEqual([execution["key"] for execution in executions], ["k1", "k1"])


if __name__ == "__main__":
    unittest.main()
