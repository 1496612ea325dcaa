"""A small soak, so that it goes on working; the large ones are run by hand: `python -m cartdeal soak`."""

import pytest

from cartdeal.emulator.world import Unusable
from cartdeal.rig.soak import play, troubles


def test_small_soak_keeps_the_rules():
    played = play.Soak(seed=7, agents=3, seconds=11.0).play()
    assert len(played.troubles) >= 2 and len(played.judge.requests) > 100
    assert not played.judge.violations, played.report()


@pytest.mark.parametrize("seed", range(20))
def test_troubles_of_a_seed_overlap_and_are_the_same_each_time(seed):
    drawn = troubles.draw(seed, 30.0)
    assert drawn == troubles.draw(seed, 30.0)
    assert len(drawn) >= 6 and {each.kind for each in drawn} <= set(troubles.KINDS)
    for each in drawn:
        assert any(abs(each.begins_at - other.begins_at) < troubles.KNOT for other in drawn if other != each)


@pytest.mark.parametrize("agents, seconds", [(0, 10.0), (1000, 10.0), (3, 0.0), (3, 1e6)])
def test_soak_of_no_sensible_size_is_refused(agents, seconds):
    with pytest.raises(Unusable, match="wanted"):
        play.Soak(1, agents, seconds)
