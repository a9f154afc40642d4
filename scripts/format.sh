#!/usr/bin/env bash
# format.sh: formats every source file. format.sh --check: fails where one is not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --check ]; then
    git ls-files -z -co --exclude-standard '*.cpp' '*.h' | xargs -0 clang-format --dry-run -Werror
else
    git ls-files -z -co --exclude-standard '*.cpp' '*.h' | xargs -0 clang-format -i
fi
