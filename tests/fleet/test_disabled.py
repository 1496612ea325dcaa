"""Without a fleet's file, an agent is what it was: the list of what it imports, opens and sends."""

import json
import os
import sys

import pytest
from gevent import subprocess

from tests.scene import config_file
from tests.test_sockets import line_with

IMPORTS = """
    cartdeal cartdeal.agent cartdeal.agent.configuration cartdeal.agent.connection cartdeal.agent.effects
    cartdeal.agent.front cartdeal.agent.reducer cartdeal.agent.discovery cartdeal.agent.upstream
    cartdeal.agent.start cartdeal.balancer cartdeal.settings cartdeal.terms cartdeal.watch_schedule
    cartdeal.routing_state cartdeal.agent.start_times cartdeal.agent.system_errors
    cartdeal.agent.log_output cartdeal.agent.invariants cartdeal.agent.metrics
    cartdeal.agent.stalls cartdeal.sockets cartdeal.supervision""".split()

# Says what is imported once the agent serves.
TOLD = (
    "import gevent, sys; from cartdeal.agent import start; "
    "gevent.spawn_later(0.2, lambda: print('modules', *sorted(sys.modules), flush=True)); start.main()"
)
KEY = "k" * 16


def run(folder, *words, **environment):
    (folder / "config.json").write_text(json.dumps(config_file()))
    environment = {**os.environ, "PROXY_CONFIG": str(folder / "config.json"), **environment}
    return subprocess.Popen(
        [sys.executable, *words], stdout=subprocess.PIPE, stderr=subprocess.PIPE, env=environment
    )


@pytest.fixture
def fleet(tmp_path):
    file = tmp_path / "fleet.toml"
    file.write_text(
        f'fleet = "f"\nkey = "{KEY}"\nname = "a1"\nlisten = "127.0.0.1:0"\n[seeds]\nb = "127.0.0.1:9"\n'
    )
    return file


def modules(agent):
    while not (line := agent.stdout.readline().split())[:1] == [b"modules"]:
        assert agent.poll() is None, agent.stderr.read()
    return [each.decode() for each in line[1:]]


def opened(agent):
    """Kinds of descriptors that the agent holds, and its sockets by protocol."""
    place, kinds, inodes = f"/proc/{agent.pid}", [], {}
    for table in ("tcp", "udp"):
        with open(f"{place}/net/{table}") as lines:
            inodes |= {line.split()[9]: table for line in lines.readlines()[1:]}
    for number in os.listdir(f"{place}/fd"):
        target = os.readlink(f"{place}/fd/{number}")
        if int(number) > 2:
            kind, _, rest = target.partition(":[")
            kinds.append(inodes.get(rest[:-1], "connecting") if kind == "socket" else kind.rpartition("/")[2])
    return sorted(kinds)


def end(agent):
    agent.terminate()
    assert agent.wait() == 0


def test_without_a_file_nothing_of_the_fleet_is_imported(tmp_path):
    agent = run(tmp_path, "-c", TOLD)
    found = modules(agent)
    assert [each for each in found if each.startswith("cartdeal")] == sorted(IMPORTS)
    assert "tomllib" not in found
    end(agent)


def test_with_one_it_is(tmp_path, fleet):
    agent = run(tmp_path, "-c", TOLD, PROXY_FLEET=str(fleet))
    assert {"cartdeal.fleet.node", "cartdeal.fleet.transport", "cartdeal.agent.admission"} <= set(
        modules(agent)
    )
    end(agent)


def test_what_is_open_at_a_start(tmp_path, fleet):
    # The discovery service is not there: what is tried towards it comes and goes and is left out.
    off = run(tmp_path, "-m", "cartdeal", PROXY_FLEET="")
    on = run(tmp_path, "-m", "cartdeal", PROXY_FLEET=str(fleet))
    for agent in (off, on):
        line_with(agent, b"msg=serving")
    without, with_it = ([each for each in opened(agent) if each != "connecting"] for agent in (off, on))
    assert without.count("tcp") == 1 and "udp" not in without
    assert with_it.count("udp") == 1 and with_it.count("tcp") >= 2
    for agent in (off, on):
        end(agent)


@pytest.mark.parametrize(
    "text, words",
    [
        ("", b"fleet: found 'nothing'; wanted a name"),
        ("fleet = 3", b"fleet: found '3'; wanted a name"),
        (None, b"PROXY_FLEET: found"),
    ],
)
def test_a_bad_file_ends_the_start_with_status_2_and_one_line(tmp_path, fleet, text, words):
    fleet.unlink() if text is None else fleet.write_text(text)
    agent = run(tmp_path, "-m", "cartdeal", PROXY_FLEET=str(fleet))
    said = agent.stderr.read()
    assert agent.wait() == 2 and words in said and said.count(b"\n") == 1
    checked = run(tmp_path, "-m", "cartdeal", "check", str(tmp_path / "config.json"), PROXY_FLEET=str(fleet))
    assert checked.wait() == 2 and words in checked.stderr.read()


def test_check_names_the_fleet(tmp_path, fleet):
    checked = run(tmp_path, "-m", "cartdeal", "check", str(tmp_path / "config.json"), PROXY_FLEET=str(fleet))
    assert checked.wait() == 0 and checked.stdout.read().endswith(b", fleet f\n")


def test_a_port_that_is_taken_ends_the_start_with_status_1(tmp_path, fleet):
    first = run(tmp_path, "-m", "cartdeal", PROXY_FLEET=str(fleet))
    port = line_with(first, b'"in a fleet"').split(b"port=")[1].split()[0].decode()
    second = run(tmp_path, "-m", "cartdeal", PROXY_FLEET=str(fleet), PROXY_FLEET_LISTEN=f"127.0.0.1:{port}")
    assert second.wait() == 1 and b"can't listen on" in second.stderr.read()
    end(first)
