"""`cartdeal migrate`: an old file becomes one of the new shape, or nothing is written and a line says why."""

import json
import os
import subprocess
import sys

import pytest

from cartdeal.agent import configuration
from tests.scene import SETTINGS, config_file

OLD = config_file(
    listen="127.0.0.1:0",
    peers=["127.0.0.1:9"],
    peer_listen="127.0.0.1:8",
    novel=[1],
    known={"rev": 3, "all": True, "targets": [{"uid": "s", "endpoint": "127.0.0.1:7", "az": "b"}]},
    settings=SETTINGS
    | {
        "areas": ["a", "b", "c"],
        "az": 1,
        "groupSize": 9,
        "myNumber": 2,
        "odd": True,
        "family": "mesh",
        "weightKind": "rough",
        "fees": {"crossZone": 0.1, "probe": 0.01},
        "caps": SETTINGS["caps"] | {"probes": True},
    },
)
TOLD = ("--area", "x", "--area", "b", "--agents", 4, "--number", 1, "--column", "backlog")


def settings(**more):
    return json.dumps(OLD | {"settings": OLD["settings"] | more}).encode()


@pytest.fixture
def old(tmp_path):
    (tmp_path / "old.json").write_text(json.dumps(OLD))
    return tmp_path / "old.json"


def said(*words):
    words = [sys.executable, "-m", "cartdeal", *map(str, words)]
    done = subprocess.run(words, capture_output=True, text=True)
    return done.returncode, done.stdout, done.stderr


def test_old_file_becomes_one_that_passes_check_and_says_what_is_left(old, tmp_path):
    new = tmp_path / "new.json"
    status, out, _ = said("migrate", old, new, *TOLD)
    assert status == 0 and said("check", new)[0] == 0
    made = json.loads(new.read_text())
    got = made["settings"]
    assert (got["family"], got["discovery"], got["weightKind"]) == ("proxy", "pushed", "live")
    assert got["areas"] == ["x", "b"] and got["az"] == 1  # its zone by name, not by place
    assert (got["groupSize"], got["myNumber"], got["caps"]["probes"]) == (4, 1, False)
    assert got["feedback"] == {"how": "answers", "columns": ["backlog"]}
    assert got["workloads"] == SETTINGS["workloads"] and got["odd"] and made["novel"] == [1]
    assert made["limits"] == OLD["limits"] and "known" not in made and "peers" not in made
    lost = [line.split(": ")[1] for line in out.splitlines() if line.startswith("not carried over")]
    assert lost == [
        "settings.caps.probes",
        "settings.fees.probe",
        "settings.rules.askEveryUs",
        "peer_listen",
        "peers",
        "known",
    ]
    assert "to confirm: settings.workloads" in out and "to confirm: settings.groupSize" not in out
    first = new.read_bytes()
    assert said("migrate", old, new, *TOLD, "--force")[0] == 0 and new.read_bytes() == first
    assert configuration.read({"PROXY_CONFIG": str(new)}).settings.balancer_settings(1).is_pool_member


def test_dry_run_shows_all_and_changes_nothing(old, tmp_path):
    before = old.read_bytes(), sorted(os.listdir(tmp_path))
    status, out, _ = said("migrate", old, tmp_path / "new.json", "--dry-run")
    assert status == 0 and '"family": "proxy"' in out and "not carried over: known" in out
    assert "to confirm: settings.areas" in out and "to confirm: settings.groupSize" in out
    assert (old.read_bytes(), sorted(os.listdir(tmp_path))) == before


def test_file_of_the_new_shape_is_left_alone(old, tmp_path):
    new = tmp_path / "new.json"
    said("migrate", old, new, *TOLD)
    status, out, _ = said("migrate", new, tmp_path / "newer.json")
    assert status == 0 and "has the new shape already" in out and not (tmp_path / "newer.json").exists()


