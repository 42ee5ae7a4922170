#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0
# the disruption is left out.
cd "$(dirname "$0")" || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
