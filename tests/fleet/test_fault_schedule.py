"""A few short schedules of random faults; the lab runs hundreds."""

import os
import subprocess
import sys

import pytest

from cartdeal.fleet.simulation.fault_schedule import run_fault_schedule

SCHEDULE = {"agents": 5, "seconds": 10.0, "mean_pause_s": 1.5, "request_rate": 10.0}
PRINT_RESULT = (
    "from cartdeal.fleet.simulation.fault_schedule import run_fault_schedule; "
    f"print(run_fault_schedule(3, **{SCHEDULE}))"
)


@pytest.mark.parametrize("seed, has_upgrade", [(3, False), (7, True)])
def test_fault_schedule_violates_no_invariant_and_the_fleet_recovers(seed, has_upgrade):
    result = run_fault_schedule(seed, has_upgrade=has_upgrade, **SCHEDULE)
    assert result.found == []
    assert result.one_ring_s < 30.0 and result.equal_s < 30.0 and result.served_after > 0.5


def test_a_seed_gives_the_same_result_in_every_process():
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
