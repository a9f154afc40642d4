"""The operator's command against the stand-in platform: what it prints and its exit code."""

import http.server
import json
import os
import pathlib
import subprocess
import tempfile
import threading
import unittest

from standin import ROOT, Process, binary, call

EXAMPLE = str(ROOT / "examples" / "karamanlis.ini")
WHO = ["--author", "eleni", "--reason", "test"]


def ctl(*arguments, platform=None):
    """Returns exit code, standard output and standard error."""
    environment = dict(os.environ, FESCUESILL_PLATFORM=platform or "")
    done = subprocess.run([binary("fescuesillctl"), *arguments], capture_output=True, text=True, env=environment, timeout=60)
    return done.returncode, done.stdout, done.stderr


class Admin:
    """A process's admin port that answers with a given status."""

    def __init__(self, status):
        self.status = status
        self.metrics = ""
        self.drained = False
        admin = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self):
                self.answer(admin.metrics if self.path == "/metrics" else json.dumps(admin.status))

            def do_POST(self):
                admin.drained = self.path == "/drain"
                self.answer("{}")

            def answer(self, text):
                self.send_response(200)
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text.encode())

            def log_message(self, *unused):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_port
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def end(self):
        self.server.shutdown()
        self.server.server_close()


class CheckAndDiffTest(unittest.TestCase):
    def setUp(self):
        self.text = (ROOT / "examples" / "karamanlis.ini").read_text(encoding="utf-8")
        self.path = str(ROOT / "build" / ("changed-%d.ini" % os.getpid()))
        self.addCleanup(lambda: os.path.exists(self.path) and os.unlink(self.path))

    def write(self, text):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(text)
        return self.path

    def test_both_examples_pass(self):
        for name in ("karamanlis", "laman"):
            code, out, _ = ctl("check", str(ROOT / "examples" / (name + ".ini")))
            self.assertEqual(code, 0)
            self.assertIn("20 engines, 3 endpoints, 3 data centres: no fault", out)

    def test_every_fault_is_a_line_and_the_code_is_two(self):
        code, out, err = ctl("check", self.write(self.text.replace("rank = 0", "rank = x").replace("POST", "PUSH")))
        self.assertEqual((code, out, len(err.splitlines())), (2, "", 2))
        self.assertIn(": [class urgent] rank: 'x'; allowed: a whole number from 0 to 9", err)

    def test_bad_command_lines_are_refused(self):
        for arguments in ((), ("nonsense",), ("check",), ("check", "a", "b"), ("check", "/nowhere"), ("status",),
                          ("apply", EXAMPLE, "--nonsense"), ("--config", "/nowhere", "--check")):
            self.assertEqual(ctl(*arguments)[0], 2, arguments)
        for arguments in (("--help",), ("--version",), ("apply", "--help"), ("completion",)):
            self.assertEqual(ctl(*arguments)[0], 0, arguments)

    def test_diff_of_two_files_marks_a_drop_with_code_four(self):
        code, out, _ = ctl("diff", self.write(self.text.replace("role = decode\n", "role = decode\nleaving = yes\n", 1)),
                           "--against", EXAMPLE)
        self.assertEqual(code, 4)
        self.assertIn("~ [engine athens-d1] leaving: no -> yes\n    for: diagnoses\n", out)
        self.assertIn("motor-verdict-7b decode: 12 -> 11 engines, 240 -> 220 pieces (less: needs --yes)", out)
        self.assertEqual(ctl("diff", EXAMPLE, "--against", EXAMPLE)[:2], (0, "no change\n"))


class ExampleSettingsTest(unittest.TestCase):
    def check(self, process, path):
        command = [binary("fescuesill-" + process), "--config", str(path), "--check"]
        return subprocess.run(command, capture_output=True, text=True, timeout=60)

    # They name files of keys that a host gets; with these in place they pass, without them each is one fault.
    def test_settings_in_examples_pass_the_check_of_their_binary(self):
        for process in ("entry", "scheduler"):
            example = ROOT / "examples" / (process + ".ini")
            missing = self.check(process, example)
            self.assertEqual((missing.returncode, len(missing.stderr.splitlines())), (2, 2), missing.stderr)
            for line, key in zip(missing.stderr.splitlines(), ("fleet", "operator")):
                self.assertIn(f"[keys] {key}: ", line)
                self.assertIn("(No such file or directory)", line)
            with tempfile.TemporaryDirectory() as folder:
                for name, digit in (("fleet", "a"), ("operator", "b")):
                    pathlib.Path(folder, name).write_text(digit * 64)
                    pathlib.Path(folder, name).chmod(0o600)
                text = example.read_text(encoding="utf-8").replace(f"/run/credentials/fescuesill-{process}.service", folder)
                path = pathlib.Path(folder, "settings.ini")
                path.write_text(text, encoding="utf-8")
                done = self.check(process, path)
                self.assertEqual(done.returncode, 0, done.stderr)


