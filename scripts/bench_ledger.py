#!/usr/bin/env python3
"""What the at-most-once ledger costs the platform's table: JSON on standard output.

    scripts/bench_ledger.py > ledger.json

Starts stand-in engines, a platform with its usual rates, a scheduler and an entry on this machine. Calls are counted by
the platform. The sweep is measured on rows that are all past their time, and on rows of which none is.
"""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "testing" / "process"))

from bench_path import processor_seconds  # noqa: E402
from smallfleet import SmallFleet  # noqa: E402
from standin import binary, call, wait_until  # noqa: E402

DAY = 24 * 3600
ROUNDS = 50
SWEPT = (2500, 10000)  # rows
LOADS = ((300, 100), (1000, 400), (3000, 1000))  # bookings a second asked for, calls at once


def counts(fleet):
    return call("GET", fleet.platform.address, "/counts")[1]


def book(fleet, key, **headers):
    return call("POST", fleet.entry, "/bookings", {"item": key}, {"X-Workspace": "w1", "Idempotency-Key": key, **headers})


def cost(fleet, calls):
    """Table calls of some bookings made one by one, less those that the fleet makes by itself in the same time."""
    begin, before = time.monotonic(), counts(fleet)
    calls()
    time.sleep(0.5)  # the answer is stored after the reply
    middle, after = time.monotonic(), counts(fleet)
    time.sleep(middle - begin)
    idle = counts(fleet)
    return {kind: round((after[kind] - before[kind] - (idle[kind] - after[kind])) / ROUNDS, 2) for kind in ("reads", "writes")}


def each_booking(fleet):
    keys = [f"k{number}" for number in range(ROUNDS)]

    def book_each():
        for key in keys:
            book(fleet, key)
            time.sleep(0.05)  # else a booking's second write shares the commit of the next one's first

    costs = {"first": cost(fleet, book_each)}
    costs["repeat"] = cost(fleet, book_each)
    doubt = {"attempt": "r", "entry": "athens-b", "digest": "d", "state": "open", "deadline_us": 0, "expiry_us": 0}
    for key in keys:
        row = f"call/bookings/w1/{key}"
        record = json.loads(call("GET", fleet.platform.address, f"/table/row?key={row}")[1]["value"])
        writes = [{"key": row, "value": json.dumps({**doubt, "digest": record["digest"]})}]
        call("POST", fleet.platform.address, "/table/commit", {"writes": writes})
    for app in fleet.apps.values():
        app.send(signal.SIGSTOP)  # the endpoint cannot be asked either
    costs["doubtful"] = cost(fleet, lambda: [book(fleet, key) for key in keys[:1]])
    for app in fleet.apps.values():
        app.send(signal.SIGCONT)
    costs["doubtful"] = {kind: round(value * ROUNDS, 2) for kind, value in costs["doubtful"].items()}
    return costs


def throughput(fleet, rate, concurrency, seconds=5):
    before, begin = counts(fleet), time.monotonic()
    applications = ",".join(app.address for app in fleet.apps.values())
    history = fleet.directory / "history.jsonl"
    subprocess.run([binary("loadtool"), "--entries", fleet.entry, "--applications", applications, "--bookings", "1",
                    "--completions", "0", "--chats", "0", "--rate", str(rate), "--concurrency", str(concurrency),
                    "--seconds", str(seconds), "--attempts", "1", "--history", str(history)],
                   capture_output=True, check=False)
    after, seconds = counts(fleet), time.monotonic() - begin
    outcomes = [json.loads(line) for line in history.read_text().splitlines()]
    outcomes = [line["outcome"] for line in outcomes if line["event"] == "outcome"]
    done = outcomes.count("done")
    over = after["over_rate"] - before["over_rate"]
    rates = {"done": done, "not_done": len(outcomes) - done, "commits": after["writes"] - before["writes"] - over,
             "over_rate": over}
    return {"asked_per_second": rate, "calls_at_once": concurrency, "seconds": round(seconds, 1),
            **{f"{name}_per_second": round(count / seconds, 1) for name, count in rates.items()}}


def put_rows(fleet, rows, settled_before):
    expiry = int((time.time() - settled_before + 7 * DAY) * 1e6)
    record = {"attempt": "r", "entry": "athens-b", "digest": "d", "state": "done", "deadline_us": 0, "expiry_us": expiry,
              "answer": {"status": 200, "content_type": "application/json", "body": "eyJtb3RvciI6ODF9"}}
    for begin in range(0, rows, 100):
        writes = [{"key": f"call/bookings/w1/{number:08}", "value": json.dumps(record)} for number in range(begin, begin + 100)]
        while call("POST", fleet.platform.address, "/table/commit", {"writes": writes})[0] != 200:
            time.sleep(0.05)


def sweep(fleet, rows, settled_before):
    put_rows(fleet, rows, settled_before)
    fleet.sweep_pause = "1s"
    scheduler = fleet.start_scheduler()
    processor, begin = processor_seconds(scheduler), time.monotonic()
    lines = wait_until(lambda: [line for line in scheduler.log().splitlines() if "ledger_swept" in line], "a pass", 600)
    fields = dict(field.split("=", 1) for field in lines[0].split() if "=" in field)
    seconds = time.monotonic() - begin
    used = processor_seconds(scheduler) - processor
    return {"rows": rows, "over": settled_before > 7 * DAY, "seconds": round(seconds, 1), "processor_seconds": round(used, 2),
            **{name: int(fields[name]) for name in ("reads", "deleted", "conflicts")}}


def main():
    result = {"load_average": os.getloadavg()}
    with SmallFleet(io_threads=4) as fleet:
        result["table_calls_of_a_booking"] = each_booking(fleet)
        result["bookings"] = [throughput(fleet, *load) for load in LOADS]
    result["sweeps"] = []
    for settled_before in (8 * DAY, 1 * DAY):
        for rows in SWEPT:
            with SmallFleet() as fleet:
                fleet.scheduler.kill()
                result["sweeps"].append(sweep(fleet, rows, settled_before))
    json.dump(result, sys.stdout, indent=2)
    print()


if __name__ == "__main__":
    main()
