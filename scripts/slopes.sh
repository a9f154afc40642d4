#!/usr/bin/env bash
# slopes.sh BUILD_DIR: the figures of docs/CAPACITY.md, one JSON line each. Takes some five minutes, most of it waiting.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
"$build/fescuesill-slopes"
"$build/fescuesill-slopes" links
"$build/fescuesill-slopes" configuration
"$build/fakeengine" --listen 127.0.0.1:23500 >/dev/null &
engine=$!
trap 'kill "$engine"' EXIT
"$build/fescuesill-slopes" polls 127.0.0.1:23500
FESCUESILL_BUILD="$build" python3 scripts/slopes.py
