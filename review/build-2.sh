#!/bin/bash
# Builds what the cases 6 to 10 start beside the ingress: stand-ins in Python that need the standard library only.
# Run after the build of the deploy file, whose environment runs them; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x .venv/bin/python
for file in review/support_2/*.py review/{6,7,8,9,10}/*.py; do
    if [ -e "$file" ]; then
        .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
    fi
done
