"""The emulator against theory, against itself, and its judge against planted faults."""

import os
import subprocess
import sys
from collections import Counter
from math import factorial, sqrt

import pytest

from cartdeal.agent.reducer import Reducer
from cartdeal.balancer_types import ServerState
from cartdeal.emulator import world as worlds
from cartdeal.emulator.play import Fleet
from cartdeal.emulator.servers import Job, Server
from cartdeal.emulator.shrink import shrink
from cartdeal.simulated_time import SimulatedClock, seeded_random

HARD = {
    "seconds": 14.0,
    "agents": 12,
    "clients": {"per_s": 120.0, "retries": 1, "unevenness": 1.0},
    "workload": [
        {"name": "read", "share": 0.5},
        {"name": "mark", "repeat": "keyed", "goal_s": 1.0, "limit_s": 3.0},
        {"name": "once", "repeat": "unsafe", "share": 0.6, "goal_s": 1.2, "limit_s": 3.0},
    ],
    "fault": [
        {"kind": "resets", "begins_s": 1.0, "lasts_s": 9.0, "part": 0.5, "size": 0.2},
        {"kind": "replace", "begins_s": 3.0, "lasts_s": 4.0, "part": 0.5},
        {"kind": "silent", "begins_s": 6.0, "lasts_s": 3.0, "part": 0.2},
        {"kind": "kill", "begins_s": 5.0, "part": 0.4},
        {"kind": "list_late", "begins_s": 2.0, "lasts_s": 6.0, "size": 1.0},
    ],
}
# Its limits keep the module under the usual multiple here even with no ramp, so this world allows less.
COLD = {
    "seconds": 12.0,
    "agents": 30,
    "zones": ["a"],
    "fall_multiple": 0.7,
    "clients": {"per_s": 120.0},
    "servers": {"per_zone": 6, "cores": 2, "cold_from": 0.1, "cold_s": 10.0, "waiting": 60},
    "fault": [{"kind": "replace", "begins_s": 4.0, "lasts_s": 0.5, "part": 0.5}],
}


def play(world, seed=5, make=Reducer, **more):
    return Fleet(worlds.world_from_dict(world), seed, make, **more).run()


# Theory


def waits(cores, load, count=60_000):
    """Times from arrival to the start of work, at one server with Poisson arrivals and exponential work."""
    clock, settings = SimulatedClock(), worlds.Servers(cores=cores, waiting=100_000)
    server, random, found = (
        Server(clock, settings, "s", 0, 1.0, seeded_random(1, "s")),
        seeded_random(3, f"{cores}"),
        [],
    )
    area, last = [0.0], [0.0]

    def count_held():
        area[0] += server.job_count * (clock.now - last[0])
        last[0] = clock.now

    def arrive(left):
        count_held()
        came = clock.now
        server.accept(
            Job(
                random.expovariate(1.0),
                lambda status: times.append(clock.now - came),
                lambda: found.append(clock.now - came),
            )
        )
        if left:
            clock.after(random.expovariate(load * cores), arrive, left - 1)

    times, finish = [], server.finish
    server.finish = lambda job, life: (count_held(), finish(job, life))
    clock.after(0.0, arrive, count)
    clock.run(count / (load * cores) * 2)
    end = last[0]
    return found, area[0] / end, len(times) / end * sum(times) / len(times)


@pytest.mark.parametrize("cores, load", [(1, 0.5), (1, 0.8), (4, 0.7)])
def test_waiting_times_agree_with_erlang_and_with_little(cores, load):
    found, held, by_little = waits(cores, load)
    offered = cores * load
    queue = offered**cores / factorial(cores) / (1 - load)
    waiting = queue / (queue + sum(offered**k / factorial(k) for k in range(cores)))
    expected = waiting / (cores - offered)
    batches = [sum(found[n : n + 2000]) / 2000 for n in range(0, 60_000, 2000)]  # batch means
    mean = sum(batches) / len(batches)
    error = sqrt(sum((each - mean) ** 2 for each in batches) / (len(batches) - 1) / len(batches))
    assert abs(mean - expected) < 3 * error
    assert held == pytest.approx(by_little, rel=1e-6)


