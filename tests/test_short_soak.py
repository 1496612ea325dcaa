"""A short, seeded soak of real agents under overlapping faults; docs/lab.md has the long one."""

import pytest

from cartdeal.rig.soak.faults import FAULTS_BY_NAME, draw_schedule
from tests.soak_process import play_soak

SEEDS = (1, 3)
AGENTS = 8
DURATION_S = 30.0  # of each seed


def test_every_kind_of_fault_is_drawn():
    """Guards against a soak that passes because a kind of fault is not in it."""
    drawn = {fault.name for seed in SEEDS for fault in draw_schedule(seed, DURATION_S)}
    assert drawn == set(FAULTS_BY_NAME)


@pytest.mark.parametrize("seed", SEEDS)
def test_short_soak_breaks_no_rule(seed, capsys):
    """Guards against faults that only real processes under overlapping troubles show."""
    result = play_soak(seed, AGENTS, DURATION_S)
    with capsys.disabled():
        print("\nsoak", result.output)  # in each run's output, also of one that passes
    assert result.status == 0, result.output
    assert result.request_count > AGENTS * DURATION_S
