#!/usr/bin/env bash
# slopes.sh BUILD_DIR: the figures of docs/CAPACITY.md, one JSON line each. Takes some five minutes, most of it waiting.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
"$build/fescuesill-slopes"
FESCUESILL_BUILD="$build" python3 scripts/slopes.py
