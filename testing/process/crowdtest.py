"""What tests of crowds check: the process lives within its limits, and serves others beside the crowd and after it.

    class MyTest(CrowdChecks, unittest.TestCase):
        def test_bodies(self):
            self.check_crowd(gateway, [gateway.callers], lambda: Crowd(...), Limits(64, 400), self.is_served, [self.is_largest_served])
"""

import collections
import time

from held import Held
from standin import wait_until

Limits = collections.namedtuple("Limits", "memory_mb max_files")
HOLD_SECONDS = 3


class CrowdChecks:
    def check_crowd(self, process, addresses, start_crowd, limits, is_served, served_afterwards):
        """`addresses`: at which the process listens. `served_afterwards`: what holds again once the crowd has gone."""
        wait_until(is_served, "an answer before")
        held = Held(process.pid, addresses)
        crowd = start_crowd()
        try:
            time.sleep(HOLD_SECONDS)
            wait_until(is_served, "an answer beside the crowd")
        finally:
            crowd.end()
        for condition in (is_served, *served_afterwards):
            wait_until(condition, "an answer after the crowd")
        held.end()
        self.assertTrue(process.is_running())
        print(f"{held.peak_bytes / 1e6:.0f} MB, {held.peak_files} files", flush=True)
        self.assertLess(held.peak_bytes, limits.memory_mb << 20)
        self.assertLess(held.peak_files, limits.max_files)
