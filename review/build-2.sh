#!/bin/sh
# Builds what the cases 6 to 10 start beside the agent: nothing has to be compiled. The stand-ins are Python
# and use the standard library alone, with the interpreter that the build of the deploy file has put in .venv.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -B -c "import sys; sys.path.insert(0, 'review/standins-2'); import harness; harness.run_command()"