def test_requests_in_equal_requests_out_and_the_rules_are_kept():
    fleet = play(HARD)
    rule_checker = fleet.rule_checker
    assert not rule_checker.violations and rule_checker.excused_count  # agents were killed with requests open
    assert (
        rule_checker.accepted_count
        == rule_checker.answered_count + rule_checker.excused_count
        == fleet.counts["requests"]
        > 1000
    )
    assert fleet.counts[200] + fleet.counts[503] + fleet.counts[502] == rule_checker.answered_count
    assert min(fleet.counts[each] for each in (200, 502, 503, "crossings", "handshakes", "list calls")) > 0
    assert not [
        each for each in fleet.servers.values() if each.open_connections < 0 or each.running_count < 0
    ]


def test_same_seed_same_trace_in_another_process_with_another_hash_seed():
    words = (
        "import zlib; from tests.test_emulator import *; trace = []; play(HARD, 9, trace=trace);"
        "print(zlib.crc32(repr(trace).encode()), len(trace))"
    )
    said = {
        subprocess.run(
            [sys.executable, "-c", words],
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            check=True,
        ).stdout
        for seed in ("1", "2")
    }
    assert len(said) == 1 and int(said.pop().split()[1]) > 1000


# The judge


class DrainIgnored(Reducer):
    def listed_server(self, line):
        found = super().listed_server(line)
        return found._replace(state=ServerState.READY)


class GoneIgnored(Reducer):
    def remove_server(self, name):
        self.server_indices[name] = self.server_indices[name]
        return self.balancer.servers and super().listed_server(self.lines[name])

    def listed_server(self, line):
        self.lines = getattr(self, "lines", {}) | {line.name.encode(): line}
        return super().listed_server(line)._replace(state=ServerState.READY)


class SentAgain(Reducer):
    def __init__(self, *args):
        super().__init__(*args)
        self.balancer.is_attempt_safe = lambda request, server, now: True


class NoRamp(Reducer):
    def __init__(self, *args):
        super().__init__(*args)
        self.balancer.slow_start_allows = lambda server, now, like: True


class TwoAnswers(Reducer):
    def answer(self, number, status, kind, body, wait):
        pending = self.requests.get(number)
        if pending and pending.client is not None and number % 50 == 0:
            self.effects.append(("answer", pending.client, status, kind, body, wait))
        super().answer(number, status, kind, body, wait)


class Forgotten(Reducer):
    def answer(self, number, *args):
        if number % 50:
            super().answer(number, *args)


class Overdue(Reducer):
    def on_request(self, asker, request):
        super().on_request(asker, request._replace(timeout=request.timeout + 1.0))


class RejectedInDoubt(Reducer):
    def fail(self, request):
        self.reject(request, 0.0)


class SentAfterAnswer(Reducer):
    def on_attempt_ended(self, number, server, attempt, ending, load=None):
        pending = self.requests.get(number)
        super().on_attempt_ended(number, server, attempt, ending, load)
        if pending and number % 50 == 0 and server in self.servers and number not in self.requests:
            self.requests[number] = pending
            self.send_attempt(number, server, 0.0)
            del self.requests[number]


class BothAtOnce(Reducer):
    def send_attempt(self, request, server, until):
        super().send_attempt(request, server, until)
        if self.requests[request].attempt_count == 1 and request % 50 == 0:
            super().send_attempt(request, server, until)


@pytest.mark.parametrize(
    "breakage, world, rule",
    [
        (DrainIgnored, HARD, 3),
        (GoneIgnored, HARD, 3),
        (SentAgain, HARD, 2),
        (RejectedInDoubt, HARD, 2),
        (BothAtOnce, HARD, 2),
        (TwoAnswers, HARD, 1),
        (Forgotten, HARD, 1),
        (Overdue, HARD, 1),
        (SentAfterAnswer, HARD, 1),
        (NoRamp, COLD, 4),
    ],
)
def test_judge_finds_a_planted_fault_and_names_its_rule(breakage, world, rule):
    found = play(world, make=breakage).rule_checker.violations
    assert Counter(each.rule for each in found).most_common(1)[0][0] == rule
    assert all(each.text and each.subject for each in found)


