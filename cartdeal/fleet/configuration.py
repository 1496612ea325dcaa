"""Reads the operator file of a fleet (TOML), at the start and on SIGHUP, checks it and fills in defaults.

The one place that knows the names of its keys and of the environment's. It must never guess around a wrong
value, nor show the fleet's key: a fault is errors.WrongConfiguration and names file, key, what was found
and what is wanted.
"""

import os
import re
import tomllib
from pathlib import Path

from msgspec import Struct
from msgspec.structs import fields, replace

from cartdeal.fleet.errors import InvalidConfigurationError
from cartdeal.fleet.settings import FleetSettings, RateLimit
from cartdeal.settings import REPEATS, seconds
from cartdeal.terms import Repeat

FILE, NAME, LISTEN, ADDRESS = "PROXY_FLEET", "PROXY_FLEET_NAME", "PROXY_FLEET_LISTEN", "PROXY_FLEET_ADDRESS"
WORD = re.compile(r"[A-Za-z0-9._-]{1,64}")
PLACE = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})")
LEAST_KEY = 16  # bytes
LONGEST_FILE = 1 << 20

# What a running agent takes over from a file that is read again. With others it would count or vote otherwise
# than what it told its peers.
TAKEN_OVER = (
    "seeds",
    "limits",
    "on_doubt",
    "limit_doubt",
    "clients_mark",
    "wait_s",
    "capacity",
    "hold_version",
    "damp_s",
    "damp_share",
    "step_share",
)

Address = tuple[str, int]


class FleetConfiguration(Struct, frozen=True):
    """What the file says: `settings` for the node, `listen` for the transport."""

    settings: FleetSettings
    listen: Address


def address(text, least: int = 1) -> Address | None:
    """An address in numbers; a name would have to be looked up in the middle of an event."""
    found = PLACE.fullmatch(text) if isinstance(text, str) else None
    if not found or any(int(part) > 255 for part in found.groups()[:4]) or not least <= int(found[5]) < 65536:
        return None
    return text.rpartition(":")[0], int(found[5])


def word(wanted="a name of 1 to 64 letters, digits, '.', '_' or '-'"):
    return wanted, lambda found: isinstance(found, str) and bool(WORD.fullmatch(found))


def number(low, high, kinds=(int, float)):
    what = "a whole number" if kinds is int else "a number"
    return (
        f"{what} from {low:g} to {high:g}",
        lambda found: isinstance(found, kinds) and not isinstance(found, bool) and low <= found <= high,
    )


def one_of(*words):
    return f"one of {', '.join(words)}", lambda found: isinstance(found, str) and found in words


def place(least=1):
    return ("an address in numbers such as '10.0.0.5:7946'", lambda found: address(found, least) is not None)


def table(wanted):
    return wanted, lambda found: isinstance(found, dict)


KEYS = {
    "fleet": word(),
    "name": word(),
    "zone": word(),
    "listen": place(0),
    "address": place(),
    "key": (f"text of {LEAST_KEY} characters or more", lambda found: isinstance(found, str)),
    "key_file": ("the path of a file with the key", lambda found: isinstance(found, str) and bool(found)),
    "seeds": table("a table of agents' names and addresses"),
    "limits": table("a table for each tenant, with rate and burst"),
    "capacity": number(0.01, 1e6),
    "copies": number(1, 9, int),
    "write_by": number(1, 9, int),
    "read_by": number(1, 9, int),
    "on_doubt": one_of("turn_back", "terminate"),
    "limit_doubt": one_of("turn_back", "serve"),
    "clients_mark": ("true or false", lambda found: isinstance(found, bool)),
    "wait_s": number(0.001, 5),
    "lease_s": number(0.2, 600),
    "period_s": number(0.05, 3600),
    "longest_mark_s": number(0.1, 3600),
    "clock_ahead_s": number(0.01, 60),
    "clock_drift": number(0, 0.2),
    "tick_s": number(0.01, 5),
    "probe_s": number(0.05, 60),
    "suspect_s": number(0.1, 600),
    "damp_s": number(0, 3600),
    "damp_share": number(0, 1),
    "step_share": number(0.01, 1),
    "most_agents": number(1, 10_000, int),
    "most_records": number(100, 10_000_000, int),
    "most_marks_a_session": number(1, 1000, int),
    "most_hints": number(10, 1_000_000, int),
    "most_waiting": number(1, 100_000, int),
    "hold_version": number(0, 1000, int),
}
SHARES = {"rate": number(1e-3, 1e7), "burst": number(1, 1e7)}


