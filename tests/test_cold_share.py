"""A server in slow start gets a fixed share of the load that rule 4 and the overload factor allow it."""

import json

import pytest

from cartdeal import settings
from cartdeal.agent.configuration import ConfigurationError
from tests.scene import SETTINGS, TracingHost, agent_config


def requests_in_slow_start(overload_factor):
    """Requests at a server in the first half of its slow start, and at one of three that are never full."""
    host = TracingHost("a0 b0 c0 d0", overload_factor=overload_factor)
    host.serve(range(1, 200), duration=0.05)
    host.update_list("d0", started=host.now, is_complete=False)
    servers = []
    for number in range(1000, 1100):
        host.serve([number], duration=0.05)
        servers.append(chr(host.attempts[number][0]))
    return servers.count("d"), servers.count("a")


def test_share_of_a_server_in_slow_start_grows_with_the_overload_factor():
    (at_factor_1, _), (at_factor_3, _) = requests_in_slow_start(1.0), requests_in_slow_start(3.0)
    assert 0 < 2 * at_factor_1 < at_factor_3 <= 4 * at_factor_1


@pytest.mark.parametrize("rules, overload_factor", [({"overloadFactor": 2.5}, 2.5), ({}, 1.0)])
def test_overload_factor_is_read_from_the_settings_and_defaults_to_one(rules, overload_factor):
    text = json.dumps(SETTINGS | {"rules": SETTINGS["rules"] | rules}).encode()
    assert settings.decode(text).balancer_settings(1).overload_factor == overload_factor


@pytest.mark.parametrize("overload_factor", [0, -1.0])
def test_overload_factor_that_would_starve_a_new_server_is_refused(tmp_path, overload_factor):
    invalid_settings = SETTINGS | {"rules": SETTINGS["rules"] | {"overloadFactor": overload_factor}}
    with pytest.raises(ConfigurationError, match="overloadFactor"):
        agent_config(tmp_path, settings=invalid_settings)
