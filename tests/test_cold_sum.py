"""Rule 4 under the sum of all agents: worlds that press the cold ramp, and breakages that they must find.

A cold server is allowed N requests in a span, N by the settings, and what chance adds. The worlds allow once
its present capacity, not three times as is usual, in a short span: here the agents' limits do not hold the
sum in the ramp's stead.
"""

from types import SimpleNamespace

import pytest

from cartdeal.agent.reducer import Reducer
from cartdeal.emulator import world as worlds
from cartdeal.emulator.judge import Judge
from cartdeal.emulator.play import Fleet

ALL_OF_A = {"kind": "replace", "zone": "a", "part": 1.0, "begins_s": 3.0, "lasts_s": 0.1}
SIX_IN_TEN = {"kind": "replace", "part": 0.6, "begins_s": 3.0, "lasts_s": 1.0}
ALL_KILLED = [{"kind": "kill", "part": 1.0, "begins_s": at} for at in (3.9, 6.0)]
FAULTS = {
    "many cold at once": [SIX_IN_TEN],
    "restarted right before and during the ramp": [SIX_IN_TEN, *ALL_KILLED],
    "a zone all cold": [ALL_OF_A],
    "a zone all cold, its agents restarted": [ALL_OF_A, *ALL_KILLED],
    "a zone all cold, the other lost": [
        ALL_OF_A,
        {"kind": "zone_cut", "zone": "b", "begins_s": 5.0, "lasts_s": 3.0},
    ],
    "lists of different age": [
        SIX_IN_TEN,
        {"kind": "list_late", "begins_s": 2.0, "lasts_s": 4.0, "size": 2.0},
        {"kind": "list_down", "begins_s": 5.0, "lasts_s": 2.0},
        {"kind": "kill", "part": 0.5, "begins_s": 4.5},
    ],
    "one key busy, and more of it": [
        SIX_IN_TEN,
        {"kind": "hot_key", "begins_s": 7.0, "lasts_s": 3.0, "size": 0.9},
        {"kind": "jump", "begins_s": 7.0, "lasts_s": 3.0, "size": 3.0},
    ],
}


def play(agents, faults, seed, make=Reducer, per_s=250.0, **more):
    world = {
        "seconds": 10.0,
        "agents": agents,
        "fall_multiple": 1.0,
        "fall_s": 0.5,
        "fault": faults,
        "clients": {"per_s": per_s, "unevenness": 1.5},
        "servers": {"per_zone": 6, "cores": 2, "cold_from": 0.1, "cold_s": 8.0, "waiting": 60},
        "workload": [{"name": "read", "work_s": 0.05, "spread": "fixed"}],
        **more,
    }
    return Fleet(worlds.made(world), seed, make).play().judge


def margin(judge):
    """Most requests in a span at any cold server, as a share of what is allowed."""
    return max(judge.closest.values(), default=0.0)


@pytest.mark.parametrize("agents, seed", [(20, 1), (30, 2), (200, 3)])
@pytest.mark.parametrize("faults", FAULTS.values(), ids=FAULTS)
def test_the_sum_of_all_agents_stays_under_what_a_cold_server_is_allowed(faults, agents, seed):
    judge = play(agents, faults, seed)
    print(f"at most {margin(judge):.2f} of what is allowed")
    assert not judge.violations and 0 < margin(judge) <= 1


@pytest.mark.parametrize("agents", [20, 30, 200])
def test_agents_with_less_than_a_request_a_span_keep_to_the_sum(agents):
    kind = {"name": "read", "work_s": 0.5, "goal_s": 2.0, "limit_s": 5.0, "spread": "fixed"}
    judges = [
        play(agents, [SIX_IN_TEN], seed, per_s=10.0, fall_s=2.0, fall_multiple=3.0, workload=[kind])
        for seed in (1, 2, 3)
    ]
    print("at most", [f"{margin(each):.2f}" for each in judges], "of what is allowed")
    assert not any(each.violations for each in judges) and 0 < max(map(margin, judges)) <= 1


# What the worlds must find


class WholeTokens(Reducer):
    """Every agent may send a cold server a request at once."""

    def on_server_list(self, server_list, fresh=True):
        known = set(self.balancer.servers)
        super().on_server_list(server_list, fresh)
        for index in set(self.balancer.servers) - known:
            self.balancer.servers[index].slow_start_tokens = 1.0


class FleetsRate(Reducer):
    """Every agent takes what the fleet may send for its own."""

    def __init__(self, *args):
        super().__init__(*args)
        like = self.balancer.warm_send_rate
        self.balancer.warm_send_rate = lambda zone, now: like(zone, now) * self.balancer.settings.agent_count


@pytest.mark.parametrize("breakage", [WholeTokens, FleetsRate])
@pytest.mark.parametrize("agents", [20, 30, 200])
def test_a_ramp_that_forgets_the_fleet_is_found(breakage, agents):
    found = play(agents, [SIX_IN_TEN], 1, breakage).violations
    print(*found, sep="\n")
    assert found and {each.rule for each in found} == {4}
    # Among few agents their limits hold the sum to what chance may add, and the work alone is over.
    assert agents < 200 or [each for each in found if "requests" in each.words]


# The judge


def judged(requests, agent, work=0.0, told=5.0):
    judge = Judge(
        worlds.made(
            {
                "fall_multiple": 2.0,
                "fall_s": 2.0,
                "workload": [
                    {"name": "read", "work_s": 0.1, "share": 3.0},
                    {"name": "mark", "work_s": 0.5, "share": 1.0},
                ],
            }
        )
    )
    server = SimpleNamespace(name="s", started=5.0, capacity=lambda: 0.8)
    judge.agent_told(5.0, 1, "s", True, told)
    for turn in range(requests):
        judge.work_reached(6.0 + turn / 1000, server, work, agent)
    return [each.rule for each in judge.violations]


def test_judge_counts_requests_of_agents_that_were_told_of_the_start():
    # 2 x 0.8 x 2 s of work, at 0.2 s a request: 16, and 2 x 4 + 2 more by chance.
    assert judged(26, agent=1) == [] and judged(27, agent=1) == [4]
    assert judged(99, agent=2) == [] and judged(99, agent=1, told=0.0) == []  # knew nothing of it
    assert judged(99, agent=None) == []  # probes


def test_judge_counts_work_whoever_sent_it():
    assert judged(16, agent=None, work=0.1999) == [] and judged(17, agent=None, work=0.1999) == [4]
    assert judged(17, agent=2, work=0.1999) == [4]
