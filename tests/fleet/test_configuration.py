import tomllib
from pathlib import Path

import pytest
from msgspec.structs import fields

from cartdeal.fleet import configuration
from cartdeal.fleet.errors import InvalidConfigurationError
from cartdeal.fleet.settings import FleetSettings, RateLimit
from tests.scene import SETTINGS, agent_config

KEY, SEEDS = "k" * 16, '[seeds]\na1 = "127.0.0.1:7001"\na2 = "127.0.0.1:7002"\n'
GOOD = f'fleet = "f"\nkey = "{KEY}"\n'
LIMITS = "[limits.x]\nrate = 5.0\nburst = 2\n"
TENANTS = SETTINGS | {"tenants": [{"name": "x"}]}


def read(folder, text, **environment):
    (folder / "fleet.toml").write_text(text)
    environment = {"PROXY_FLEET": str(folder / "fleet.toml"), "PROXY_FLEET_NAME": "a1"} | environment
    return configuration.read(agent_config(folder, settings=TENANTS), environment)


def test_one_file_serves_many_agents_and_what_is_left_out_has_its_default(tmp_path):
    found = read(tmp_path, GOOD + SEEDS + LIMITS)
    assert found.listen == ("127.0.0.1", 7001)
    assert found.settings == FleetSettings(
        fleet="f",
        name="a1",
        key=KEY.encode(),
        address="127.0.0.1:7001",
        zone="a",
        seeds={"a1": "127.0.0.1:7001", "a2": "127.0.0.1:7002"},
        limits={"x": RateLimit(5.0, 2.0)},
    )
    other = read(
        tmp_path,
        GOOD + SEEDS,
        PROXY_FLEET_NAME="a9",
        PROXY_FLEET_LISTEN="0.0.0.0:7009",
        PROXY_FLEET_ADDRESS="10.0.0.9:7009",
    )
    assert other.listen == ("0.0.0.0", 7009) and other.settings.address == "10.0.0.9:7009"
    (tmp_path / "key").write_text(KEY + "\n")
    assert read(tmp_path, 'fleet = "f"\nkey_file = "key"\n' + SEEDS).settings.key == KEY.encode()


@pytest.mark.parametrize(
    "text, key, found, wanted",
    [
        (f'key = "{KEY}"\n', "fleet", "nothing", "a name of 1 to 64"),
        (GOOD + "lease = 3\n", "lease", "3", "no such key; there are fleet"),
        (GOOD + 'lease_s = "3"\n', "lease_s", "3", "a number from 0.2"),
        (GOOD + "lease_s = true\n", "lease_s", "True", "a number"),
        (GOOD + "lease_s = nan\n", "lease_s", "nan", "a number"),
        (GOOD + "copies = 2.5\n", "copies", "2.5", "a whole number from 1 to 9"),
        (GOOD + 'on_doubt = "guess"\n', "on_doubt", "guess", "one of turn_back, terminate"),
        (GOOD + 'name = "a b"\n', "name", "a b", "a name"),
        (GOOD + 'listen = "localhost:1"\n', "listen", "localhost:1", "an address in numbers"),
        (GOOD + 'listen = "1.2.3.256:1"\n', "listen", "1.2.3.256:1", "an address in numbers"),
        (GOOD + 'zone = ["a"]\n', "zone", "list", "a name"),
        (GOOD + "copies = 3\nwrite_by = 2\nread_by = 1\n", "write_by", "2 and read_by 1", "over copies (3)"),
        (GOOD + "copies = 1\n", "write_by", "2", "copies at most"),
        (GOOD + "wait_s = 3.0\n", "wait_s", "3.0", "lease_s at most, 2"),
        (GOOD + "lease_s = 0.2\n", "tick_s", "0.1", "a quarter of lease_s"),
        (GOOD + "tick_s = 0.2\nprobe_s = 0.1\n", "tick_s", "0.2", "probe_s at most"),
        (GOOD + "suspect_s = 0.2\n", "suspect_s", "0.2", "probe_s or more"),
        (GOOD + "hold_version = 7\n", "hold_version", "7", "0 or a version from 1 to 2"),
        (GOOD + "longest_mark_s = 5.0\n", "longest_mark_s", "5.0", "6 or more for workload mark"),
        (f'fleet = "f"\nkey = "{KEY}"\nkey_file = "k"\n', "key", "key_file, too", "one of"),
        ('fleet = "f"\n', "key", "nothing", "one of key, key_file"),
        ('fleet = "f"\nkey = "secret"\n', "key", "6 bytes", "16 bytes or more"),
        ('fleet = "f"\nkey = 123456\n', "key", "int", "text of 16"),
        ('fleet = "f"\nkey_file = "none"\n', "key_file", "none", "a readable file"),
        (GOOD + "[seeds]\n", "listen", "nothing", "an address"),
        (GOOD + SEEDS + 'b = "127.0.0.1:7001"\n', "seeds.b", "127.0.0.1:7001", "a1 has this"),
        (GOOD + '[seeds]\na1 = "127.0.0.1"\n', "seeds.a1", "127.0.0.1", "an address"),
        (GOOD + '[seeds]\n"a 1" = "127.0.0.1:7"\n', "seeds.a 1", "a 1", "a name"),
        (GOOD + 'address = "127.0.0.1:9"\n' + SEEDS, "seeds.a1", "127.0.0.1:7001", "this agent, 127.0.0.1:9"),
        (GOOD + 'listen = "0.0.0.0:7"\n[seeds]\nb = "127.0.0.1:7"\n', "address", "0.0.0.0:7", "can reach"),
        (GOOD + 'listen = "127.0.0.1:9"\n[seeds]\n', "seeds", "0", "at least one agent"),
        (GOOD + SEEDS + "[limits.x]\nrate = 0\nburst = 1\n", "limits.x.rate", "0", "a number from 0.001"),
        (GOOD + SEEDS + "[limits.x]\nrate = -1.0\nburst = 1\n", "limits.x.rate", "-1.0", "a number"),
        (GOOD + SEEDS + "[limits.x]\nrate = 1\n", "limits.x.burst", "nothing", "a number from 1"),
        (GOOD + SEEDS + "[limits.x]\nrate = 1\nburst = 1\nper = 2\n", "limits.x.per", "2", "no such key"),
        (GOOD + SEEDS + "[limits]\nx = 3\n", "limits.x", "3", "a table"),
        (
            GOOD + SEEDS + "[limits.y]\nrate = 1\nburst = 1\n",
            "limits.y",
            "y",
            "one of the settings' tenants: x",
        ),
    ],
)
def test_each_fault_names_file_key_found_and_wanted(tmp_path, text, key, found, wanted):
    with pytest.raises(InvalidConfigurationError) as trouble:
        read(tmp_path, text if "[" in text else text + SEEDS)
    assert trouble.value.subject == f"{tmp_path / 'fleet.toml'}: {key}"
    assert (trouble.value.observed, wanted in trouble.value.remedy) == (found, True), trouble.value
    assert "secret" not in str(trouble.value) and KEY not in str(trouble.value)


