import tomllib
from pathlib import Path

import pytest
from msgspec.structs import fields

from cartdeal.fleet import configuration
from cartdeal.fleet.errors import InvalidConfigurationError
from cartdeal.fleet.settings import FleetSettings, RateLimit
from tests.scene import SETTINGS, agent_config

KEY = "k" * 16
SEEDS = '[seeds]\na1 = "127.0.0.1:7001"\na2 = "127.0.0.1:7002"\n'
REQUIRED_KEYS = f'fleet = "f"\nkey = "{KEY}"\n'
LIMITS = "[limits.x]\nrate = 5.0\nburst = 2\n"
TENANTS = SETTINGS | {"tenants": [{"name": "x"}]}


def read(folder, text, **environment):
    (folder / "fleet.toml").write_text(text)
    environment = {"PROXY_FLEET": str(folder / "fleet.toml"), "PROXY_FLEET_NAME": "a1"} | environment
    return configuration.read(agent_config(folder, settings=TENANTS), environment)


def test_one_file_configures_many_agents_and_missing_keys_have_defaults(tmp_path):
    configuration_a1 = read(tmp_path, REQUIRED_KEYS + SEEDS + LIMITS)
    assert configuration_a1.listen == ("127.0.0.1", 7001)
    assert configuration_a1.settings == FleetSettings(
        fleet="f",
        name="a1",
        key=KEY.encode(),
        address="127.0.0.1:7001",
        zone="a",
        seeds={"a1": "127.0.0.1:7001", "a2": "127.0.0.1:7002"},
        limits={"x": RateLimit(5.0, 2.0)},
    )
    configuration_a9 = read(
        tmp_path,
        REQUIRED_KEYS + SEEDS,
        PROXY_FLEET_NAME="a9",
        PROXY_FLEET_LISTEN="0.0.0.0:7009",
        PROXY_FLEET_ADDRESS="10.0.0.9:7009",
    )
    assert configuration_a9.listen == ("0.0.0.0", 7009)
    assert configuration_a9.settings.address == "10.0.0.9:7009"
    (tmp_path / "key").write_text(KEY + "\n")
    assert read(tmp_path, 'fleet = "f"\nkey_file = "key"\n' + SEEDS).settings.key == KEY.encode()


@pytest.mark.parametrize(
    ("text", "key", "observed", "expected"),
    [
        (f'key = "{KEY}"\n', "fleet", "nothing", "a name of 1 to 64"),
        (REQUIRED_KEYS + "lease = 3\n", "lease", "3", "no such key; there are fleet"),
        (REQUIRED_KEYS + 'lease_s = "3"\n', "lease_s", "3", "a number from 0.2"),
        (REQUIRED_KEYS + "lease_s = true\n", "lease_s", "True", "a number"),
        (REQUIRED_KEYS + "lease_s = nan\n", "lease_s", "nan", "a number"),
        (REQUIRED_KEYS + "copies = 2.5\n", "copies", "2.5", "a whole number from 1 to 9"),
        (REQUIRED_KEYS + 'on_doubt = "guess"\n', "on_doubt", "guess", "one of turn_back, terminate"),
        (REQUIRED_KEYS + 'name = "a b"\n', "name", "a b", "a name"),
        (REQUIRED_KEYS + 'listen = "localhost:1"\n', "listen", "localhost:1", "an address in numbers"),
        (REQUIRED_KEYS + 'listen = "1.2.3.256:1"\n', "listen", "1.2.3.256:1", "an address in numbers"),
        (REQUIRED_KEYS + 'zone = ["a"]\n', "zone", "list", "a name"),
        (
            REQUIRED_KEYS + "copies = 3\nwrite_by = 2\nread_by = 1\n",
            "write_by",
            "2 and read_by 1",
            "over copies (3)",
        ),
        (REQUIRED_KEYS + "copies = 1\n", "write_by", "2", "copies at most"),
        (REQUIRED_KEYS + "wait_s = 3.0\n", "wait_s", "3.0", "lease_s at most, 2"),
        (REQUIRED_KEYS + "lease_s = 0.2\n", "tick_s", "0.1", "a quarter of lease_s"),
        (REQUIRED_KEYS + "tick_s = 0.2\nprobe_s = 0.1\n", "tick_s", "0.2", "probe_s at most"),
        (REQUIRED_KEYS + "suspect_s = 0.2\n", "suspect_s", "0.2", "probe_s or more"),
        (REQUIRED_KEYS + "hold_version = 7\n", "hold_version", "7", "0 or a version from 1 to 2"),
        (REQUIRED_KEYS + "longest_mark_s = 5.0\n", "longest_mark_s", "5.0", "6 or more for workload mark"),
        (f'fleet = "f"\nkey = "{KEY}"\nkey_file = "k"\n', "key", "key_file, too", "one of"),
        ('fleet = "f"\n', "key", "nothing", "one of key, key_file"),
        ('fleet = "f"\nkey = "secret"\n', "key", "6 bytes", "16 bytes or more"),
        ('fleet = "f"\nkey = 123456\n', "key", "int", "text of 16"),
        ('fleet = "f"\nkey_file = "none"\n', "key_file", "none", "a readable file"),
        (REQUIRED_KEYS + "[seeds]\n", "listen", "nothing", "an address"),
        (REQUIRED_KEYS + SEEDS + 'b = "127.0.0.1:7001"\n', "seeds.b", "127.0.0.1:7001", "a1 has this"),
        (REQUIRED_KEYS + '[seeds]\na1 = "127.0.0.1"\n', "seeds.a1", "127.0.0.1", "an address"),
        (REQUIRED_KEYS + '[seeds]\n"a 1" = "127.0.0.1:7"\n', "seeds.a 1", "a 1", "a name"),
        (
            REQUIRED_KEYS + 'address = "127.0.0.1:9"\n' + SEEDS,
            "seeds.a1",
            "127.0.0.1:7001",
            "this agent, 127.0.0.1:9",
        ),
        (
            REQUIRED_KEYS + 'listen = "0.0.0.0:7"\n[seeds]\nb = "127.0.0.1:7"\n',
            "address",
            "0.0.0.0:7",
            "can reach",
        ),
        (REQUIRED_KEYS + 'listen = "127.0.0.1:9"\n[seeds]\n', "seeds", "0", "at least one agent"),
        (
            REQUIRED_KEYS + SEEDS + "[limits.x]\nrate = 0\nburst = 1\n",
            "limits.x.rate",
            "0",
            "a number from 0.001",
        ),
        (REQUIRED_KEYS + SEEDS + "[limits.x]\nrate = -1.0\nburst = 1\n", "limits.x.rate", "-1.0", "a number"),
        (REQUIRED_KEYS + SEEDS + "[limits.x]\nrate = 1\n", "limits.x.burst", "nothing", "a number from 1"),
        (
            REQUIRED_KEYS + SEEDS + "[limits.x]\nrate = 1\nburst = 1\nper = 2\n",
            "limits.x.per",
            "2",
            "no such key",
        ),
        (REQUIRED_KEYS + SEEDS + "[limits]\nx = 3\n", "limits.x", "3", "a table"),
        (
            REQUIRED_KEYS + SEEDS + "[limits.y]\nrate = 1\nburst = 1\n",
            "limits.y",
            "y",
            "one of the settings' tenants: x",
        ),
    ],
)
def test_error_names_file_key_observed_and_expected_value(tmp_path, text, key, observed, expected):
    with pytest.raises(InvalidConfigurationError) as error_info:
        read(tmp_path, text if "[" in text else text + SEEDS)
    assert error_info.value.subject == f"{tmp_path / 'fleet.toml'}: {key}"
    assert (error_info.value.observed, expected in error_info.value.remedy) == (observed, True), (
        error_info.value
    )
    assert "secret" not in str(error_info.value)
    assert KEY not in str(error_info.value)


