"""Operators change the declaration while the platform or another operator gets in the way."""

import json
import pathlib
import subprocess
import unittest

from cluster import Cluster, section
from standin import binary, call


class OperatorTest(unittest.TestCase):
    settings = None

    def setUp(self):
        self.cluster = Cluster(settings=self.settings)
        self.addCleanup(self.cluster.end)
        self.cluster.start()

    def declaration_file(self, name):
        """The declaration in force with one more class in it."""
        path = pathlib.Path(self.cluster.folder.name) / f"{name}.ini"
        path.write_text(self.cluster.declaration() + section(f"class {name}", rank=5, first_token="1s"))
        return str(path)

    def apply_command(self, name, *more):
        return [binary("fescuesillctl"), "apply", self.declaration_file(name), "--platform", self.cluster.platform.address,
                "--author", name, "--reason", "test", "--wait", *more]

    def current(self):
        row = call("GET", self.cluster.platform.address, "/table/row?key=config/current")[1]
        return json.loads(row["value"])

    def versions_written(self):
        log = call("GET", self.cluster.platform.address, "/log?after=0")[1]["log"]
        return [json.loads(record["value"])["version"] for record in log if record["key"] == "config/current"]

    # An operator applies a change. The table takes it, and its reply gets lost. The operator must not be told that it
    # failed, and must not apply it a second time as another version.
    def test_a_lost_reply_on_apply(self):
        self.cluster.fault(prefix="config/", lose_next=1)
        applied = subprocess.run(self.apply_command("night-shift"), capture_output=True, text=True, timeout=90)
        self.assertEqual(applied.returncode, 0, applied.stdout + applied.stderr)
        self.assertEqual(self.versions_written(), [1, 2])
        for host in self.cluster.hosts:
            for admin in (host.entry_admin, host.scheduler_admin):
                self.assertEqual(call("GET", admin, "/status")[1]["version"], 2)

    # Two operators start from the same version and apply at the same moment. One change must win; the other operator
    # must be shown it, and not overwrite it.
    def test_both_operators_apply_at_once(self):
        commands = [self.apply_command(name, "--base", "1") for name in ("maria", "nikos")]
        runs = [subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True) for command in commands]
        texts = [run.communicate(timeout=90) for run in runs]
        codes = [run.returncode for run in runs]
        self.assertEqual(codes.count(0), 1, texts)
        self.assertEqual(self.versions_written(), [1, 2])
        winner = ("maria", "nikos")[codes.index(0)]
        loser_text = "".join(texts[1 - codes.index(0)])
        self.assertEqual(self.current()["author"], winner)
        self.assertIn(winner, loser_text)


class UnreadTableTest(OperatorTest):
    settings = {"scheduler": {"platform": {"version_poll": "1min"}}}

    # The table takes a change and fails before any host has read it (here: no host looks for a minute). Hosts would work
    # under the old text until the table is back; they have the new one from the operator's command and from each other.
    def test_hosts_have_a_change_from_the_command(self):
        applied = subprocess.run(self.apply_command("told", "--limit", "20s"), capture_output=True, text=True, timeout=90)
        self.assertEqual((applied.returncode, applied.stderr), (0, ""), applied.stdout)
        self.assertIn("from=operator", "".join(host.scheduler.log() for host in self.cluster.hosts))


if __name__ == "__main__":
    unittest.main()
