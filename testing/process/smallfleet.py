"""One host of ours with stand-in engines, endpoints and platform, for tests of the entry's whole path.

    with SmallFleet() as fleet:
        status, body = call("POST", fleet.entry, "/v1/completions", {"model": "verdict", "prompt": "..."})
"""

import json
import pathlib
import shutil
import tempfile

from standin import Process, binary, call, free_address, wait_until

DECLARATION_HEAD = """
[data_centre athens]
region = attica

[class live]
rank = 0
first_token = 550ms
per_token = 71ms
patience = 5s
"""


class SmallFleet:
    """Two prefill and some decode engines, two application servers, one platform, one scheduler, one entry."""

    def __init__(self, speed=5, io_threads=2, settings="", engine_options=(), pieces=20, decodes=2):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="fescuesill-"))
        self.running = []
        self.settings = settings
        self.io_threads = io_threads
        self.engines = {}
        self.pieces = pieces
        names = ["p1", "p2"] + [f"d{number + 1}" for number in range(decodes)]
        for name in names:
            role = "prefill" if name.startswith("p") else "decode"
            self.engines[name] = self.standin(
                "fakeengine", "--role", role, "--model", "verdict", "--speed", speed, *engine_options
            )
        self.apps = {name: self.standin("fakeengine", "--app") for name in ("b1", "b2")}
        self.platform = self.standin("fakeplatform")
        self.scheduler_peers, self.scheduler_admin = free_address(), free_address()
        self.scheduler = None
        self.sweep_pause = "10min"
        self.entries = []

    def standin(self, *command):
        process = Process(binary(command[0]), *command[1:], "--listen", "127.0.0.1:0")
        self.running.append(process)
        return process.read_address()

    def declaration(self):
        text = DECLARATION_HEAD
        for name, engine in self.engines.items():
            role = "prefill" if name.startswith("p") else "decode"
            text += (
                f"\n[engine {name}]\naddress = {engine.address}\ndata_centre = athens\nmodel = verdict\n"
                f"role = {role}\npieces = {self.pieces}\n"
            )
        for name, app in self.apps.items():
            text += f"\n[endpoint {name}]\naddress = {app.address}\ndata_centre = athens\n"
        text += "\n[service diagnose]\nclass = live\nkind = model\nmodel = verdict\nmax_output = 2048\n"
        for service, methods, repeatable in (("bookings", "POST", "no"), ("cards", "GET", "yes")):
            text += (
                f"\n[service {service}]\nclass = live\nkind = plain\nroute = /{service}\nmethods = {methods}\n"
                f"endpoints = b1, b2\nrepeatable = {repeatable}\nresult_query = {'no' if repeatable == 'yes' else 'yes'}\n"
                "deadline = 2s\n"
            )
        return text

    def put_configuration(self, version=1):
        record = {
            "version": version,
            "author": "test",
            "reason": "test",
            "change_id": f"change-{version}",
            "text": self.declaration(),
        }
        status, body = call(
            "POST",
            self.platform.address,
            "/table/commit",
            {"writes": [{"key": "config/current", "value": json.dumps(record)}]},
        )
        assert status == 200, body

    def program(self, name, text):
        path = self.directory / f"{name}-{len(self.running)}.ini"
        path.write_text(text)
        process = Process(binary(f"fescuesill-{name}"), "--config", str(path))
        self.running.append(process)
        return process

    def start_scheduler(self):
        self.scheduler = self.program(
            "scheduler",
            f"[process]\nhost = athens-a\ndata_centre = athens\n[listen]\npeers = {self.scheduler_peers}\n"
            f"admin = {self.scheduler_admin}\n[platform]\naddress = {self.platform.address}\n"
            f"[engines]\nload_poll = 50ms\n[ledger]\nsweep_pause = {self.sweep_pause}\n",
        )
        return self.scheduler

    def start_entry(self, host="athens-a"):
        callers, admin = free_address(), free_address()
        process = self.program(
            "entry",
            f"[process]\nhost = {host}\ndata_centre = athens\n[listen]\ncallers = {callers}\nadmin = {admin}\n"
            f"[platform]\naddress = {self.platform.address}\n[scheduler]\naddress = {self.scheduler_peers}\n"
            f"[threads]\nio = {self.io_threads}\n{self.settings}",
        )
        process.address, process.admin = callers, admin
        self.entries.append(process)
        return process

    def wait_ready(self, entry):
        wait_until(lambda: call("GET", entry.admin, "/readyz")[0] == 200, f"entry ready\n{entry.log()}")
        wait_until(lambda: not self.status(entry)["degraded"], f"entry whole\n{entry.log()}")

    @staticmethod
    def status(entry):
        return call("GET", entry.admin, "/status")[1]

    @staticmethod
    def metric(entry, name):
        """The sum over all labels of one metric."""
        text = call("GET", entry.admin, "/metrics")[1]
        lines = [line for line in text.splitlines() if line.startswith((name + "{", name + " "))]
        return sum(float(line.rsplit(" ", 1)[1]) for line in lines)

    @property
    def entry(self):
        return self.entries[0].address

    def __enter__(self):
        try:
            self.put_configuration()
            self.start_scheduler()
            self.wait_ready(self.start_entry())
            return self
        except BaseException:
            self.__exit__()
            raise

    def __exit__(self, *unused):
        for process in reversed(self.running):
            process.end()
        shutil.rmtree(self.directory, ignore_errors=True)
