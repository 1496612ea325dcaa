"""The emulator: waiting times against theory, determinism, and whether the checker finds injected faults."""

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

FAULTY_WORLD = {
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
# In this world the agents' other limits keep within the usual multiple of 3 even without slow start, so the
# world allows less.
SLOW_START_WORLD = {
    "seconds": 12.0,
    "agents": 30,
    "zones": ["a"],
    "fall_multiple": 0.7,
    "clients": {"per_s": 120.0},
    "servers": {"per_zone": 6, "cores": 2, "cold_from": 0.1, "cold_s": 10.0, "waiting": 60},
    "fault": [{"kind": "replace", "begins_s": 4.0, "lasts_s": 0.5, "part": 0.5}],
}


def run_world(world, seed=5, make_reducer=Reducer, **options):
    return Fleet(worlds.world_from_dict(world), seed, make_reducer, **options).run()


# Theory


def measure_waiting(cores, load, count=60_000):
    """Waiting times of one server with Poisson arrivals and exponential work.

    Returns the times from arrival to the start of work, the mean job count, and the same by Little's law.
    """
    clock, settings = SimulatedClock(), worlds.Servers(cores=cores, waiting=100_000)
    server, random, waiting_times = (
        Server(clock, settings, "s", 0, 1.0, seeded_random(1, "s")),
        seeded_random(3, f"{cores}"),
        [],
    )
    job_seconds, last_at = [0.0], [0.0]

    def count_jobs():
        job_seconds[0] += server.job_count * (clock.now - last_at[0])
        last_at[0] = clock.now

    def arrive(remaining):
        count_jobs()
        arrived_at = clock.now
        server.accept(
            Job(
                random.expovariate(1.0),
                lambda status: sojourn_times.append(clock.now - arrived_at),
                lambda: waiting_times.append(clock.now - arrived_at),
            )
        )
        if remaining:
            clock.after(random.expovariate(load * cores), arrive, remaining - 1)

    sojourn_times, finish = [], server.finish
    server.finish = lambda job, generation: (count_jobs(), finish(job, generation))
    clock.after(0.0, arrive, count)
    clock.run(count / (load * cores) * 2)
    end = last_at[0]
    return (
        waiting_times,
        job_seconds[0] / end,
        len(sojourn_times) / end * sum(sojourn_times) / len(sojourn_times),
    )


@pytest.mark.parametrize("cores, load", [(1, 0.5), (1, 0.8), (4, 0.7)])
def test_waiting_times_agree_with_erlang_c_and_littles_law(cores, load):
    waiting_times, job_count, littles_job_count = measure_waiting(cores, load)
    offered = cores * load
    queue = offered**cores / factorial(cores) / (1 - load)
    waiting = queue / (queue + sum(offered**k / factorial(k) for k in range(cores)))
    expected = waiting / (cores - offered)
    batches = [sum(waiting_times[n : n + 2000]) / 2000 for n in range(0, 60_000, 2000)]  # batch means
    mean = sum(batches) / len(batches)
    error = sqrt(sum((each - mean) ** 2 for each in batches) / (len(batches) - 1) / len(batches))
    assert abs(mean - expected) < 3 * error
    assert job_count == pytest.approx(littles_job_count, rel=1e-6)


def test_each_request_is_answered_or_excused_and_no_rule_is_broken():
    fleet = run_world(FAULTY_WORLD)
    rule_checker = fleet.rule_checker
    # Requests are excused because agents were killed while they were open.
    assert not rule_checker.violations and rule_checker.excused_count
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


def test_a_seed_gives_the_same_trace_in_processes_of_different_hash_seeds():
    program = (
        "import zlib; from tests.test_emulator import *; trace = []; run_world(FAULTY_WORLD, 9, trace=trace);"
        "print(zlib.crc32(repr(trace).encode()), len(trace))"
    )
    outputs = {
        subprocess.run(
            [sys.executable, "-c", program],
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            check=True,
        ).stdout
        for seed in ("1", "2")
    }
    assert len(outputs) == 1 and int(outputs.pop().split()[1]) > 1000


# The rule checker


class DrainIgnored(Reducer):
    def listed_server(self, entry):
        found = super().listed_server(entry)
        return found._replace(state=ServerState.READY)


class GoneIgnored(Reducer):
    def remove_server(self, name):
        self.server_indices[name] = self.server_indices[name]
        return self.balancer.servers and super().listed_server(self.entries[name])

    def listed_server(self, entry):
        self.entries = getattr(self, "entries", {}) | {entry.name.encode(): entry}
        return super().listed_server(entry)._replace(state=ServerState.READY)


class AlwaysSentAgain(Reducer):
    def __init__(self, *args):
        super().__init__(*args)
        self.balancer.is_attempt_safe = lambda request, server, now: True


class NoSlowStart(Reducer):
    def __init__(self, *args):
        super().__init__(*args)
        self.balancer.slow_start_allows = lambda server, now, rate: True


class TwoAnswers(Reducer):
    def answer(self, number, status, content_type, body, wait):
        pending = self.requests.get(number)
        if pending and pending.client is not None and number % 50 == 0:
            self.effects.append(("answer", pending.client, status, content_type, body, wait))
        super().answer(number, status, content_type, body, wait)


class AnswerForgotten(Reducer):
    def answer(self, number, *args):
        if number % 50:
            super().answer(number, *args)


class LateAnswers(Reducer):
    def on_request(self, client, request):
        super().on_request(client, request._replace(timeout=request.timeout + 1.0))


class RejectedWhenUncertain(Reducer):
    def fail(self, request):
        self.reject(request, 0.0)


class SentAfterAnswer(Reducer):
    def on_attempt_ended(self, number, server, attempt, result, load=None):
        pending = self.requests.get(number)
        super().on_attempt_ended(number, server, attempt, result, load)
        if pending and number % 50 == 0 and server in self.servers and number not in self.requests:
            self.requests[number] = pending
            self.send_attempt(number, server, 0.0)
            del self.requests[number]


class TwoAttemptsAtOnce(Reducer):
    def send_attempt(self, request, server, until):
        super().send_attempt(request, server, until)
        if self.requests[request].attempt_count == 1 and request % 50 == 0:
            super().send_attempt(request, server, until)


@pytest.mark.parametrize(
    "faulty_reducer, world, rule",
    [
        (DrainIgnored, FAULTY_WORLD, 3),
        (GoneIgnored, FAULTY_WORLD, 3),
        (AlwaysSentAgain, FAULTY_WORLD, 2),
        (RejectedWhenUncertain, FAULTY_WORLD, 2),
        (TwoAttemptsAtOnce, FAULTY_WORLD, 2),
        (TwoAnswers, FAULTY_WORLD, 1),
        (AnswerForgotten, FAULTY_WORLD, 1),
        (LateAnswers, FAULTY_WORLD, 1),
        (SentAfterAnswer, FAULTY_WORLD, 1),
        (NoSlowStart, SLOW_START_WORLD, 4),
    ],
)
def test_rule_checker_reports_an_injected_fault_by_its_rule(faulty_reducer, world, rule):
    violations = run_world(world, make_reducer=faulty_reducer).rule_checker.violations
    assert Counter(each.rule for each in violations).most_common(1)[0][0] == rule
    assert all(each.text and each.subject for each in violations)


@pytest.mark.parametrize(
    "faulty_reducer, invariant",
    [
        (AlwaysSentAgain, "no_second_effect"),
        (RejectedWhenUncertain, "no_unsafe_rejection"),
    ],
)
def test_agents_report_an_injected_fault_by_their_own_checks(faulty_reducer, invariant):
    """The agents' checks keep a record of their own, apart from the state that the decisions use."""
    assert invariant in {
        each["invariant"]
        for each in run_world(FAULTY_WORLD, make_reducer=faulty_reducer).rule_checker.agent_violations
    }


@pytest.mark.parametrize("world", [FAULTY_WORLD, SLOW_START_WORLD])
def test_agents_without_a_fault_report_nothing_by_their_own_checks(world):
    assert not run_world(world).rule_checker.agent_violations


def test_shrink_keeps_only_what_the_violation_needs():
    shrunk = shrink(worlds.world_from_dict(FAULTY_WORLD), 5, DrainIgnored)
    assert shrunk.violation.rule == 3 and len(shrunk.arrivals) <= 3
    assert [each.kind for each in shrunk.world.fault] == ["replace"]
    violations = (
        Fleet(shrunk.world, 5, DrainIgnored, included_arrivals=set(shrunk.arrivals))
        .run()
        .rule_checker.violations
    )
    assert shrunk.violation in violations
    assert shrink(worlds.world_from_dict(FAULTY_WORLD), 5) is None


@pytest.mark.parametrize("seed", [5, 6])
def test_world_with_slow_start_breaks_no_rule(seed):
    fleet = run_world(SLOW_START_WORLD, seed)
    assert not fleet.rule_checker.violations and any(
        each.started and each.served_count for each in fleet.servers.values()
    )


# The command


def emulate(*arguments):
    command = [sys.executable, "-m", "cartdeal", "emulate", *arguments]
    return subprocess.run(command, capture_output=True, text=True)


@pytest.mark.parametrize(
    "text, message",
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
def test_invalid_world_gives_one_line_and_status_2(tmp_path, text, message):
    file = tmp_path / "world.toml"
    file.write_text(text)
    process = emulate(file)
    assert process.returncode == 2 and not process.stdout and process.stderr.count("\n") == 1
    assert message in process.stderr and "world.toml" in process.stderr


def test_command_prints_figures_and_exits_with_0_if_no_rule_is_broken(tmp_path):
    file = tmp_path / "world.toml"
    file.write_text("seconds = 2.0\nagents = 3")
    process = emulate(file, "--seed", "1", "--seed", "2")
    assert process.returncode == 0 and process.stdout.count("\n") == 3 and "p99" in process.stdout


def test_agent_imports_neither_emulator_nor_lab():
    program = "import sys, cartdeal.__main__; print(*sys.modules)"
    modules = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True).stdout.split()
    packages = {name.split(".")[0] for name in modules}
    assert "gevent" in packages and not packages & {"click", "hdrh", "scipy", "numpy", "matplotlib"}
    assert not any(name.startswith(("cartdeal.emulator", "cartdeal.lab", "cartdeal.cli")) for name in modules)
