"""The load tool finds what is lost or doubled, asked about an application server with nothing in between."""

import subprocess
import unittest

from standin import Process, binary, call

PLAIN = ("--completions", "0", "--chats", "0", "--bookings", "0.5", "--rate", "50", "--seconds", "1")


class LoadToolTest(unittest.TestCase):
    def setUp(self):
        self.application = Process(binary("fakeengine"), "--app").read_address()
        self.addCleanup(self.application.end)
        self.address = self.application.address

    def load(self, *flags):
        command = [binary("loadtool"), "--entries", self.address, "--applications", self.address, *PLAIN, *flags]
        return subprocess.run(command, capture_output=True, text=True, timeout=60)

    def test_a_sound_run_passes(self):
        run = self.load()
        self.assertEqual(run.returncode, 0, run.stdout)
        self.assertIn("nothing lost, doubled or broken", run.stdout)

    # An application loses a reply after it ran a booking. With nothing in between, the caller's repeat with the same key
    # runs a second time: two motors and a bill. The tool must see it.
    def test_a_doubled_booking_is_found(self):
        call("POST", self.address, "/faults", {"lose_next": 1})
        run = self.load()
        self.assertEqual(run.returncode, 1, run.stdout)
        self.assertIn("FAULT: doubled booking", run.stdout)

    def test_a_lost_lookup_is_found(self):
        self.application.kill()
        run = self.load("--bookings", "0", "--applications", "")
        self.assertEqual(run.returncode, 1, run.stdout)
        self.assertIn("FAULT: lost lookup", run.stdout)


if __name__ == "__main__":
    unittest.main()
