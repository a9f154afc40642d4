#!/usr/bin/env bash
# test.sh BUILD_DIR: every check that decides whether the tree is green, in the order that fails fastest.
# Seeds are fixed and no check reads a clock to pass or fail, so the verdict is the same on every run.
# Tests named in KNOWN-RED.txt are passed over and printed.
# A build under a sanitizer takes gigabytes and is removed once its tests have passed, unless FESCUESILL_KEEP_BUILDS is set.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
export RC_PARAMS="seed=20261202"

known_red=$(grep -vE '^\s*(#|$)' KNOWN-RED.txt 2>/dev/null | cut -d: -f1 | paste -sd: || true)
if [ -n "$known_red" ]; then
    echo "known red, passed over:"
    grep -vE '^\s*(#|$)' KNOWN-RED.txt
    export GTEST_FILTER="-$known_red" KNOWN_RED=$known_red
fi

remove_build() {
    [ -n "${FESCUESILL_KEEP_BUILDS:-}" ] || rm -rf "$1"
}

echo "== format and lint"
scripts/format.sh --check
scripts/lint.sh "$build"

echo "== tests"
ctest --test-dir "$build" --output-on-failure

echo "== tests under address and undefined behaviour sanitizers"
make --no-print-directory asan
ctest --test-dir "$build-asan" --output-on-failure --parallel 4
remove_build "$build-asan"

echo "== threaded parts under the thread sanitizer"
make --no-print-directory tsan
ctest --test-dir "$build-tsan" --output-on-failure -R '^(wire|proof|fescuesill-.*)$' --no-tests=ignore
remove_build "$build-tsan"

if compgen -G 'testing/process/test_*.py' >/dev/null; then
    echo "== process tests"
    scripts/process_tests.sh "$build"
fi
