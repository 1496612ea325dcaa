#!/bin/sh
# Writes what was sent, answered and run to record.txt in this folder.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the bad clients out.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || { echo "no .venv: run deploy/build.sh"; exit 2; }
exec .venv/bin/python -B review/3/case.py review/3/record.txt
