"""Runs the commands of the operators' pages as written, page by page, against the stand-in platform.

A line in a ```sh block that begins with fescuesillctl is run; "# exit N" at its end gives a code other than 0.
"""

import json
import os
import pathlib
import re
import shlex
import subprocess
import tempfile
import unittest

from standin import ROOT, Process, binary, call
from test_ctl import Admin

EXAMPLE = (ROOT / "examples" / "karamanlis.ini").read_text(encoding="utf-8")


def commands_of(page):
    blocks = re.findall(r"```sh\n(.*?)```", page.read_text(encoding="utf-8"), re.DOTALL)
    lines = [line for block in blocks for line in block.splitlines() if line.startswith("fescuesillctl ")]
    for line in lines:
        found = re.search(r" # exit (\d)$", line)
        yield line, shlex.split(line, comments=True)[1:], int(found.group(1)) if found else 0


class PagesTest(unittest.TestCase):
    def test_commands_run_as_written(self):
        ran = 0
        for page in sorted((ROOT / "docs" / "operators").glob("*.md")):
            with self.subTest(page=page.name):
                ran += self.run_page(page)
        self.assertGreater(ran, 10)

    def run_page(self, page):
        commands = list(commands_of(page))
        lost = page.name == "lost-data-centre.md"
        with Process(binary("fakeplatform")) as platform, tempfile.TemporaryDirectory() as folder:
            admin = Admin({"version": 1000, "state": "serving"})
            self.addCleanup(admin.end)
            hosts = [{"host": name, "data_centre": "athens", "entry": "x", "scheduler": "x", "state": "live",
                      "entry_admin": admin.address, "scheduler_admin": admin.address} for name in ("athens-a", "athens-b")]
            if lost:
                hosts[1].update(entry_admin="127.0.0.1:1", scheduler_admin="127.0.0.1:1")
            call("POST", platform.address, "/hosts", {"hosts": hosts, "lag_ms": 0})
            pathlib.Path(folder, "services.ini").write_text(EXAMPLE, encoding="utf-8")
            pathlib.Path(folder, "leaving.ini").write_text(
                EXAMPLE.replace("role = decode\n", "role = decode\nleaving = yes\n", 1), encoding="utf-8")
            pathlib.Path(folder, "entry.log").write_text(
                "time=2026-01-02T03:04:05.000Z level=info process=entry event=call_failed request=r-17\n", encoding="utf-8")
            pathlib.Path(folder, "answer.json").write_text('{"motor": 81}', encoding="utf-8")
            doubt = {"attempt": "r-17", "entry": "athens-a", "digest": "d", "state": "open", "deadline_us": 0, "expiry_us": 0}
            call("POST", platform.address, "/table/commit",
                 {"writes": [{"key": f"call/bookings/lift-7/job-{job}", "value": json.dumps(doubt)} for job in (4711, 4712)]})
            pathlib.Path(folder, "operator.key").write_text("0" * 64 + "\n", encoding="utf-8")
            pathlib.Path(folder, "operator.key").chmod(0o600)
            environment = dict(os.environ, FESCUESILL_PLATFORM=platform.address)
            if not any("first declaration" in line for line, _, _ in commands):
                self.run_command(["apply", "services.ini", "--author", "t", "--reason", "t"], 0, folder, environment, "set up")
            for line, arguments, code in commands:
                self.run_command(arguments, code, folder, environment, line)
        return len(commands)

    def run_command(self, arguments, code, folder, environment, line):
        done = subprocess.run([binary("fescuesillctl"), *arguments], cwd=folder, env=environment, capture_output=True,
                              text=True, timeout=60)
        self.assertEqual(done.returncode, code, line + "\n" + done.stdout + done.stderr)


if __name__ == "__main__":
    unittest.main()
