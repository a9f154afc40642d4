#!/usr/bin/env python3
"""lint_stamps.py BUILD_DIR FILE...: for each source a line "STAMP FILE".

A stamp names the rules, the source and every header of this tree that its last build read, as Ninja recorded them. So a
source is looked at again when one of these changed, and not for every change of any header. Where nothing is recorded,
all headers count.
"""

import hashlib
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
RULES = (".clang-tidy", "CMakeLists.txt", "scripts/lint.sh", "scripts/lint_stamps.py")


def digest(paths):
    summed = hashlib.sha256()
    for path in sorted(paths):
        summed.update(str(path).encode() + b"\0" + (ROOT / path).read_bytes() + b"\0")
    return summed.hexdigest()


def inside(build, name):
    """The path below the root of the tree, none for the headers of libraries."""
    path = (build / name).resolve()
    return path.relative_to(ROOT) if path.is_relative_to(ROOT) and path.exists() else None


def recorded(build):
    """{source: {it and its headers}} of what was built."""
    listing = subprocess.run(["ninja", "-C", str(build), "-t", "deps"], capture_output=True, text=True, check=True)
    found = {}
    for block in listing.stdout.split("\n\n"):
        names = [line.strip() for line in block.splitlines()[1:] if line.startswith("    ")]
        paths = [path for path in (inside(build, name) for name in names) if path]
        if paths:
            found.setdefault(paths[0], set()).update(paths)
    return found


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    rules = digest(pathlib.Path(name) for name in RULES)
    headers = {path.relative_to(ROOT) for path in ROOT.rglob("*.h") if build not in path.parents}
    sources = recorded(build)
    for name in sys.argv[2:]:
        path = pathlib.Path(name)
        read = sources.get(path, headers) | {path}
        print(hashlib.sha256((rules + digest(read)).encode()).hexdigest()[:40], name)


main()
