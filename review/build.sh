#!/bin/sh
# Builds the stand-ins of all cases, after the build of the deploy file.  They are Python programs that need the
# standard library only, so it is enough that they compile.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
