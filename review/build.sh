#!/usr/bin/env bash
# Builds the stand-ins of all cases. They are Python programs that use the standard library only, so
# this checks the interpreter and that each of them compiles, without writing any file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py [0-9]*/*.py <<'PROGRAM'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
print(f"{len(sys.argv) - 1} programs are fine")
PROGRAM
