"""Hundreds of calls at once whose endpoints send bytes without an end, beside calls that sound endpoints serve."""

import threading
import unittest

from endlessplatform import Callers, call_once
from held import open_files
from platformtest import PlatformTest
from standin import wait_until
from test_bytes_without_end import peak_memory_kb
from userplatform import ENDLESS, ENDLESS_EVENTS, route

ROUTES = [route("/book/", "unsafe", "booking"), route("/look/", "safe", "booking", max_attempts=2),
          route("/write/", "stream", "llm"), route("/resume/", "stream", "llm", max_attempts=2, resumable=True),
          route("/sound/", "unsafe", "sound"), route("/sound-write/", "stream", "sound-llm")]
WAYS = (*ENDLESS, *ENDLESS_EVENTS)
CALLERS = 300
DEADLINE_MS = 2000
SOUND_DEADLINE_MS = 4000
LATE_SECONDS = 1.0
MOST_MEMORY_KB = 90_000  # of 110 MB that a host has
SLOTS = 64
SOUND_PATHS = ("/sound/1", "/sound-write/1")


class BytesWithoutEndAtOnceTest(PlatformTest):
    def setUp(self):
        super().setUp()
        self.endless = {stage: self.endless_endpoints(service, stage)
                        for service, stage in (("booking", None), ("llm", "prefill"), ("llm", "decode"))}
        self.platform.endpoint("sound")
        self.platform.endpoint("sound-llm", "prefill")
        self.platform.endpoint("sound-llm", "decode")
        self.platform.configure(ROUTES, slots=SLOTS)

    def endless_endpoints(self, service, stage):
        """One for each of the ways."""
        names = [f"e-{stage or service}-{number}" for number in range(len(WAYS))]
        return self.start_endless(service, names, stage, SLOTS)

    def check(self, path, kind, stage):
        """Hundreds of callers are answered or broken off in time, and those of sound endpoints are served."""
        gateway = self.start()
        for sound_path in SOUND_PATHS:
            wait_until(lambda sound_path=sound_path: call_once(gateway.callers, sound_path, SOUND_DEADLINE_MS)[0] == 200,
                       "sound answers")
        files = open_files(gateway.pid)
        self.endless[stage].set([{kind: way} for way in WAYS])
        sound = []
        ended = threading.Event()

        def ask(sound_path):
            while not ended.is_set():
                sound.append(call_once(gateway.callers, sound_path, SOUND_DEADLINE_MS))

        askers = [threading.Thread(target=ask, args=(sound_path,)) for sound_path in SOUND_PATHS * 2]
        for asker in askers:
            asker.start()
        answers = Callers(gateway.callers, path, CALLERS, DEADLINE_MS).answers()
        ended.set()
        for asker in askers:
            asker.join()
        self.assertTrue(gateway.is_running())
        self.assertEqual([answer for answer in sound if answer[0] != 200], [])
        self.assertLess(max(took for _, took in answers), DEADLINE_MS / 1000 + LATE_SECONDS)
        self.assertLess(peak_memory_kb(gateway), MOST_MEMORY_KB)
        wait_until(lambda: open_files(gateway.pid) <= files, "all connections to be closed", LATE_SECONDS)
        self.assertLess(max(self.endless[stage].set([{}] * len(WAYS))), DEADLINE_MS / 1000 + LATE_SECONDS)

    # Each guards against a host whose memory or time hundreds of endless answers take from the calls of others.
    def test_plain_calls(self):
        self.check("/book/1", "plain", None)

    def test_repeatable_calls(self):
        self.check("/look/1", "plain", None)

    def test_reservations(self):
        self.check("/write/1", "hold", "decode")

    def test_prompts_that_are_read(self):
        self.check("/write/1", "prefill", "prefill")

    def test_generations(self):
        self.check("/write/1", "generate", "decode")

    def test_streams_that_go_on(self):
        self.check("/resume/1", "generate", "decode")


if __name__ == "__main__":
    unittest.main()
