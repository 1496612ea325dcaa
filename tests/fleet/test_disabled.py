"""Without a fleet file, an agent imports no fleet module and opens no fleet socket."""

import json
import os
import sys

import pytest
from gevent import subprocess

from tests.scene import config_file
from tests.test_sockets import wait_for_line

IMPORTS = """
    cartdeal cartdeal.agent cartdeal.agent.configuration cartdeal.agent.connection cartdeal.agent.effects
    cartdeal.agent.connection_budget cartdeal.agent.request_ids cartdeal.agent.message cartdeal.agent.surplus
    cartdeal.agent.server_addresses cartdeal.agent.client_connection cartdeal.agent.request_parser
    cartdeal.agent.front cartdeal.agent.reducer cartdeal.agent.discovery cartdeal.agent.upstream
    cartdeal.agent.start cartdeal.balancer cartdeal.settings cartdeal.balancer_types cartdeal.watch_schedule
    cartdeal.routing_state cartdeal.agent.start_times cartdeal.agent.system_errors
    cartdeal.agent.log_output cartdeal.agent.invariants cartdeal.agent.metrics
    cartdeal.agent.stalls cartdeal.sockets cartdeal.supervision""".split()

# Prints the imported modules once the agent serves.
PRINT_MODULES = (
    "import gevent, sys; from cartdeal.agent import start; "
    "gevent.spawn_later(0.2, lambda: print('modules', *sorted(sys.modules), flush=True)); start.main()"
)
KEY = "k" * 16


def run(folder, *arguments, **environment):
    (folder / "config.json").write_text(json.dumps(config_file()))
    environment = {**os.environ, "PROXY_CONFIG": str(folder / "config.json"), **environment}
    return subprocess.Popen(
        [sys.executable, *arguments], stdout=subprocess.PIPE, stderr=subprocess.PIPE, env=environment
    )


@pytest.fixture
def fleet_file(tmp_path):
    file = tmp_path / "fleet.toml"
    file.write_text(
        f'fleet = "f"\nkey = "{KEY}"\nname = "a1"\nlisten = "127.0.0.1:0"\n[seeds]\nb = "127.0.0.1:9"\n'
    )
    return file


def imported_modules(agent):
    while not (line := agent.stdout.readline().split())[:1] == [b"modules"]:
        assert agent.poll() is None, agent.stderr.read()
    return [module.decode() for module in line[1:]]


def open_descriptors(agent):
    """Return the kinds of the agent's open descriptors; for sockets, the protocol."""
    process_folder = f"/proc/{agent.pid}"
    kinds = []
    inodes = {}
    for table in ("tcp", "udp"):
        with open(f"{process_folder}/net/{table}") as lines:
            inodes |= {line.split()[9]: table for line in lines.readlines()[1:]}
    for number in os.listdir(f"{process_folder}/fd"):
        target = os.readlink(f"{process_folder}/fd/{number}")
        if int(number) > 2:
            kind, _, inode = target.partition(":[")
            kinds.append(
                inodes.get(inode[:-1], "connecting") if kind == "socket" else kind.rpartition("/")[2]
            )
    return sorted(kinds)


def terminate(agent):
    agent.terminate()
    assert agent.wait() == 0


def test_without_a_file_nothing_of_the_fleet_is_imported(tmp_path):
    agent = run(tmp_path, "-c", PRINT_MODULES)
    modules = imported_modules(agent)
    assert [module for module in modules if module.startswith("cartdeal")] == sorted(IMPORTS)
    assert "tomllib" not in modules
    assert "_hashlib" not in modules and "_ssl" not in modules  # OpenSSL takes memory that clients need
    terminate(agent)


def test_with_a_file_the_fleet_is_imported(tmp_path, fleet_file):
    agent = run(tmp_path, "-c", PRINT_MODULES, PROXY_FLEET=str(fleet_file))
    assert {"cartdeal.fleet.node", "cartdeal.fleet.transport", "cartdeal.agent.admission"} <= set(
        imported_modules(agent)
    )
    terminate(agent)


def test_only_a_fleet_opens_datagram_sockets_and_a_second_listener(tmp_path, fleet_file):
    # There is no discovery service: sockets of attempts to connect to it come and go, and are left out.
    agent_without_fleet = run(tmp_path, "-m", "cartdeal", PROXY_FLEET="")
    agent_with_fleet = run(tmp_path, "-m", "cartdeal", PROXY_FLEET=str(fleet_file))
    for agent in (agent_without_fleet, agent_with_fleet):
        wait_for_line(agent, b"msg=serving")
    without_fleet, with_fleet = (
        [kind for kind in open_descriptors(agent) if kind != "connecting"]
        for agent in (agent_without_fleet, agent_with_fleet)
    )
    assert without_fleet.count("tcp") == 1
    assert "udp" not in without_fleet
    assert with_fleet.count("udp") == 1
    assert with_fleet.count("tcp") >= 2
    for agent in (agent_without_fleet, agent_with_fleet):
        terminate(agent)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", b"fleet: found 'nothing'; wanted a name"),
        ("fleet = 3", b"fleet: found '3'; wanted a name"),
        (None, b"PROXY_FLEET: found"),
    ],
)
def test_invalid_file_ends_the_start_with_status_2_and_one_line(tmp_path, fleet_file, text, message):
    fleet_file.unlink() if text is None else fleet_file.write_text(text)
    agent = run(tmp_path, "-m", "cartdeal", PROXY_FLEET=str(fleet_file))
    errors = agent.stderr.read()
    assert agent.wait() == 2
    assert message in errors
    assert errors.count(b"\n") == 1
    checked = run(
        tmp_path, "-m", "cartdeal", "check", str(tmp_path / "config.json"), PROXY_FLEET=str(fleet_file)
    )
    assert checked.wait() == 2
    assert message in checked.stderr.read()


def test_check_names_the_fleet(tmp_path, fleet_file):
    checked = run(
        tmp_path, "-m", "cartdeal", "check", str(tmp_path / "config.json"), PROXY_FLEET=str(fleet_file)
    )
    assert checked.wait() == 0
    assert checked.stdout.read().endswith(b", fleet f\n")


def test_port_in_use_ends_the_start_with_status_1(tmp_path, fleet_file):
    first = run(tmp_path, "-m", "cartdeal", PROXY_FLEET=str(fleet_file))
    port = wait_for_line(first, b'"in a fleet"').split(b"port=")[1].split()[0].decode()
    second = run(
        tmp_path, "-m", "cartdeal", PROXY_FLEET=str(fleet_file), PROXY_FLEET_LISTEN=f"127.0.0.1:{port}"
    )
    assert second.wait() == 1
    assert b"can't listen on" in second.stderr.read()
    terminate(first)
