#!/usr/bin/env python3
"""slopes.py [HOSTS…]: what real schedulers cost as the fleet grows, one JSON line for each number of hosts.

Starts the stand-in platform and as many schedulers on 127.0.0.1, waits until every one has the declaration, and reads
over a quiet time: processor time from /proc/PID/stat, memory from /proc/PID/status, bytes of probes from /metrics,
calls at the platform from /counts. Then it applies a change and takes the time until every scheduler has it in force.
Stops before the schedulers take half of the memory. The engines of the declaration do not run.
"""

import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "testing" / "process"))
from standin import Process, binary, call, wait_until  # noqa: E402

FIRST_PORT = int(os.environ.get("FESCUESILL_SLOPES_PORT", "21000"))
QUIET_SECONDS = 20
TICKS = os.sysconf("SC_CLK_TCK")
ZONES = ("athens", "piraeus", "marousi")


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_kb(pid):
    return int(re.search(r"VmRSS:\s+(\d+)", pathlib.Path(f"/proc/{pid}/status").read_text()).group(1))


def total_memory_kb():
    return int(re.search(r"MemTotal:\s+(\d+)", pathlib.Path("/proc/meminfo").read_text()).group(1))


def metric(address, name):
    text = call("GET", address, "/metrics")[1]
    return sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines() if re.match(name + r"[ {]", line))


class Fleet:
    def __init__(self, size, folder):
        self.platform = Process(binary("fakeplatform"), "--host-lag-ms", "0").read_address()
        self.processes = []
        self.hosts = [self.host(i) for i in range(size)]
        call("POST", self.platform.address, "/hosts", {"hosts": self.hosts, "lag_ms": 0})
        for host in self.hosts:
            path = pathlib.Path(folder, host["host"] + ".ini")
            path.write_text(f"[process]\nhost = {host['host']}\ndata_centre = {host['data_centre']}\n[listen]\n"
                            f"peers = {host['scheduler']}\nadmin = {host['scheduler_admin']}\n"
                            f"[platform]\naddress = {self.platform.address}\n[log]\nlevel = warning\n")
            self.processes.append(Process(binary("fescuesill-scheduler"), "--config", path))

    @staticmethod
    def host(index):
        peers, admin = FIRST_PORT + 2 * index, FIRST_PORT + 2 * index + 1
        return {"host": f"h{index:03}", "data_centre": ZONES[index % len(ZONES)], "entry": "127.0.0.1:1",
                "scheduler": f"127.0.0.1:{peers}", "entry_admin": f"127.0.0.1:{admin}",
                "scheduler_admin": f"127.0.0.1:{admin}", "state": "live"}

    def apply(self, path, *options):
        command = [binary("fescuesillctl"), "apply", path, "--author", "slopes", "--reason", "slopes",
                   "--platform", self.platform.address, *options]
        subprocess.run(command, check=True, stdout=subprocess.DEVNULL)

    def all_at(self, version):
        return all(call("GET", host["scheduler_admin"], "/status")[1]["version"] >= version for host in self.hosts)

    def counts(self):
        return call("GET", self.platform.address, "/counts")[1]

    def measure_quiet(self):
        pids = [process.pid for process in self.processes]
        before = [cpu_seconds(pid) for pid in pids]
        sent = [metric(host["scheduler_admin"], "fescuesill_probe_sent_bytes") for host in self.hosts]
        calls = self.counts()
        start = time.monotonic()
        time.sleep(QUIET_SECONDS)
        passed = time.monotonic() - start
        size = len(pids)
        spent = [cpu_seconds(pid) - earlier for pid, earlier in zip(pids, before)]
        # The table's calls are read first: our own reading of /metrics below makes none.
        later = self.counts()
        now = [metric(host["scheduler_admin"], "fescuesill_probe_sent_bytes") for host in self.hosts]
        return {
            "core_percent_per_host": round(100 * sum(spent) / passed / size, 3),
            "core_percent_worst": round(100 * max(spent) / passed, 3),
            "resident_mb_worst": round(max(resident_kb(pid) for pid in pids) / 1024, 1),
            "probe_sent_bytes_per_second_per_host": round((sum(now) - sum(sent)) / passed / size),
            "table_reads_per_second": round((later["reads"] - calls["reads"]) / passed, 1),
            "table_writes_per_second": round((later["writes"] - calls["writes"]) / passed, 1),
        }

    def end(self):
        for process in self.processes:
            process.end()
        self.platform.end()


def measure(size):
    example = (ROOT / "examples" / "karamanlis.ini").read_text(encoding="utf-8")
    with tempfile.TemporaryDirectory() as folder:
        first, second = pathlib.Path(folder, "first.ini"), pathlib.Path(folder, "second.ini")
        first.write_text(example, encoding="utf-8")
        second.write_text(example.replace("first_token = 5s", "first_token = 6s"), encoding="utf-8")
        fleet = Fleet(size, folder)
        try:
            fleet.apply(first)
            wait_until(lambda: fleet.all_at(1), "the first version everywhere", 120)
            time.sleep(5)
            result = {"schedulers": size, **fleet.measure_quiet()}
            fleet.apply(second)
            start = time.monotonic()
            wait_until(lambda: fleet.all_at(2), "the second version everywhere", 120)
            result["in_force_everywhere_seconds"] = round(time.monotonic() - start, 2)
            result["load_average"] = round(os.getloadavg()[0], 1)
            return result
        finally:
            fleet.end()


def main():
    sizes = [int(text) for text in sys.argv[1:]] or [3, 6, 9, 18, 36, 100]
    largest_kb = 0
    for size in sizes:
        if largest_kb * size > total_memory_kb() / 2:
            print(json.dumps({"schedulers": size, "left_out": "would take half of the memory"}))
            break
        result = measure(size)
        largest_kb = result["resident_mb_worst"] * 1024
        print(json.dumps(result), flush=True)


if __name__ == "__main__":
    main()
