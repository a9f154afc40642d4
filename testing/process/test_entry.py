"""The entry as a process, between callers and stand-ins, under failures of every side."""

import concurrent.futures
import http.client
import json
import signal
import subprocess
import tempfile
import unittest

from smallfleet import SmallFleet
from standin import binary, call, wait_until

PROMPT = "A long motor log. nonce="
LONG = 400  # tokens: some two seconds at the speed of these engines


class Stream:
    """A caller that reads a streamed completion event by event."""

    def __init__(self, address, method="POST", target="/v1/completions", body=None, headers=None):
        host, port = address.rsplit(":", 1)
        self.connection = http.client.HTTPConnection(host, int(port), timeout=30)
        self.connection.request(method, target, None if body is None else json.dumps(body), headers or {})
        self.response = self.connection.getresponse()
        self.text, self.last_id, self.end, self.moved, self.error, self.done = "", None, None, False, None, False

    def read(self, fragments=None):
        """Reads this many fragments, or up to the end of the connection."""
        count, event = 0, None
        try:
            while fragments is None or count < fragments:
                line = self.response.readline().decode()
                if not line:
                    break
                line = line.strip()
                if line.startswith("id: "):
                    self.last_id = line[4:]
                elif line.startswith("event: "):
                    event = line[7:]
                elif line.startswith("data: "):
                    count += self.take(event, line[6:])
                    event = None
        except (http.client.HTTPException, OSError):
            pass
        return self

    def take(self, event, data):
        if event == "moved":
            self.moved = True
        elif event == "error":
            self.error = json.loads(data)["error"]
        elif data == "[DONE]":
            self.done = True
        else:
            chunk = json.loads(data)
            self.text += chunk["choices"][0].get("text", "")
            self.end = chunk.get("fescuesill", self.end)
            return 1
        return 0

    def close(self):
        self.connection.close()


def completion(nonce, tokens=20, stream=True):
    return {"model": "verdict", "prompt": PROMPT + nonce, "max_tokens": tokens, "stream": stream}


class EntryTest(unittest.TestCase):
    fleet_options = {}

    def setUp(self):
        self.fleet = SmallFleet(**self.fleet_options).__enter__()
        self.addCleanup(self.fleet.__exit__)

    def whole_answer(self, nonce, tokens):
        status, body = call("POST", self.fleet.entry, "/v1/completions", completion(nonce, tokens, False), timeout=30)
        self.assertEqual(status, 200, body)
        return body["choices"][0]["text"]

    def start_stream(self, nonce, tokens=LONG, entry=None):
        stream = Stream(entry or self.fleet.entry, body=completion(nonce, tokens))
        self.addCleanup(stream.close)
        return stream

    def engine_streams(self):
        """Streams that hold memory on a decode engine."""
        held = []
        for name in ("d1", "d2"):
            if self.fleet.engines[name].is_running():
                streams = call("GET", self.fleet.engines[name].address, "/v1/streams")[1]["streams"]
                held += [(name, stream["stream_id"]) for stream in streams if stream["pieces"] > 0]
        return held

    def writing_engine(self):
        return wait_until(self.engine_streams, "a stream on an engine")[0][0]

    def assert_whole(self, stream, expected):
        self.assertTrue(stream.done, (stream.error, self.fleet.entries[0].log()[-2000:]))
        self.assertEqual(stream.text, expected)
        self.assertIsNotNone(stream.end)


