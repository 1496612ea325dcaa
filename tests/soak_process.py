"""Plays a soak in a process of its own.

The rule checker goes by the clock of the soak's process and takes each delay of it for one of the agents. The
process of all tests holds so much that a collection of garbage delays it by half a second.
"""

import re
import subprocess
import sys
from typing import NamedTuple

TIMEOUT_S = 120.0  # with starts and ends; a soak that hangs fails the test


class SoakResult(NamedTuple):
    """The outcome of one soak."""

    status: int  # 0 if no rule was broken
    output: str  # the report, and what the soak wrote to the error stream

    @property
    def request_count(self) -> int:
        """The number of requests that clients sent."""
        return int(re.search(r"^seed \d+: (\d+) requests", self.output, re.MULTILINE)[1])


def play_soak(seed: int, agents: int, seconds: float) -> SoakResult:
    """Plays the soak of the seed; `seconds`: for which clients send requests."""
    command = [sys.executable, "-m", "cartdeal", "soak", "--seed", str(seed)]
    command += ["--agents", str(agents), "--seconds", str(seconds)]
    result = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False)
    return SoakResult(result.returncode, result.stdout + result.stderr)
