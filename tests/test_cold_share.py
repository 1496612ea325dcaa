"""A cold server is given a fixed share of what rule 4 allows it, by the multiple that the settings state."""

import json

import pytest

from cartdeal import settings
from cartdeal.agent.configuration import ConfigurationError
from tests.scene import SETTINGS, Scene, agent_config


def sent_to_cold(multiple):
    """Requests at a server in the first half of its ramp, beside three like warm ones that are never full."""
    scene = Scene("a0 b0 c0 d0", overload_factor=multiple)
    scene.serve(range(1, 200), took=0.05)
    scene.list("d0", started=scene.now, whole=False)
    sent = []
    for number in range(1000, 1100):
        scene.serve([number], took=0.05)
        sent.append(chr(scene.attempts[number][0]))
    return sent.count("d"), sent.count("a")


def test_cold_server_gets_the_same_share_of_whatever_multiple_is_allowed():
    (once, _), (thrice, _) = sent_to_cold(1.0), sent_to_cold(3.0)
    assert 0 < 2 * once < thrice <= 4 * once


@pytest.mark.parametrize("rules, multiple", [({"overloadFactor": 2.5}, 2.5), ({}, 1.0)])
def test_multiple_is_read_from_the_settings_and_is_one_where_none_is_stated(rules, multiple):
    text = json.dumps(SETTINGS | {"rules": SETTINGS["rules"] | rules}).encode()
    assert settings.decode(text).balancer_settings(1).overload_factor == multiple


@pytest.mark.parametrize("multiple", [0, -1.0])
def test_multiple_that_would_never_warm_a_server_is_refused(tmp_path, multiple):
    wrong = SETTINGS | {"rules": SETTINGS["rules"] | {"overloadFactor": multiple}}
    with pytest.raises(ConfigurationError, match="overloadFactor"):
        agent_config(tmp_path, settings=wrong)
