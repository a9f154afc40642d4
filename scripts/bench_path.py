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
from standin import binary  # noqa: E402

# Engines with room for every stream and steps of the usual length, so that the path is measured and not their queue.
ROOMY = ("--pieces", "3000", "--step-slope", "0", "--prompt-token-ms", "0.002", "--link-token-ms", "0.0001")
PIECES = 3000


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


def throughput(io_threads, tokens, streams, seconds):
    options = ("--pieces", "3000", "--step-slope", "0", "--prompt-token-ms", "0.002", "--link-token-ms", "0.0001")
    with SmallFleet(speed=1000, engine_options=options, pieces=PIECES, io_threads=io_threads, decodes=4) as fleet:
        result = bench("--entry", fleet.entry, "--streams", streams, "--tokens", tokens, "--seconds", seconds)
        result.update(io_threads=io_threads, tokens=tokens)
        return result


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
        "machine": {"cores": os.cpu_count(), "load_1min_at_start": os.getloadavg()[0]},
        "latency": latency(quick),
        "throughput_requests": [throughput(threads, 8, 256, seconds) for threads in (1, 4)],
        "throughput_tokens": [throughput(threads, 2000, 256, seconds) for threads in (1, 4)],
        "memory": memory(200 if quick else 1000),
    }
    json.dump(report, sys.stdout, indent=2)
    print()


if __name__ == "__main__":
    main()
