"""The list of tests that fail for a known fault which is not mended yet: KNOWN-RED.txt at the root.

One line each: `tests/FILE.py::TEST | cause | issue`. A listed test still runs and has to fail: one that
passes fails the run until its line is taken off, so the list never hides more than it says.
"""

from pathlib import Path
from typing import NamedTuple

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST_LINES = 3


class KnownFailure(NamedTuple):
    """One line of the list. `test` is a pytest node id, with or without its parameters."""

    test: str
    cause: str
    issue: str

    def names(self, node_id: str) -> bool:
        return node_id == self.test or node_id.startswith(self.test + "[")


def parse(text: str) -> list[KnownFailure]:
    """Raises ValueError for a line of another form, or for more lines than are allowed."""
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith("#")]
    if len(lines) > MOST_LINES:
        raise ValueError(f"{FILE.name}: found {len(lines)} tests, wanted {MOST_LINES} at most")
    found = []
    for line in lines:
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields) or "::" not in fields[0]:
            raise ValueError(f"{FILE.name}: found {line!r}, wanted 'FILE::TEST | cause | issue'")
        found.append(KnownFailure(*fields))
    return found


def read() -> list[KnownFailure]:
    return parse(FILE.read_text()) if FILE.exists() else []
