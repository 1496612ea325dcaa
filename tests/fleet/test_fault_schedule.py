"""A few short days of random faults; hundreds are played by the lab."""

import os
import subprocess
import sys

import pytest

from cartdeal.fleet.simulation.fault_schedule import run_day

DAY = {"agents": 5, "seconds": 10.0, "pause_s": 1.5, "requests": 10.0}
SAY = f"from cartdeal.fleet.simulation.fault_schedule import run_day; print(run_day(3, **{DAY}))"


@pytest.mark.parametrize("seed, upgrade", [(3, False), (7, True)])
def test_no_rule_is_broken_and_the_fleet_is_whole_again_soon(seed, upgrade):
    figures = run_day(seed, upgrade=upgrade, **DAY)
    assert figures["found"] == []
    assert figures["one_ring_s"] < 30.0 and figures["equal_s"] < 30.0 and figures["served_after"] > 0.5


def test_the_same_seed_gives_the_same_day_in_every_process():
    said = [
        subprocess.run(
            [sys.executable, "-c", SAY],
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path), "PYTHONHASHSEED": str(number)},
        ).stdout
        for number in (1, 2)
    ]
    assert said[0] == said[1] and "one_ring_s" in said[0]
