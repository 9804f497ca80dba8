#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0 it does the same without the disruption.
set -euo pipefail
cd "$(dirname "$0")"
export TROUBLE="${TROUBLE:-1}"
PYTHONPATH="$(cd .. && pwd)" exec python3 case.py