@pytest.mark.parametrize("text", ["fleet = ", "fleet = 'f'\nfleet = 'g'", "\udcff", "x = " + "[" * 5000])
def test_missing_file_and_invalid_toml_are_refused(tmp_path, text):
    (tmp_path / "bad.toml").write_bytes(text.encode(errors="surrogateescape"))
    for file_name in ("bad.toml", "none.toml"):
        with pytest.raises(InvalidConfigurationError, match=r"TOML|readable"):
            configuration.read(agent_config(tmp_path), {"PROXY_FLEET": str(tmp_path / file_name)})
    with pytest.raises(InvalidConfigurationError, match="PROXY_FLEET_LISTEN: found 'x'"):
        read(tmp_path, REQUIRED_KEYS + SEEDS, PROXY_FLEET_LISTEN="x")


def test_reload_adopts_only_reloadable_keys_and_names_the_others(tmp_path):
    old_settings = read(tmp_path, REQUIRED_KEYS + SEEDS + LIMITS).settings
    new_settings = read(
        tmp_path, REQUIRED_KEYS + "copies = 5\nwrite_by = 3\nread_by = 3\nwait_s = 0.2\n" + SEEDS
    ).settings
    merged_settings, needs_restart = configuration.merge_reloadable(old_settings, new_settings)
    assert (merged_settings.wait_s, merged_settings.limits, merged_settings.copies) == (0.2, {}, 3)
    assert needs_restart == ["copies", "write_by", "read_by"]


def test_example_file_shows_every_key_with_its_default(tmp_path):
    text = Path("deploy/fleet.toml").read_text()
    (tmp_path / "fleet.key").write_text(KEY)
    fleet_configuration = read(tmp_path, text, PROXY_FLEET_NAME="orders-1")
    assert fleet_configuration.settings.fleet == "orders"
    assert fleet_configuration.listen == ("10.0.0.5", 7946)
    shown_values = tomllib.loads(
        "\n".join(
            line.removeprefix("# ")
            for line in text.splitlines()
            if line.removeprefix("# ").partition(" = ")[0] in configuration.KEYS
        )
    )
    defaults = {field.name: field.default for field in fields(FleetSettings)}
    assert shown_values.keys() | {"seeds", "limits"} == configuration.KEYS.keys()
    assert configuration.KEYS.keys() - {"listen", "key_file"} == defaults.keys() - {"reads"}
    for key in shown_values.keys() - {"fleet", "name", "listen", "address", "key", "key_file", "zone"}:
        assert shown_values[key] == defaults[key], key
    configuration.read(
        agent_config(tmp_path, settings=TENANTS),
        {"PROXY_FLEET": str(tmp_path / "fleet.toml"), "PROXY_FLEET_NAME": "orders-1"},
    )