def test_nothing_that_is_there_is_written_over_unless_told(old, tmp_path):
    new = tmp_path / "new.json"
    new.write_text("mine")
    assert said("migrate", old, new, *TOLD)[0] == 2 and new.read_text() == "mine"
    for place in (old, tmp_path / "link.json"):
        if place != old:
            place.symlink_to(old)
        assert said("migrate", old, place, *TOLD, "--force")[0] == 2
    assert json.loads(old.read_text()) == OLD
    assert sorted(os.listdir(tmp_path)) == ["link.json", "new.json", "old.json"]
    assert said("migrate", old, new, *TOLD, "--force")[0] == 0 and said("check", new)[0] == 0


def test_what_is_laid_over_goes_first_and_what_then_fails_check_is_named(old, tmp_path):
    (tmp_path / "over.json").write_text(json.dumps({"objectiveMix": {"worstClass": 7}}))
    status, out, _ = said("migrate", old, tmp_path / "new.json", *TOLD, "--settings", tmp_path / "over.json")
    assert status == 1 and "check: settings.objectiveMix.worstClass: found 7" in out


def test_number_laid_over_that_is_none_is_named(old, tmp_path):
    over, new = tmp_path / "over.json", tmp_path / "new.json"
    over.write_text(json.dumps({"myNumber": 4}))
    status, _, wrong = said("migrate", old, new, *TOLD, "--settings", over)
    assert status == 2 and "settings.myNumber: found 4" in wrong and not new.exists()
    over.write_text(json.dumps({"myNumber": "x"}))
    status, out, wrong = said("migrate", old, new, *TOLD, "--settings", over)
    assert status == 1 and "check: " in out and "myNumber" in out and not wrong


@pytest.mark.parametrize(
    "text, words",
    [
        (None, "no readable file"),
        (b"\xff{", "no JSON"),
        (b"[1]", "wanted an object"),
        (b'{"settings": 5}', "settings: found 5"),
        (b"{}", "settings: found nothing"),
        (json.dumps(OLD | {"limits": {"sockets": "many"}}).encode(), "limits.sockets"),
        (settings(az=7), "settings.az: found 7"),
        (settings(myNumber=9), "settings.myNumber: found 9"),
        (settings(family="mush"), "settings.family: found 'mush'"),
    ],
)
def test_old_file_that_cannot_be_used_gets_one_line_and_nothing_written(tmp_path, text, words):
    if text is not None:
        (tmp_path / "old.json").write_bytes(text)
    before = sorted(os.listdir(tmp_path))
    status, _, wrong = said("migrate", tmp_path / "old.json", tmp_path / "new.json", *TOLD)
    assert status == 2 and words in wrong and wrong.count("\n") == 1
    assert sorted(os.listdir(tmp_path)) == before


@pytest.mark.parametrize(
    "key, value, words",
    [
        ("family", "mush", "settings.family: found 'mush', wanted one of mesh, proxy"),
        ("weightKind", "heavy", "settings.weightKind: found"),
        ("discovery", "guess", "settings.discovery"),
        ("feedback", {"how": "never"}, "settings.feedback.how: found 'never'"),
        ("feedback", {"how": "probe"}, "settings.feedback.how: found 'probe', wanted 'answers'"),
        ("objectiveMix", {"worstClass": -1}, "settings.objectiveMix.worstClass: found -1"),
    ],
)
def test_setting_that_the_module_reads_is_checked(tmp_path, key, value, words):
    (tmp_path / "c.json").write_text(json.dumps(config_file(settings=SETTINGS | {key: value})))
    with pytest.raises(configuration.ConfigurationError) as fault:
        configuration.read({"PROXY_CONFIG": str(tmp_path / "c.json")})
    assert words in str(fault.value)


def test_defaults_are_those_of_an_agent_beside_its_client(tmp_path):
    (tmp_path / "c.json").write_text(json.dumps(config_file()))
    settings = configuration.read({"PROXY_CONFIG": str(tmp_path / "c.json")}).settings.balancer_settings(1)
    assert (settings.is_pool_member, settings.has_live_weights, settings.worst_class_weight) == (
        False,
        False,
        0.0,
    )
