"""`cartdeal migrate`: converts an old configuration, or writes nothing and prints one line that says why."""

import json
import os
import subprocess
import sys

import pytest

from cartdeal.agent import configuration
from tests.scene import SETTINGS, config_file

OLD_CONFIGURATION = config_file(
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
MIGRATE_OPTIONS = ("--area", "x", "--area", "b", "--agents", 4, "--number", 1, "--column", "backlog")


def old_configuration_with(**settings):
    """The old configuration as JSON, with other settings."""
    return json.dumps(OLD_CONFIGURATION | {"settings": OLD_CONFIGURATION["settings"] | settings}).encode()


@pytest.fixture
def old(tmp_path):
    """The path of a file with the old configuration."""
    (tmp_path / "old.json").write_text(json.dumps(OLD_CONFIGURATION))
    return tmp_path / "old.json"


def run_command(*arguments):
    """Runs cartdeal with the arguments; returns its exit status, output and error output."""
    arguments = [sys.executable, "-m", "cartdeal", *map(str, arguments)]
    result = subprocess.run(arguments, capture_output=True, text=True)
    return result.returncode, result.stdout, result.stderr


def test_old_configuration_is_converted_passes_check_and_lists_open_points(old, tmp_path):
    new = tmp_path / "new.json"
    status, out, _ = run_command("migrate", old, new, *MIGRATE_OPTIONS)
    assert status == 0 and run_command("check", new)[0] == 0
    written = json.loads(new.read_text())
    new_settings = written["settings"]
    assert (new_settings["family"], new_settings["discovery"], new_settings["weightKind"]) == (
        "proxy",
        "pushed",
        "live",
    )
    assert new_settings["areas"] == ["x", "b"] and new_settings["az"] == 1  # the zone is found by its name
    assert (new_settings["groupSize"], new_settings["myNumber"], new_settings["caps"]["probes"]) == (
        4,
        1,
        False,
    )
    assert new_settings["feedback"] == {"how": "answers", "columns": ["backlog"]}
    assert (
        new_settings["workloads"] == SETTINGS["workloads"] and new_settings["odd"] and written["novel"] == [1]
    )
    assert (
        written["limits"] == OLD_CONFIGURATION["limits"] and "known" not in written and "peers" not in written
    )
    dropped_keys = [line.split(": ")[1] for line in out.splitlines() if line.startswith("not carried over")]
    assert dropped_keys == [
        "settings.caps.probes",
        "settings.fees.probe",
        "settings.rules.askEveryUs",
        "peer_listen",
        "peers",
        "known",
    ]
    assert "to confirm: settings.workloads" in out and "to confirm: settings.groupSize" not in out
    first_content = new.read_bytes()
    assert (
        run_command("migrate", old, new, *MIGRATE_OPTIONS, "--force")[0] == 0
        and new.read_bytes() == first_content
    )
    assert configuration.read({"PROXY_CONFIG": str(new)}).settings.balancer_settings(1).is_pool_member


def test_dry_run_prints_the_result_and_writes_nothing(old, tmp_path):
    before = old.read_bytes(), sorted(os.listdir(tmp_path))
    status, out, _ = run_command("migrate", old, tmp_path / "new.json", "--dry-run")
    assert status == 0 and '"family": "proxy"' in out and "not carried over: known" in out
    assert "to confirm: settings.areas" in out and "to confirm: settings.groupSize" in out
    assert (old.read_bytes(), sorted(os.listdir(tmp_path))) == before


def test_configuration_of_the_new_shape_is_not_converted(old, tmp_path):
    new = tmp_path / "new.json"
    run_command("migrate", old, new, *MIGRATE_OPTIONS)
    status, out, _ = run_command("migrate", new, tmp_path / "newer.json")
    assert status == 0 and "has the new shape already" in out and not (tmp_path / "newer.json").exists()


def test_existing_file_is_replaced_only_with_force_and_the_old_one_never(old, tmp_path):
    new = tmp_path / "new.json"
    new.write_text("mine")
    assert run_command("migrate", old, new, *MIGRATE_OPTIONS)[0] == 2 and new.read_text() == "mine"
    for path in (old, tmp_path / "link.json"):
        if path != old:
            path.symlink_to(old)
        assert run_command("migrate", old, path, *MIGRATE_OPTIONS, "--force")[0] == 2
    assert json.loads(old.read_text()) == OLD_CONFIGURATION
    assert sorted(os.listdir(tmp_path)) == ["link.json", "new.json", "old.json"]
    assert (
        run_command("migrate", old, new, *MIGRATE_OPTIONS, "--force")[0] == 0
        and run_command("check", new)[0] == 0
    )


def test_override_that_fails_check_is_named(old, tmp_path):
    (tmp_path / "over.json").write_text(json.dumps({"objectiveMix": {"worstClass": 7}}))
    status, out, _ = run_command(
        "migrate", old, tmp_path / "new.json", *MIGRATE_OPTIONS, "--settings", tmp_path / "over.json"
    )
    assert status == 1 and "check: settings.objectiveMix.worstClass: found 7" in out


def test_override_of_the_agent_number_that_is_invalid_is_named(old, tmp_path):
    overrides, new = tmp_path / "over.json", tmp_path / "new.json"
    overrides.write_text(json.dumps({"myNumber": 4}))
    status, _, error = run_command("migrate", old, new, *MIGRATE_OPTIONS, "--settings", overrides)
    assert status == 2 and "settings.myNumber: found 4" in error and not new.exists()
    overrides.write_text(json.dumps({"myNumber": "x"}))
    status, out, error = run_command("migrate", old, new, *MIGRATE_OPTIONS, "--settings", overrides)
    assert status == 1 and "check: " in out and "myNumber" in out and not error


@pytest.mark.parametrize(
    "text, message",
    [
        (None, "no readable file"),
        (b"\xff{", "no JSON"),
        (b"[1]", "wanted an object"),
        (b'{"settings": 5}', "settings: found 5"),
        (b"{}", "settings: found nothing"),
        (json.dumps(OLD_CONFIGURATION | {"limits": {"sockets": "many"}}).encode(), "limits.sockets"),
        (old_configuration_with(az=7), "settings.az: found 7"),
        (old_configuration_with(myNumber=9), "settings.myNumber: found 9"),
        (old_configuration_with(family="mush"), "settings.family: found 'mush'"),
    ],
)
def test_unusable_old_configuration_prints_one_line_and_writes_nothing(tmp_path, text, message):
    if text is not None:
        (tmp_path / "old.json").write_bytes(text)
    before = sorted(os.listdir(tmp_path))
    status, _, error = run_command("migrate", tmp_path / "old.json", tmp_path / "new.json", *MIGRATE_OPTIONS)
    assert status == 2 and message in error and error.count("\n") == 1
    assert sorted(os.listdir(tmp_path)) == before


@pytest.mark.parametrize(
    "key, value, message",
    [
        ("family", "mush", "settings.family: found 'mush', wanted one of mesh, proxy"),
        ("weightKind", "heavy", "settings.weightKind: found"),
        ("discovery", "guess", "settings.discovery"),
        ("feedback", {"how": "never"}, "settings.feedback.how: found 'never'"),
        ("feedback", {"how": "probe"}, "settings.feedback.how: found 'probe', wanted 'answers'"),
        ("objectiveMix", {"worstClass": -1}, "settings.objectiveMix.worstClass: found -1"),
    ],
)
def test_invalid_setting_of_the_new_shape_is_refused(tmp_path, key, value, message):
    (tmp_path / "c.json").write_text(json.dumps(config_file(settings=SETTINGS | {key: value})))
    with pytest.raises(configuration.ConfigurationError) as caught:
        configuration.read({"PROXY_CONFIG": str(tmp_path / "c.json")})
    assert message in str(caught.value)


def test_defaults_are_those_of_an_agent_beside_its_client(tmp_path):
    (tmp_path / "c.json").write_text(json.dumps(config_file()))
    settings = configuration.read({"PROXY_CONFIG": str(tmp_path / "c.json")}).settings.balancer_settings(1)
    assert (settings.is_pool_member, settings.has_live_weights, settings.worst_class_weight) == (
        False,
        False,
        0.0,
    )
