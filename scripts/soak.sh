#!/usr/bin/env bash
# soak.sh BUILD_DIR [ROUNDS]: random faults and interleavings with a new seed each round, first over the cores in virtual
# time, then over gateways as processes. Prints every seed; a failing round is repeated with
# RC_PARAMS="seed=SEED max_success=N" BUILD_DIR/proof_test --gtest_filter='RandomFaults*', or testing/soak/soak.py --seed SEED.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
rounds=${2:-20}
for ((round = 1; round <= rounds; ++round)); do
    seed=$(od -An -N6 -tu8 /dev/urandom | tr -d ' ')
    export RC_PARAMS="seed=$seed max_success=${FESCUESILL_SOAK_RUNS:-2000}"
    echo "soak: round $round of $rounds, RC_PARAMS=\"$RC_PARAMS\""
    for test in proof_test promise_test; do
        "$build/$test" --gtest_brief=1 --gtest_filter='RandomFaults*:StreamProgress*:ConfigStore*' || {
            echo "soak: $test failed with RC_PARAMS=\"$RC_PARAMS\"" >&2
            exit 1
        }
    done
done
FESCUESILL_BUILD="$build" python3 testing/soak/soak.py --rounds "$rounds"