class ModelRequests(EntryTest):
    def test_streamed_and_whole_answers_agree(self):
        expected = self.whole_answer("a", 30)
        self.assert_whole(self.start_stream("a", 30).read(), expected)

    # A mechanic closes the laptop while the verdict is written. Nobody reads on, so the engine's memory must come free
    # within moments, not at the end of the answer.
    def test_a_caller_that_goes_frees_the_engine(self):
        stream = self.start_stream("gone", 100000 // 50).read(3)
        self.writing_engine()
        stream.close()
        wait_until(lambda: not self.engine_streams(), "memory freed", 5)

    # Something between entry and engine forgets the open connection: it stays open and brings nothing, while new ones
    # work. The caller must still get its whole answer, each fragment once.
    def test_a_silent_connection_is_read_on_over_a_new_one(self):
        expected = self.whole_answer("silent", LONG)
        stream = self.start_stream("silent").read(5)
        engine = self.fleet.engines[self.writing_engine()]
        self.assertEqual(call("POST", engine.address, "/faults", {"silent": True})[0], 200)
        self.assert_whole(stream.read(), expected)
        self.assertGreater(self.fleet.metric(self.fleet.entries[0], "fescuesill_stream_reattaches_total"), 0)

    # The engine that writes dies in the middle. Another one writes the answer anew; the caller sees it go on where it
    # stopped, with nothing doubled.
    def test_an_answer_outlives_its_engine(self):
        expected = self.whole_answer("dies", LONG)
        stream = self.start_stream("dies").read(5)
        self.fleet.engines[self.writing_engine()].kill()
        self.assert_whole(stream.read(), expected)

    def queued_tokens(self):
        engines = [self.fleet.engines[name] for name in ("p1", "p2")]
        return sum(call("GET", engine.address, "/v1/load")[1]["queued_tokens"] for engine in engines)

    # One engine stalls in the middle of reading, its connections open. The owner places its requests anew within a
    # second, or refuses them; their callers must hear of it then, and not when the old calls end after 20 s.
    def test_a_stalled_read_is_placed_anew_at_once(self):
        call("POST", self.fleet.engines["p1"].address, "/faults", {"slow": 10000})
        with concurrent.futures.ThreadPoolExecutor(6) as callers:
            answers = list(callers.map(lambda number: self.long_prompt(f"stall-{number}"), range(6)))
        self.assertIn("prefill_given_up", self.fleet.entries[0].log())
        self.assertIn(200, [status for status, _ in answers], answers)
        refusals = [answer["error"] for status, answer in answers if status != 200]
        self.assertEqual([refusal["run"] for refusal in refusals], ["not_run"] * len(refusals), refusals)

    # A caller leaves while its prompt is read. Reading costs as much as many tokens of output, so the engine must stop
    # and not read to the end for nobody.
    def test_a_caller_that_goes_ends_the_read(self):
        for name in ("p1", "p2"):
            call("POST", self.fleet.engines[name].address, "/faults", {"slow": 20})
        host, port = self.fleet.entry.rsplit(":", 1)
        caller = http.client.HTTPConnection(host, int(port), timeout=30)
        body = completion("leaves") | {"prompt": PROMPT + "word " * 40000}
        caller.request("POST", "/v1/completions", json.dumps(body))
        wait_until(lambda: self.queued_tokens() > 0, "the prompt is being read")
        caller.close()
        wait_until(lambda: self.queued_tokens() == 0, "the read given up", 10)

    def long_prompt(self, nonce):
        body = completion(nonce, 5, False) | {"prompt": PROMPT + nonce + " word" * 2000}
        return call("POST", self.fleet.entry, "/v1/completions", body, timeout=15)

    # The scheduler of this host is killed. Requests are still served: placed here, counted as degraded.
    def test_requests_are_served_without_an_owner(self):
        self.fleet.scheduler.kill()
        entry = self.fleet.entries[0]
        wait_until(lambda: self.fleet.status(entry)["degraded"], "degraded mode seen")
        # More than the engines' memory together, for each I/O thread: what has ended must not count for ever.
        for number in range(100):
            self.assertEqual(len(self.whole_answer(f"ownerless-{number}", 5)), 5 * 7)
        self.assertEqual(self.fleet.metric(entry, "fescuesill_degraded_placings_total"), 100)

    # An entry is killed in the middle of an answer. Its caller takes the last id it has to another entry and gets the
    # rest, and only there can it be read: another workspace is refused.
    def test_a_caller_that_lost_its_entry_reads_on_elsewhere(self):
        expected = self.whole_answer("moves", LONG)
        other = self.fleet.start_entry("athens-b")
        self.fleet.wait_ready(other)
        first = self.start_stream("moves").read(20)
        self.fleet.entries[0].kill()
        headers = {"Last-Event-ID": first.last_id}
        status, body = call("GET", other.address, "/v1/streams", headers={**headers, "X-Workspace": "other"})
        self.assertEqual((status, body["error"]["code"]), (403, "bad_resume_token"), body)
        rest = Stream(other.address, "GET", "/v1/streams", headers=headers).read()
        self.assert_whole(rest, expected[len(first.text):])


class PlannedStop(EntryTest):
    fleet_options = {"settings": "[drain]\nannounce = 100ms\nlimit = 600ms\n"}

    # An operator stops an entry. A short answer ends there; a long one is handed to another entry by its token; the
    # process ends by itself with 0.
    def test_no_request_is_cut_off(self):
        expected = self.whole_answer("long", LONG)
        other = self.fleet.start_entry("athens-b")
        self.fleet.wait_ready(other)
        entry = self.fleet.entries[0]
        short, long = self.start_stream("short", 20), self.start_stream("long")
        entry.send(signal.SIGTERM)
        wait_until(lambda: call("GET", entry.admin, "/readyz")[0] == 503, "not ready")
        self.assertTrue(short.read().done)
        long.read()
        self.assertTrue(long.moved)
        self.assertFalse(long.done)
        rest = Stream(other.address, "GET", "/v1/streams", headers={"Last-Event-ID": long.last_id}).read()
        self.assertEqual(long.text + rest.text, expected)
        self.assertTrue(rest.done)
        self.assertEqual(entry.process.wait(30), 0)


class PlainCalls(EntryTest):
    def book(self, key, body=None, **headers):
        return call("POST", self.fleet.entry, "/bookings", body or {"motor": 7}, {"Idempotency-Key": key, **headers})

    def runs(self, key):
        count = 0
        for app in self.fleet.apps.values():
            history = call("GET", app.address, "/history")[1]["executions"]
            count += sum(1 for one in history if one.get("key") == key)
        return count

    def test_a_repeat_gets_the_first_answer(self):
        first = self.book("k1")
        self.assertEqual(first[0], 200)
        self.assertEqual(self.book("k1"), first)
        self.assertEqual(self.runs("k1"), 1)

    # The application books the motor and its reply is lost. The entry asks for the result instead of booking again.
    def test_a_lost_reply_is_not_run_again(self):
        for app in self.fleet.apps.values():
            call("POST", app.address, "/faults", {"lose_next": 1})
        status, body = self.book("lost")
        self.assertEqual(status, 200, body)
        self.assertEqual(self.runs("lost"), 1)

    # The platform's table is down. The booking is refused at once with "not run", and it was not run.
    def test_an_outage_of_the_table_refuses_at_once(self):
        call("POST", self.fleet.platform.address, "/faults", {"prefix": "", "outage": True})
        status, body = self.book("down")
        self.assertEqual((status, body["error"]["code"], body["error"]["run"]), (503, "store_unavailable", "not_run"))
        self.assertEqual(self.runs("down"), 0)

    # An application server is dead. Its connection is refused, so not one byte was sent: the other one books.
    def test_a_dead_endpoint_is_passed_over(self):
        self.fleet.apps["b1"].kill()
        for number in range(4):
            status, body = self.book(f"dead-{number}")
            self.assertEqual(status, 200, body)
        self.assertEqual(call("GET", self.fleet.entry, "/cards/7")[0], 200)


class BadInput(EntryTest):
    def test_each_is_refused_and_the_entry_lives(self):
        cases = (
            ("POST", "/v1/completions", "{", {}, 400, "bad_request"),
            ("POST", "/v1/completions", "[" * 20000, {}, 400, "bad_request"),
            ("POST", "/v1/completions", {"model": "verdict", "prompt": 7}, {}, 400, "bad_request"),
            ("POST", "/v1/completions", {"model": "verdict", "prompt": "x", "max_tokens": -1}, {}, 400, "bad_request"),
            ("POST", "/v1/completions", {"model": "verdict", "prompt": "x" * 400000}, {}, 413, "too_large"),
            ("POST", "/v1/completions", completion("a") | {"model": "nobody"}, {}, 404, "unknown_service"),
            ("POST", "/v1/completions", completion("a"), {"X-Workspace": "a/b"}, 400, "bad_request"),
            ("GET", "/v1/completions", None, {}, 405, "method_not_allowed"),
            ("GET", "/nowhere", None, {}, 404, "unknown_service"),
            ("DELETE", "/bookings", None, {}, 405, "method_not_allowed"),
            ("POST", "/bookings", {}, {}, 400, "bad_idempotency_key"),
            ("POST", "/bookings", {}, {"Idempotency-Key": "a/b"}, 400, "bad_idempotency_key"),
            ("GET", "/v1/streams", None, {"Last-Event-ID": "forged.1"}, 403, "bad_resume_token"),
            ("GET", "/v1/streams", None, {}, 403, "bad_resume_token"),
        )
        for method, target, body, headers, status, code in cases:
            with self.subTest(method=method, target=target, body=str(body)[:40], headers=headers):
                got, answer = call(method, self.fleet.entry, target, body, headers)
                self.assertEqual((got, answer["error"]["code"]), (status, code), answer)
                self.assertEqual(answer["error"]["run"] in ("not_run", "may_have_run"), True)
                self.assertTrue(answer["error"]["request_id"])
        self.assertEqual(len(self.whole_answer("after", 5)), 5 * 7)
        # The last call counts until its coroutine has ended, which may be after its caller has read the answer.
        wait_until(lambda: self.fleet.status(self.fleet.entries[0])["requests"] == 0, "the end of all calls")


class Settings(unittest.TestCase):
    def check(self, text):
        with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
            file.write(text)
            file.flush()
            return subprocess.run([binary("fescuesill-entry"), "--config", file.name, "--check"], capture_output=True,
                                  text=True, check=False)

    def test_every_fault_is_one_line(self):
        result = self.check("[process]\nhost = a\n[listen]\ncallers = nowhere\nadmin = 127.0.0.1:0\n[thread]\nio = 2\n")
        self.assertEqual(result.returncode, 2)
        for part in ("data_centre", "callers", "'nowhere'", "thread", "[platform] address", "[scheduler] address"):
            self.assertIn(part, result.stderr)

    def test_no_configuration_is_told(self):
        with SmallFleetWithoutScheduler() as fleet:
            status, body = call("GET", fleet.entry, "/cards/7")
            self.assertEqual((status, body["error"]["code"], body["error"]["run"]), (503, "no_configuration", "not_run"))


class SmallFleetWithoutScheduler(SmallFleet):
    def __enter__(self):
        entry = self.start_entry()
        wait_until(lambda: call("GET", entry.admin, "/healthz")[0] == 200, "entry alive")
        return self


if __name__ == "__main__":
    unittest.main()
