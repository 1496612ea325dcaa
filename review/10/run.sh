#!/bin/sh
# Runs this case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. Writes
# record.txt beside this file. TROUBLE=0 leaves the disruption out. At most 120 seconds.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x .venv/bin/python ] || { echo "no .venv: run the build of the deploy file" >&2; exit 2; }
exec .venv/bin/python -B "$here/case.py" "$here/record.txt"
