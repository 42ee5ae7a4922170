#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start besides the programs of the deploy file: the
# stand-ins in lib-3, which are Python and need only its standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11) and "Python 3.11 or later is needed")'
for file in lib-3/*.py 1[1-5]/*.py; do
  [ -e "$file" ] && python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
