#!/usr/bin/env python3
"""What the way through an entry costs: JSON on standard output.

    scripts/bench_path.py [--quick] > path.json

Starts stand-in engines, a platform, a scheduler and an entry on this machine. Latency is paired: each round asks the same
engines directly and through the entry. Throughput is what one entry carries with all engines on the same machine. Memory
is what the resident size of the entry grows by for each open stream.
"""

import argparse
import json
import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "testing" / "process"))

from smallfleet import SmallFleet  # noqa: E402
from standin import binary, wait_until  # noqa: E402

# Engines with room for every stream and steps of the usual length, so that the path is measured and not their queue.
ROOMY = ("--pieces", "3000", "--step-slope", "0", "--prompt-token-ms", "0.002", "--link-token-ms", "0.0001")
PIECES = 3000
NOTE = "engines, load generators and entry share the machine; compare figures of one run only"


def bench(*flags):
    command = [binary("pathbench"), *(str(flag) for flag in flags)]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    if result.returncode != 0:
        raise RuntimeError(result.stderr)
    return json.loads(result.stdout)


def resident_kilobytes(process):
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    raise RuntimeError("no VmRSS")


def processor_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def latency(quick):
    cases = ((1, 40, 20, 0), (100, 4, 100, 10000), (1000, 2, 200, 2000))
    results = []
    with SmallFleet(speed=1, engine_options=ROOMY, pieces=PIECES) as fleet:
        engines = ("--prefill", fleet.engines["p1"].address, "--decode", fleet.engines["d1"].address)
        for streams, rounds, tokens, spread in cases[: 2 if quick else 3]:
            result = bench("--entry", fleet.entry, *engines, "--streams", streams, "--rounds", rounds, "--tokens", tokens,
                           "--spread-us", spread)
            direct, entry = result["direct"]["first_token_ms"], result["entry"]["first_token_ms"]
            result["added_first_token_ms_p50"] = entry["p50"] - direct["p50"]
            results.append(result)
    return results


def throughput(io_threads, tokens, streams, seconds, generators=3):
    """What one entry carries. It places by itself: the cell's queue is measured elsewhere, and with 32 streams of engines
    a thousand times as fast as real ones it would be the limit. Several load generators, each one thread."""
    options = (*ROOMY, "--keep-ms", "800000")
    with SmallFleet(speed=1000, engine_options=options, pieces=PIECES, io_threads=io_threads, decodes=4) as fleet:
        fleet.scheduler.kill()
        entry = fleet.entries[0]
        wait_until(lambda: fleet.status(entry)["degraded"], "no owner")
        before = processor_seconds(entry)
        command = [binary("pathbench"), "--entry", fleet.entry, "--streams", str(streams // generators), "--tokens",
                   str(tokens), "--seconds", str(seconds)]
        running = [subprocess.Popen(command, stdout=subprocess.PIPE) for _ in range(generators)]
        results = [json.loads(process.communicate()[0]) for process in running]
        requests = sum(result["requests"] for result in results)
        used = processor_seconds(entry) - before
        return {
            "io_threads": io_threads,
            "tokens": tokens,
            "streams": streams // generators * generators,
            "requests_per_second": sum(result["requests_per_second"] for result in results),
            "tokens_per_second": sum(result["tokens_per_second"] for result in results),
            "failed": sum(result["failed"] for result in results),
            "processor_microseconds_per_token": used * 1e6 / max(requests * tokens, 1),
            "processor_microseconds_per_request": used * 1e6 / max(requests, 1),
        }


def memory(streams):
    """Streams that write slowly, so that all are open at once."""
    with SmallFleet(speed=1, engine_options=ROOMY, pieces=PIECES) as fleet:
        entry = fleet.entries[0]
        bench("--entry", fleet.entry, "--streams", 10, "--tokens", 5, "--seconds", 1)
        before = resident_kilobytes(entry)
        process = subprocess.Popen([binary("pathbench"), "--entry", fleet.entry, "--streams", str(streams), "--tokens",
                                    "400", "--seconds", "1", "--spread-us", "2000"], stdout=subprocess.PIPE)
        most, open_streams = before, 0
        while process.poll() is None:
            requests = fleet.status(entry)["requests"]
            if requests >= open_streams:
                open_streams = requests
                most = max(most, resident_kilobytes(entry))
        process.stdout.close()
        return {"streams": open_streams, "kilobytes_each": (most - before) / max(open_streams, 1)}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer streams, shorter")
    quick = parser.parse_args().quick
    seconds = 2 if quick else 5
    report = {
        "machine": {"cores": os.cpu_count(), "load_1min_at_start": os.getloadavg()[0], "note": NOTE},
        "latency": latency(quick),
        "throughput_requests": [throughput(threads, 8, 96, seconds) for threads in (1, 4)],
        "throughput_tokens": [throughput(threads, 2000, 96, seconds) for threads in (1, 4)],
        "memory": memory(200 if quick else 1000),
    }
    json.dump(report, sys.stdout, indent=2)
    print()


if __name__ == "__main__":
    main()
