"""Real agents on loopback while answers break off at any byte, and the rule checker on broken agents."""

import os
import signal
import subprocess
import sys
import time
from collections import Counter

import pytest
from gevent import socket

from cartdeal.agent.connection import Connection
from cartdeal.emulator import world as worlds
from cartdeal.emulator.rule_checker import RuleChecker
from cartdeal.emulator.world import InvalidInputError
from cartdeal.rig.play import Rig, read_agent_command

AGENT_COMMAND = f"exec {sys.executable} -m cartdeal"
FAULTY_WORLD = {
    "seconds": 5.0,
    "agents": 4,
    "clients": {"per_s": 120.0},
    "list": {"late_s": 0.3},
    "servers": {"per_zone": 4, "waiting": 16},
    "workload": [
        {"name": "read", "share": 0.5, "goal_s": 0.5, "limit_s": 1.0},
        {"name": "mark", "repeat": "keyed", "goal_s": 0.5, "limit_s": 1.0},
        {"name": "once", "repeat": "unsafe", "share": 0.6, "goal_s": 0.6, "limit_s": 1.0},
    ],
    "fault": [
        {"kind": "resets", "begins_s": 0.5, "lasts_s": 3.5, "part": 0.5, "size": 0.3},
        {"kind": "replace", "begins_s": 1.0, "lasts_s": 1.0, "part": 0.5},
        {"kind": "kill", "begins_s": 2.0, "part": 0.5},
        {"kind": "list_down", "begins_s": 2.5, "lasts_s": 1.0},
    ],
}


def broken_agent_command(patch) -> str:
    """The command of an agent whose code `patch` breaks."""
    return (
        f'exec {sys.executable} -c "from cartdeal.agent.reducer import Reducer as R; '
        f"from cartdeal.balancer_types import ServerState; {patch}; "
        'from cartdeal.__main__ import main; main()"'
    )


def test_real_agents_break_no_rule_while_answers_break_off_at_every_point():
    rig = Rig(worlds.world_from_dict(FAULTY_WORLD), 1, AGENT_COMMAND).play()
    assert not rig.rule_checker.violations and not rig.counts["faults logged"]
    assert (
        rig.rule_checker.accepted_count
        == rig.rule_checker.answered_count + rig.rule_checker.excused_count
        > 200
    )
    assert all(
        rig.counts[f"broken off: {break_point}"]
        for break_point in ("nothing", "head", "body", "noise", "reset")
    )
    assert rig.counts[200] and rig.counts[502]
    assert all(agent.process.poll() is not None for agent in rig.agents)


@pytest.mark.parametrize(
    "patch, rule",
    [
        ("R.fail = lambda self, request: self.reject(request, 0.0)", 2),
        (
            "l = R.listed_server; "
            "R.listed_server = lambda self, line: l(self, line)._replace(state=ServerState.READY)",
            3,
        ),
        ("a = R.answer; R.answer = lambda self, n, *more: n % 20 and a(self, n, *more)", 1),
    ],
)
def test_rule_checker_finds_the_violations_of_a_broken_agent(patch, rule):
    violations = (
        Rig(worlds.world_from_dict(FAULTY_WORLD), 1, broken_agent_command(patch))
        .play()
        .rule_checker.violations
    )
    assert Counter(each.rule for each in violations).most_common(1)[0][0] == rule


def test_answer_of_a_killed_agent_that_arrives_later_counts_once():
    """Guards against a request that counts as answered and as excused: its answer crossed the kill."""
    checker = RuleChecker(worlds.world_from_dict(FAULTY_WORLD))
    checker.on_request_accepted(1.0, 0, "r1", next(iter(checker.request_classes)), 3.0)
    checker.on_agent_killed(0)
    checker.on_answer(1.1, "r1", 200)
    assert (checker.accepted_count, checker.answered_count, checker.excused_count) == (1, 1, 0)


def test_request_on_a_connection_that_the_agent_closed_is_sent_again():
    rig = Rig(worlds.world_from_dict({"seconds": 1.0, "agents": 1, "zones": ["a"]}), 1, AGENT_COMMAND)
    idle_connection = rig.idle_connection
    rig.idle_connection = (
        lambda agent: closed_connections.pop() if closed_connections else idle_connection(agent)
    )
    client_end, agent_end = socket.socketpair()
    agent_end.close()
    closed_connections = [Connection(client_end, reads_responses=True)]
    rig.play()
    assert rig.counts["sent again"] == 1 and not rig.rule_checker.violations


@pytest.mark.parametrize(
    "keys, message",
    [
        ({"fault": [{"kind": "zone_cut", "zone": "a", "begins_s": 1.0}]}, "fault[0].kind"),
        ({"agents": 2000}, "agents: found 2000"),
        ({"seconds": 9999.0}, "seconds"),
    ],
)
def test_world_that_cannot_be_played_on_sockets_is_refused(keys, message):
    with pytest.raises(InvalidInputError, match=message.replace("[", r"\[")):
        Rig(worlds.world_from_dict(keys), 1, AGENT_COMMAND)


def test_error_names_an_agent_command_that_exits_or_is_missing(tmp_path):
    with pytest.raises(InvalidInputError, match="exit 3"):
        Rig(worlds.world_from_dict({"agents": 2}), 1, "exit 3").play()
    with pytest.raises(InvalidInputError, match="run: found none"):
        read_agent_command(tmp_path / "none.toml")


@pytest.mark.parametrize("signal_number", [signal.SIGINT, signal.SIGTERM])
def test_interrupted_rig_leaves_no_process(tmp_path, signal_number):
    (tmp_path / "w.toml").write_text("seconds = 200.0\nagents = 3\n")
    rig = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "cartdeal",
            "rig",
            str(tmp_path / "w.toml"),
            "--run",
            f"{AGENT_COMMAND} 2>&1 | tee {tmp_path}/log-$$ >&2",
        ],
        stderr=subprocess.DEVNULL,
    )
    logs = []
    while sum(b"msg=serving" in log.read_bytes() for log in logs) < 3:
        logs = list(tmp_path.glob("log-*"))
    os.kill(rig.pid, signal_number)
    assert rig.wait(timeout=20) != 0
    for log in logs:
        with pytest.raises(ProcessLookupError):  # no process of the shell's group is left
            for _ in range(1000):
                os.killpg(int(log.name.split("-")[1]), 0)
                time.sleep(0.01)