def read(config, environment=os.environ) -> FleetConfiguration:
    """Raises errors.WrongConfiguration. `config`: the agent's own; the file has to agree with it."""
    path = environment[FILE]
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise fault(FILE, path, f"a readable file ({error.strerror})") from None
    try:
        if len(text) > LONGEST_FILE:
            raise ValueError(f"{len(text)} bytes")
        found = tomllib.loads(text.decode())
    except (ValueError, RecursionError) as error:
        raise fault(path, error, "TOML in UTF-8") from None
    return decode(found, path, config, environment)


def decode(found: dict, path: str, config, environment) -> FleetConfiguration:
    for key, value in found.items():
        if key not in KEYS:
            raise fault(f"{path}: {key}", shown(value), f"no such key; there are {', '.join(KEYS)}")
        check(f"{path}: {key}", value, KEYS[key], secret=key == "key")
    if "fleet" not in found:
        raise fault(f"{path}: fleet", "nothing", KEYS["fleet"][0])
    seeds, limits = found.get("seeds", {}), found.get("limits", {})
    for name, at in seeds.items():
        check(f"{path}: seeds.{name}", name, KEYS["name"])
        check(f"{path}: seeds.{name}", at, KEYS["address"])
    for tenant, parts in limits.items():
        where = f"{path}: limits.{tenant}"
        check(where, parts, table("a table with rate and burst"))
        for key in {**SHARES, **parts}:
            if key not in SHARES:
                raise fault(f"{where}.{key}", shown(parts[key]), "no such key; there are rate and burst")
            check(f"{where}.{key}", parts.get(key, "nothing"), SHARES[key])
    name = chosen(path, found, environment, "name", NAME, config.name)
    listen = chosen(path, found, environment, "listen", LISTEN, seeds.get(name, "nothing"))
    # A file for many agents can't hold the address of one: where that one listens comes from outside.
    reached = found | ({} if LISTEN not in environment else {"address": None})
    reached = chosen(path, reached, environment, "address", ADDRESS, seeds.get(name, listen))
    fleet_settings = FleetSettings(
        **{
            key: value
            for key, value in found.items()
            if key not in ("name", "listen", "address", "key", "key_file", "limits", "zone")
        },
        name=name,
        address=reached,
        key=the_key(path, found),
        zone=found.get("zone", zone_of(config)),
        limits={
            tenant: RateLimit(float(each["rate"]), float(each["burst"])) for tenant, each in limits.items()
        },
    )
    agree(path, fleet_settings, listen, config)
    return FleetConfiguration(fleet_settings, address(listen, 0))


def chosen(path, found, environment, key, variable, default) -> str:
    if variable in environment:
        check(variable, environment[variable], KEYS[key])
        return environment[variable]
    value = found.get(key) or default
    check(f"{path}: {key}", value, KEYS["listen" if key == "address" else key])
    return value


def the_key(path: str, found: dict) -> bytes:
    if ("key" in found) == ("key_file" in found):
        raise fault(f"{path}: key", "key_file, too" if "key" in found else "nothing", "one of key, key_file")
    if "key" in found:
        key, where = found["key"].encode(), f"{path}: key"
    else:
        where = f"{path}: key_file"
        try:
            key = Path(path).parent.joinpath(found["key_file"]).read_bytes()[:4096].strip()
        except OSError as error:
            raise fault(where, found["key_file"], f"a readable file ({error.strerror})") from None
    if len(key) < LEAST_KEY:
        raise fault(where, f"{len(key)} bytes", f"{LEAST_KEY} bytes or more, by chance")
    return key


