# Creates .venv anew if the pinned requirements differ from those it was created with.
set -e
if ! cmp -s requirements.txt .venv/made-with 2>/dev/null; then
    rm -rf .venv
    python3 -m venv .venv
    .venv/bin/pip -q install -r requirements.txt
    cp requirements.txt .venv/made-with
fi
# An agent without permission to write would compile all of its own sources at every start.
.venv/bin/python -m compileall -q cartdeal
