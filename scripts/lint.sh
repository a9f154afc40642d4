#!/usr/bin/env bash
# lint.sh BUILD_DIR [FILE...]: clang-tidy over the given files, by default over every source.
# A file is looked at again only when it, a header, the rules or the compiler line changed.
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
rules=$(cat .clang-tidy CMakeLists.txt scripts/lint.sh | sha256sum | cut -c1-16)
headers=$(git ls-files -co --exclude-standard '*.h' | sort | xargs cat | sha256sum | cut -c1-16)
lint_one() {
    local stamp
    stamp="$cache/$(echo "$rules $headers $1 $(sha256sum <"$1")" | sha256sum | cut -c1-40)"
    [ -e "$stamp" ] && return 0
    clang-tidy --quiet -p "$build" "$1" 2>/dev/null && touch "$stamp"
}
export -f lint_one
export cache rules headers build
printf '%s\0' "${files[@]}" | xargs -0 -P "${FESCUESILL_JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}' \
    || { echo "lint: failed" >&2; exit 1; }
echo "lint: ${#files[@]} files clean"