def agree(path: str, fleet_settings: FleetSettings, listen: str, config):
    """What each key allows by itself, but not beside another one, or beside the agent's own configuration."""
    seeds, by_address = fleet_settings.seeds, {}
    wrong = [
        ("seeds", len(seeds), "at least one agent that founds the fleet", not seeds),
        (
            "seeds",
            len(seeds),
            f"most_agents at most, {fleet_settings.most_agents}",
            len(seeds) > fleet_settings.most_agents,
        ),
        (
            "address",
            fleet_settings.address,
            "an address that peers can reach, where listen has none",
            fleet_settings.address.startswith("0."),
        ),
        (
            f"seeds.{fleet_settings.name}",
            seeds.get(fleet_settings.name),
            f"the address of this agent, {fleet_settings.address}",
            seeds.get(fleet_settings.name, fleet_settings.address) != fleet_settings.address,
        ),
        (
            "write_by",
            fleet_settings.write_by,
            f"copies at most, {fleet_settings.copies}",
            fleet_settings.write_by > fleet_settings.copies,
        ),
        (
            "read_by",
            fleet_settings.read_by,
            f"copies at most, {fleet_settings.copies}",
            fleet_settings.read_by > fleet_settings.copies,
        ),
        (
            "write_by",
            f"{fleet_settings.write_by} and read_by {fleet_settings.read_by}",
            f"over copies ({fleet_settings.copies}) together: else who reads may miss what was written",
            fleet_settings.write_by + fleet_settings.read_by <= fleet_settings.copies,
        ),
        (
            "wait_s",
            fleet_settings.wait_s,
            f"lease_s at most, {fleet_settings.lease_s:g}",
            fleet_settings.wait_s > fleet_settings.lease_s,
        ),
        (
            "tick_s",
            fleet_settings.tick_s,
            f"a quarter of lease_s at most, {fleet_settings.lease_s / 4:g}",
            fleet_settings.tick_s > fleet_settings.lease_s / 4,
        ),
        (
            "tick_s",
            fleet_settings.tick_s,
            f"probe_s at most, {fleet_settings.probe_s:g}",
            fleet_settings.tick_s > fleet_settings.probe_s,
        ),
        (
            "suspect_s",
            fleet_settings.suspect_s,
            f"probe_s or more, {fleet_settings.probe_s:g}",
            fleet_settings.suspect_s < fleet_settings.probe_s,
        ),
        (
            "hold_version",
            fleet_settings.hold_version,
            f"0 or a version from {fleet_settings.reads[0]} to {fleet_settings.reads[1]}",
            fleet_settings.hold_version
            and not fleet_settings.reads[0] <= fleet_settings.hold_version <= fleet_settings.reads[1],
        ),
    ]
    for name, at in seeds.items():
        other = by_address.setdefault(at, name)
        wrong.append((f"seeds.{name}", at, f"an address of its own, {other} has this", other != name))
    tenants = [each.name for each in config.settings.tenants]
    for tenant in fleet_settings.limits:
        known = ", ".join(tenants) or "none"
        wrong.append(
            (f"limits.{tenant}", tenant, f"one of the settings' tenants: {known}", tenant not in tenants)
        )
    for kind in config.settings.request_classes:
        keyed = REPEATS.get(kind.repeat) is Repeat.DEDUPLICATED
        needs = seconds(kind.window) * keyed + kind.timeout
        wrong.append(
            (
                "longest_mark_s",
                fleet_settings.longest_mark_s,
                f"{needs:g} or more for workload {kind.name}: else what it did is forgotten too soon",
                fleet_settings.longest_mark_s < needs,
            )
        )
    for key, found, wanted, is_wrong in wrong:
        if is_wrong:
            raise fault(f"{path}: {key}", found, wanted)


def taken_over(old: FleetSettings, new: FleetSettings) -> tuple[FleetSettings, list[str]]:
    """What a running agent goes by after its file was read again, and the keys that need a restart."""
    kept = replace(old, **{key: getattr(new, key) for key in TAKEN_OVER})
    return kept, [
        each.name for each in fields(FleetSettings) if getattr(kept, each.name) != getattr(new, each.name)
    ]


def zone_of(config) -> str:
    settings = config.settings
    return settings.zones[settings.own_zone] if settings.zones else ""


def check(where: str, found, rule, secret: bool = False):
    wanted, good = rule
    if not good(found):
        raise fault(where, type(found).__name__ if secret else shown(found), wanted)


def shown(found) -> str:
    return type(found).__name__ if isinstance(found, dict | list) else str(found)


def fault(where: str, found, wanted: str) -> InvalidConfigurationError:
    return InvalidConfigurationError(where, found, f"wanted {wanted}")
