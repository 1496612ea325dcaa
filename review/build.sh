# Builds the stand-ins of the cases: compiles them with the Python of the deploy file's build. Run from anywhere.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