class ApplyTest(unittest.TestCase):
    def setUp(self):
        self.platform = Process(binary("fakeplatform"), "--host-lag-ms", "0").read_address()
        self.addCleanup(self.platform.end)
        self.path = str(ROOT / "build" / ("applied-%d.ini" % os.getpid()))
        self.addCleanup(lambda: os.path.exists(self.path) and os.unlink(self.path))
        self.text = (ROOT / "examples" / "karamanlis.ini").read_text(encoding="utf-8")

    def ctl(self, *arguments):
        return ctl(*arguments, platform=self.platform.address)

    def write(self, text):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(text)
        return self.path

    def version(self):
        return json.loads(call("GET", self.platform.address, "/table/row?key=config/current")[1]["value"])["version"]

    def test_history_show_and_rollback_as_a_new_version(self):
        self.assertEqual(self.ctl("apply", EXAMPLE, *WHO)[0], 0)
        self.assertEqual(self.ctl("apply", EXAMPLE, *WHO)[:2], (0, "no change\n"))
        self.assertEqual(self.ctl("apply", EXAMPLE, "--author", "eleni")[0], 2)
        changed = self.write(self.text.replace("first_token = 5s", "first_token = 6s"))
        self.assertEqual(self.ctl("apply", changed, "--author", "nikos", "--reason", "slow logs")[0], 0)
        code, out, _ = self.ctl("rollback", "1", *WHO)
        self.assertEqual(code, 0)
        self.assertIn("version 3 accepted", out)
        self.assertEqual(self.ctl("show")[1], "; fescuesill version 3\n" + self.text)
        lines = self.ctl("history")[1].splitlines()
        self.assertEqual([line.split()[0] for line in lines], ["3", "2", "1"])
        self.assertIn("nikos: slow logs", lines[1])

    def test_a_drop_of_capacity_needs_yes(self):
        self.ctl("apply", EXAMPLE, *WHO)
        less = self.write(self.text.replace("role = decode\n", "role = decode\nleaving = yes\n", 1))
        self.assertEqual(self.ctl("apply", less, *WHO)[0], 4)
        self.assertEqual(self.version(), 1)
        self.assertEqual(self.ctl("apply", less, "--yes", *WHO)[0], 0)

    # Two operators print the same version and both change it. The second to apply must not undo the first without
    # knowing: his text started from a version that is no longer in force.
    def test_the_loser_of_a_race_sees_the_other_change(self):
        self.ctl("apply", EXAMPLE, *WHO)
        started = self.ctl("show")[1]
        self.ctl("apply", self.write(started.replace("first_token = 5s", "first_token = 6s")), "--author", "nikos",
                 "--reason", "slow logs")
        code, _, err = self.ctl("apply", self.write(started.replace("patience = 30s", "patience = 20s")), *WHO)
        self.assertEqual((code, self.version()), (3, 2))
        self.assertIn("version 2 by nikos: slow logs", err)
        self.assertIn("~ [class patient] first_token: 5s -> 6s", err)

    # The store takes the write and its reply gets lost. The operator must neither be told that it failed nor have the
    # change made twice.
    def test_a_lost_reply_is_resolved_by_reading_back(self):
        call("POST", self.platform.address, "/faults", {"prefix": "config/", "lose_next": 1})
        code, out, _ = self.ctl("apply", EXAMPLE, *WHO)
        self.assertEqual((code, self.version()), (0, 1))
        self.assertIn("version 1 accepted", out)

    def test_an_outage_changes_nothing_and_says_so(self):
        call("POST", self.platform.address, "/faults", {"prefix": "config/", "outage": True})
        self.assertEqual(self.ctl("apply", EXAMPLE, *WHO)[0], 1)
        call("POST", self.platform.address, "/faults", {})
        self.assertEqual(self.ctl("history")[1], "")

    def test_wait_status_and_drain_name_every_process(self):
        good = Admin({"process": "entry", "host": "a", "version": 1, "state": "serving",
                      "cells": [{"model": "m", "data_centre": "athens", "owner": "a"}],
                      "degraded": [{"mode": "table_unreachable", "since": "2026-01-02T03:04:05Z"}]})
        behind = Admin({"process": "scheduler", "host": "a", "version": 0, "state": "learning"})
        self.addCleanup(good.end)
        self.addCleanup(behind.end)
        host = {"host": "a", "data_centre": "athens", "entry": "x", "scheduler": "x", "state": "live",
                "entry_admin": good.address, "scheduler_admin": behind.address}
        gone = dict(host, host="b", entry_admin="127.0.0.1:1", scheduler_admin=good.address)
        call("POST", self.platform.address, "/hosts", {"hosts": [host, gone], "lag_ms": 0})
        code, _, err = self.ctl("apply", EXAMPLE, "--wait", "--limit", "1s", *WHO)
        self.assertEqual(code, 1)
        self.assertEqual(len(err.splitlines()), 2, err)
        self.assertIn("not in force on a scheduler (%s): version 0" % behind.address, err)
        self.assertIn("not in force on b entry (127.0.0.1:1): no status", err)
        code, out, _ = self.ctl("status")
        self.assertEqual(code, 1)
        self.assertIn("b entry (127.0.0.1:1): UNREACHABLE", out)
        self.assertIn("degraded: table_unreachable since 2026-01-02T03:04:05Z", out)
        call("POST", self.platform.address, "/hosts", {"hosts": [host], "lag_ms": 0})
        behind.status["version"] = 1
        self.assertEqual(self.ctl("apply", EXAMPLE, "--wait", *WHO)[:2],
                         (0, "no change\nversion 1 is in force on every live process\n"))
        self.assertEqual(self.ctl("drain", "a")[0], 0)
        self.assertTrue(good.drained and behind.drained)
        self.assertEqual(self.ctl("drain", "nobody")[0], 2)

    def test_report_counts_between_samples_and_names_the_unreachable(self):
        metrics = 'fescuesill_requests_total{service="diagnoses",class="patient",outcome="completed"} %d\n' \
                  'fescuesill_within_target_total{service="diagnoses",class="patient"} %d\n'
        entry = Admin({})
        self.addCleanup(entry.end)
        entry.metrics = metrics % (1000, 1000)
        host = {"host": "a", "data_centre": "athens", "entry": "x", "scheduler": "x", "state": "live",
                "entry_admin": entry.address, "scheduler_admin": "127.0.0.1:1"}
        call("POST", self.platform.address, "/hosts", {"hosts": [host], "lag_ms": 0})
        self.assertEqual(self.ctl("report")[0], 1)  # nothing is in force
        self.ctl("apply", EXAMPLE, *WHO)
        self.assertEqual(self.ctl("report")[0], 1)
        entry.metrics = metrics % (1100, 1090)
        code, out, _ = self.ctl("report", "--json")
        report = json.loads(out)
        self.assertEqual(code, 1)
        self.assertIn("a scheduler (127.0.0.1:1)", report["unreachable"][0])
        window = next(s for s in report["services"] if s["service"] == "diagnoses")["windows"]["6h"]
        self.assertEqual((window["good"], window["total"]), (90, 100))
        page = self.path + ".html"
        self.addCleanup(lambda: os.path.exists(page) and os.unlink(page))
        self.ctl("report", "--html", page)
        self.assertIn("<svg", pathlib.Path(page).read_text(encoding="utf-8"))

    def test_explain_reads_logs(self):
        log = self.write("time=2026-01-02T03:04:05.000Z level=info process=entry event=ended request=r1 outcome=completed\n")
        code, out, _ = self.ctl("explain", "r1", log)
        self.assertEqual((code, out.split()[2]), (0, "ended"))
        self.assertEqual(self.ctl("explain", "r2", log)[0], 1)
        self.assertEqual(self.ctl("explain", "r1", "/nowhere")[0], 2)


if __name__ == "__main__":
    unittest.main()
