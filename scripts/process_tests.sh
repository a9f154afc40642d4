#!/usr/bin/env bash
# process_tests.sh BUILD_DIR: the tests that start processes, some files at a time, each on ports of its own. Those that
# measure memory and descriptors under crowds run last, one at a time.
# What a file printed is shown whole when it has ended; the verdict is green only if every file's is.
set -euo pipefail
cd "$(dirname "$0")/.."
export FESCUESILL_BUILD=$1
# Each file starts up to some twenty processes; four at a time stay far below a few hundred.
at_once=${FESCUESILL_PROCESS_JOBS:-4}
# Below the range from which the kernel takes ports of its own. A file frees its ports and comes round again.
first_port=24000
last_port=31999

mapfile -t files < <(ls testing/process/test_*.py)
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
width=$(((last_port - first_port + 1) / ${#files[@]}))

run_file() { # NUMBER FILE FIRST_PORT LAST_PORT LOG
    local name
    name=$(basename "$2" .py)
    if FESCUESILL_PORTS=$3-$4 PYTHONPATH=testing/process python3 testing/process/run_tests.py "$name" >"$5" 2>&1; then
        cat "$5"
    else
        cat "$5"
        echo "process tests: $name failed" >&2
        return 1
    fi
}
export -f run_file

number=0
for file in "${files[@]}"; do
    from=$((first_port + number * width))
    echo "$number $file $from $((from + width - 1)) $logs/$number"
    number=$((number + 1))
done >"$logs/all"
failed=0
grep -v /test_crowds "$logs/all" | xargs -P "$at_once" -L 1 bash -c 'run_file "$@"' run_file || failed=1
grep /test_crowds "$logs/all" | xargs -P 1 -L 1 bash -c 'run_file "$@"' run_file || failed=1
[ "$failed" = 0 ]
echo "process tests: ${#files[@]} files passed"
