#!/usr/bin/env bash
# Starts the stand-ins and three entry hosts across three data centres, applies a declaration, sends a mixed load of both
# users' kinds, kills one entry in the middle, and prints what each class of callers saw. Exit code 0 only if nothing was
# lost, doubled or broken. demo.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
FESCUESILL_BUILD="${1:-build}" exec python3 scripts/demo.py
