"""Reads KNOWN-RED.txt, the list of tests that fail because of a known fault that is not fixed yet.

Each line is `tests/FILE.py::TEST | cause | issue`. A listed test still runs and has to fail: if it
passes, the run fails until its line is removed, so the list never hides more than it says.
"""

from pathlib import Path
from typing import NamedTuple

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_LINES = 3


class KnownFailure(NamedTuple):
    """One line of the list. `test` is a pytest node id, with or without its parameters."""

    test: str
    cause: str
    issue: str

    def names(self, node_id: str) -> bool:
        """Whether the line lists the test with this node id."""
        return node_id == self.test or node_id.startswith(self.test + "[")


def parse(text: str) -> list[KnownFailure]:
    """Parses the list.

    Raises:
        ValueError: a line has another form, or there are more lines than MAX_LINES.
    """
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith("#")]
    if len(lines) > MAX_LINES:
        raise ValueError(f"{FILE.name}: found {len(lines)} tests, wanted {MAX_LINES} at most")
    failures = []
    for line in lines:
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields) or "::" not in fields[0]:
            raise ValueError(f"{FILE.name}: found {line!r}, wanted 'FILE::TEST | cause | issue'")
        failures.append(KnownFailure(*fields))
    return failures


def read() -> list[KnownFailure]:
    """The known failures; none if there is no list."""
    return parse(FILE.read_text()) if FILE.exists() else []
