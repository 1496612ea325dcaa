"""A few short days of random faults; hundreds are played by the lab."""

import os
import subprocess
import sys

import pytest

from cartdeal.fleet.simulation.fault_schedule import run_fault_schedule

TERMS = {"agents": 5, "seconds": 10.0, "pause_s": 1.5, "requests": 10.0}
PRINT_RESULT = (
    "from cartdeal.fleet.simulation.fault_schedule import run_fault_schedule; "
    f"print(run_fault_schedule(3, **{TERMS}))"
)


@pytest.mark.parametrize("seed, upgrade", [(3, False), (7, True)])
def test_no_invariant_is_violated_and_the_fleet_recovers_soon(seed, upgrade):
    result = run_fault_schedule(seed, upgrade=upgrade, **TERMS)
    assert result.found == []
    assert result.one_ring_s < 30.0 and result.equal_s < 30.0 and result.served_after > 0.5


def test_the_same_seed_gives_the_same_result_in_every_process():
    outputs = [
        subprocess.run(
            [sys.executable, "-c", PRINT_RESULT],
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path), "PYTHONHASHSEED": str(number)},
        ).stdout
        for number in (1, 2)
    ]
    assert outputs[0] == outputs[1] and "one_ring_s" in outputs[0]