@pytest.mark.parametrize(
    "breakage, invariant",
    [
        (SentAgain, "no_second_effect"),
        (RejectedInDoubt, "no_unsafe_rejection"),
    ],
)
def test_agents_find_a_planted_fault_by_their_own_checks(breakage, invariant):
    """By a record of their own, whatever their decisions believe."""
    assert invariant in {
        each["invariant"] for each in play(HARD, make=breakage).rule_checker.agent_violations
    }


@pytest.mark.parametrize("world", [HARD, COLD])
def test_agents_that_keep_the_rules_find_nothing_by_their_own_checks(world):
    assert not play(world).rule_checker.agent_violations


def test_a_run_is_cut_down_to_what_its_violation_needs():
    left = shrink(worlds.world_from_dict(HARD), 5, DrainIgnored)
    assert left.violation.rule == 3 and len(left.arrivals) <= 3
    assert [each.kind for each in left.world.fault] == ["replace"]
    again = (
        Fleet(left.world, 5, DrainIgnored, included_arrivals=set(left.arrivals)).run().rule_checker.violations
    )
    assert left.violation in again
    assert shrink(worlds.world_from_dict(HARD), 5) is None


@pytest.mark.parametrize("seed", [5, 6])
def test_cold_world_keeps_the_rules_unbroken(seed):
    fleet = play(COLD, seed)
    assert not fleet.rule_checker.violations and any(
        each.started and each.served_count for each in fleet.servers.values()
    )


# The command


def emulate(*words):
    words = [sys.executable, "-m", "cartdeal", "emulate", *words]
    return subprocess.run(words, capture_output=True, text=True)


@pytest.mark.parametrize(
    "text, words",
    [
        ("agents = 0", "agents"),
        ("agnets = 3", "agnets"),
        ("[servers]\ncores = 'two'", "servers.cores"),
        ("[[fault]]\nkind = 'flood'\nbegins_s = 1", "kind"),
        ("[[fault]]\nkind = 'zone_cut'\nbegins_s = 1", "fault[0].zone"),
        ("[[fault]]\nkind = 'crash'\nbegins_s = 99", "fault[0].begins_s: found 99"),
        ("zones = []", "zones"),
        ("[[workload]]\nname = 'x'\n[[workload]]\nname = 'x'", "workload: found"),
        ("agents = ", "world.toml"),
        ("[[fault]]\nkind = 'errors'\nbegins_s = 1\nsize = 2.0", "fault[0].size"),
    ],
)
def test_world_that_cannot_be_used_gets_one_line_and_status_2(tmp_path, text, words):
    file = tmp_path / "world.toml"
    file.write_text(text)
    done = emulate(file)
    assert done.returncode == 2 and not done.stdout and done.stderr.count("\n") == 1
    assert words in done.stderr and "world.toml" in done.stderr


def test_command_prints_figures_and_says_by_its_status_whether_rules_were_kept(tmp_path):
    file = tmp_path / "world.toml"
    file.write_text("seconds = 2.0\nagents = 3")
    done = emulate(file, "--seed", "1", "--seed", "2")
    assert done.returncode == 0 and done.stdout.count("\n") == 3 and "p99" in done.stdout


def test_agent_starts_without_the_lab():
    words = "import sys, cartdeal.__main__; print(*sys.modules)"
    loaded = subprocess.run([sys.executable, "-c", words], capture_output=True, text=True).stdout.split()
    tops = {name.split(".")[0] for name in loaded}
    assert "gevent" in tops and not tops & {"click", "hdrh", "scipy", "numpy", "matplotlib"}
    assert not any(name.startswith(("cartdeal.emulator", "cartdeal.lab", "cartdeal.cli")) for name in loaded)
