#!/usr/bin/env bash
# lint.sh BUILD_DIR [FILE...]: clang-tidy over the given files, by default over every source.
# A file is looked at again only when it, a header that it reads or the rules changed.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
files=("$@")
if [ "${#files[@]}" -eq 0 ]; then
    mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp')
fi
cache=${FESCUESILL_LINT_CACHE:-.cache/lint}
mkdir -p "$cache"
lint_one() {
    [ -e "$cache/$1" ] && return 0
    clang-tidy --quiet -p "$build" "$2" 2>/dev/null && touch "$cache/$1"
}
export -f lint_one
export cache build
stamps=$(python3 scripts/lint_stamps.py "$build" "${files[@]}")
echo "$stamps" | xargs -P "${FESCUESILL_JOBS:-$(nproc)}" -L 1 bash -c 'lint_one "$1" "$2"' lint_one \
    || { echo "lint: failed" >&2; exit 1; }
echo "lint: ${#files[@]} files clean"