@pytest.mark.parametrize("text", ["fleet = ", "fleet = 'f'\nfleet = 'g'", "\udcff", "x = " + "[" * 5000])
def test_a_file_that_is_no_toml_or_is_not_there_is_refused(tmp_path, text):
    (tmp_path / "bad.toml").write_bytes(text.encode(errors="surrogateescape"))
    for file in ("bad.toml", "none.toml"):
        with pytest.raises(InvalidConfigurationError, match="TOML|readable"):
            configuration.read(agent_config(tmp_path), {"PROXY_FLEET": str(tmp_path / file)})
    with pytest.raises(InvalidConfigurationError, match="PROXY_FLEET_LISTEN: found 'x'"):
        read(tmp_path, GOOD + SEEDS, PROXY_FLEET_LISTEN="x")


def test_what_a_running_agent_takes_over(tmp_path):
    old = read(tmp_path, GOOD + SEEDS + LIMITS).settings
    new = read(tmp_path, GOOD + "copies = 5\nwrite_by = 3\nread_by = 3\nwait_s = 0.2\n" + SEEDS).settings
    kept, restart = configuration.merge_reloadable(old, new)
    assert (kept.wait_s, kept.limits, kept.copies) == (0.2, {}, 3)
    assert restart == ["copies", "write_by", "read_by"]


def test_the_example_tells_every_key_with_its_default(tmp_path):
    text = Path("deploy/fleet.toml").read_text()
    (tmp_path / "fleet.key").write_text(KEY)
    found = read(tmp_path, text, PROXY_FLEET_NAME="orders-1")
    assert found.settings.fleet == "orders" and found.listen == ("10.0.0.5", 7946)
    bare = tomllib.loads(
        "\n".join(
            line.removeprefix("# ")
            for line in text.splitlines()
            if line.removeprefix("# ").partition(" = ")[0] in configuration.KEYS
        )
    )
    defaults = {each.name: each.default for each in fields(FleetSettings)}
    assert bare.keys() | {"seeds", "limits"} == configuration.KEYS.keys()
    assert configuration.KEYS.keys() - {"listen", "key_file"} == defaults.keys() - {"reads"}
    for key in bare.keys() - {"fleet", "name", "listen", "address", "key", "key_file", "zone"}:
        assert bare[key] == defaults[key], key
    configuration.read(
        agent_config(tmp_path, settings=TENANTS),
        {"PROXY_FLEET": str(tmp_path / "fleet.toml"), "PROXY_FLEET_NAME": "orders-1"},
    )
