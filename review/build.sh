#!/bin/sh
# The stand-ins of review/ and those of the project that they use are Python; this checks that they can be loaded.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/support exec python3 -c 'import world; print("stand-ins: ready")'
