# Makes .venv afresh whenever the pinned requirements differ from those it was made with.
set -e
if ! cmp -s requirements.txt .venv/made-with 2>/dev/null; then
    rm -rf .venv
    python3 -m venv .venv
    .venv/bin/pip -q install -r requirements.txt
    cp requirements.txt .venv/made-with
fi
# Started without leave to write, an agent would compile all of its own sources anew at every start.
.venv/bin/python -m compileall -q cartdeal
