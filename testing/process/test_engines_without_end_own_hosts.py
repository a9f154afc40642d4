"""Engines behind entries and schedulers of our own hosts that send bytes without an end, in a head or in a body."""

import concurrent.futures
import contextlib
import http.client
import time
import unittest

from enginefront import EngineFront
from smallfleet import SmallFleet
from standin import call, wait_until
from test_bytes_without_end import peak_memory_kb
from userplatform import ENDLESS_ANSWERS

CALLERS = 8
LONGEST_CALL_SECONDS = 12
MOST_MEMORY_KB = 40_000  # more than before, of an entry or a scheduler
POLLS_SECONDS = 1  # in which a scheduler asks each engine several times


class EnginesWithoutEndTest(unittest.TestCase):
    def setUp(self):
        fleet = SmallFleet()
        self.fronts = {}
        for name, engine in fleet.engines.items():
            self.fronts[name] = EngineFront(engine.address)
            self.addCleanup(self.fronts[name].end)
            engine.address = self.fronts[name].address
        self.fleet = fleet.__enter__()
        self.addCleanup(fleet.__exit__)

    def ask(self, _=None):
        """The status, 0 where the answer breaks off, and the seconds that it took."""
        body = {"model": "verdict", "prompt": "word " * 400, "max_tokens": 20}
        begin = time.monotonic()
        status = 0
        with contextlib.suppress(OSError, http.client.HTTPException):
            status = call("POST", self.fleet.entry, "/v1/completions", body, {"X-Workspace": "w"}, timeout=30)[0]
        return status, time.monotonic() - begin

    def check(self, engines, paths):
        """All these engines answer requests to these paths without an end, in each of the ways."""
        wait_until(lambda: self.ask()[0] == 200, "a sound call")
        processes = [self.fleet.entries[0], self.fleet.scheduler]
        before = [peak_memory_kb(process) for process in processes]
        for way in ENDLESS_ANSWERS:
            for name in engines:
                self.fronts[name].endless = dict.fromkeys(paths, way)
            with concurrent.futures.ThreadPoolExecutor(CALLERS) as callers:
                answers = list(callers.map(self.ask, range(CALLERS)))
            time.sleep(POLLS_SECONDS)
            for status, took in answers:
                self.assertLess(took, LONGEST_CALL_SECONDS, way)
                self.assertIn(status, (0, 200, 502, 503, 504), way)
            for process, kilobytes in zip(processes, before):
                self.assertLess(peak_memory_kb(process) - kilobytes, MOST_MEMORY_KB, way)
            for front in self.fronts.values():
                front.endless = {}
        wait_until(lambda: self.ask()[0] == 200, "sound answers")

    # Each guards against an entry or a scheduler whose memory or time an engine takes by sending without an end.
    def test_a_prompt_that_is_read(self):
        self.check(["p1", "p2"], ["/v1/prefill"])

    def test_a_generation(self):
        self.check(["d1", "d2"], ["/v1/decode"])

    def test_a_stream_that_goes_on(self):
        for name in ("d1", "d2"):
            self.fronts[name].cuts_streams = True
        self.check(["d1", "d2"], ["/v1/streams/"])

    def test_a_scheduler_that_asks_engines(self):
        self.check(["p1", "d1"], ["/v1/load", "/v1/cache-events", "/v1/streams?", "/v1/streams"])


if __name__ == "__main__":
    unittest.main()
