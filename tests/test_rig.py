"""Real agents on loopback under faults down to bytes, and what the judge says of broken ones."""

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
from cartdeal.emulator.world import InvalidInputError
from cartdeal.rig.play import Rig, command

AGENT = f"exec {sys.executable} -m cartdeal"
BAD = {
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


def broken(words) -> str:
    """The command of an agent with a planted fault."""
    return (
        f'exec {sys.executable} -c "from cartdeal.agent.reducer import Reducer as R; '
        f"from cartdeal.balancer_types import ServerState; {words}; "
        'from cartdeal.__main__ import main; main()"'
    )


def test_real_agents_keep_the_rules_while_answers_break_off_at_every_place():
    rig = Rig(worlds.world_from_dict(BAD), 1, AGENT).play()
    assert not rig.rule_checker.violations and not rig.count["faults logged"]
    assert (
        rig.rule_checker.accepted_count
        == rig.rule_checker.answered_count + rig.rule_checker.excused_count
        > 200
    )
    assert all(rig.count[f"broken off: {way}"] for way in ("nothing", "head", "body", "noise", "reset"))
    assert rig.count[200] and rig.count[502]
    assert all(agent.process.poll() is not None for agent in rig.agents)


@pytest.mark.parametrize(
    "words, rule",
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
def test_judge_finds_a_broken_agent_on_sockets(words, rule):
    found = Rig(worlds.world_from_dict(BAD), 1, broken(words)).play().rule_checker.violations
    assert Counter(each.rule for each in found).most_common(1)[0][0] == rule


def test_request_that_a_close_crossed_is_sent_once_more():
    rig = Rig(worlds.world_from_dict({"seconds": 1.0, "agents": 1, "zones": ["a"]}), 1, AGENT)
    kept = rig.kept
    rig.kept = lambda agent: crossed.pop() if crossed else kept(agent)
    ours, theirs = socket.socketpair()
    theirs.close()
    crossed = [Connection(ours, reads_responses=True)]
    rig.play()
    assert rig.count["sent again"] == 1 and not rig.rule_checker.violations


@pytest.mark.parametrize(
    "more, words",
    [
        ({"fault": [{"kind": "zone_cut", "zone": "a", "begins_s": 1.0}]}, "fault[0].kind"),
        ({"agents": 2000}, "agents: found 2000"),
        ({"seconds": 9999.0}, "seconds"),
    ],
)
def test_world_that_sockets_cannot_play_is_refused(more, words):
    with pytest.raises(InvalidInputError, match=words.replace("[", r"\[")):
        Rig(worlds.world_from_dict(more), 1, AGENT)


def test_command_of_an_agent_that_ends_or_is_not_there_is_named(tmp_path):
    with pytest.raises(InvalidInputError, match="exit 3"):
        Rig(worlds.world_from_dict({"agents": 2}), 1, "exit 3").play()
    with pytest.raises(InvalidInputError, match="run: found none"):
        command(tmp_path / "none.toml")


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_interrupted_rig_leaves_no_process(tmp_path, number):
    (tmp_path / "w.toml").write_text("seconds = 200.0\nagents = 3\n")
    rig = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "cartdeal",
            "rig",
            str(tmp_path / "w.toml"),
            "--run",
            f"{AGENT} 2>&1 | tee {tmp_path}/log-$$ >&2",
        ],
        stderr=subprocess.DEVNULL,
    )
    logs = []
    while sum(b"msg=serving" in log.read_bytes() for log in logs) < 3:
        logs = list(tmp_path.glob("log-*"))
    os.kill(rig.pid, number)
    assert rig.wait(timeout=20) != 0
    for log in logs:
        with pytest.raises(ProcessLookupError):  # the whole group that the shell led
            for _ in range(1000):
                os.killpg(int(log.name.split("-")[1]), 0)
                time.sleep(0.01)
