#!/bin/bash
# Runs the case; see claim.txt.  TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python review/6/case.py
