"""Reads the operator file of a fleet (TOML) at the start and on SIGHUP, checks it and fills in defaults.

Only this module knows the names of the file's keys and of the environment variables. It must never replace an
invalid value by a guess, nor show the fleet's key. Each fault raises an InvalidConfigurationError, which
names the file, the key, the observed value and the expected one.
"""

import os
import re
import tomllib
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import Any, NamedTuple, Protocol

from msgspec import Struct
from msgspec.structs import fields, replace

from cartdeal.balancer_types import Idempotency
from cartdeal.fleet.errors import InvalidConfigurationError
from cartdeal.fleet.settings import FleetSettings, RateLimit
from cartdeal.settings import IDEMPOTENCY_BY_NAME, Settings, seconds

FILE_VARIABLE = "PROXY_FLEET"
NAME_VARIABLE = "PROXY_FLEET_NAME"
LISTEN_VARIABLE = "PROXY_FLEET_LISTEN"
ADDRESS_VARIABLE = "PROXY_FLEET_ADDRESS"
NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
ADDRESS_PATTERN = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})")
MIN_KEY_BYTES = 16
MAX_KEY_FILE_BYTES = 4096  # the rest of the file is not read
MAX_FILE_BYTES = 1 << 20
MISSING = "nothing"  # stands for the value of a missing key, in checks and in errors

# The keys that a running agent adopts when the file is read again. A change of another key would make it
# count or vote differently from what it has announced to its peers.
RELOADABLE_KEYS = (
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
# Keys of the file that are no fields of FleetSettings, or whose values are converted first.
SEPARATELY_READ_KEYS = frozenset(("name", "listen", "address", "key", "key_file", "limits", "zone"))

Address = tuple[str, int]


class AgentConfiguration(Protocol):
    """The part of the agent's own configuration that the file has to agree with."""

    name: str
    settings: Settings


class FleetConfiguration(Struct, frozen=True):
    """The content of the file: `settings` for the node, `listen` for the transport."""

    settings: FleetSettings
    listen: Address


class KeyRule(NamedTuple):
    """The rule for a key's value: `expected` describes it to the operator, `is_valid` checks a value."""

    expected: str
    is_valid: Callable[[Any], bool]


class Inconsistency(NamedTuple):
    """A valid value that conflicts with another key or with the agent's own configuration."""

    key: str
    observed: object
    expected: str


def parse_address(text: object, min_port: int = 1) -> Address | None:
    """Parses "host:port" with a numeric IPv4 host; returns None if `text` is no such address.

    Host names are refused, because they would have to be resolved during an event.
    """
    match = ADDRESS_PATTERN.fullmatch(text) if isinstance(text, str) else None
    if not match or any(int(part) > 255 for part in match.groups()[:4]):
        return None
    host, port = match[0].rpartition(":")[0], int(match[5])
    return (host, port) if min_port <= port < 65536 else None


def name_rule() -> KeyRule:
    """Returns the rule for the name of an agent, a fleet or a zone."""
    return KeyRule(
        "a name of 1 to 64 letters, digits, '.', '_' or '-'",
        lambda value: isinstance(value, str) and bool(NAME_PATTERN.fullmatch(value)),
    )


def number_rule(low: float, high: float) -> KeyRule:
    """Returns the rule for a number from `low` to `high`, both included."""
    return KeyRule(
        f"a number from {low:g} to {high:g}",
        lambda value: isinstance(value, int | float) and not isinstance(value, bool) and low <= value <= high,
    )


def integer_rule(low: int, high: int) -> KeyRule:
    """Returns the rule for a whole number from `low` to `high`, both included."""
    return KeyRule(
        f"a whole number from {low:g} to {high:g}",
        lambda value: isinstance(value, int) and not isinstance(value, bool) and low <= value <= high,
    )


def choice_rule(*choices: str) -> KeyRule:
    """Returns the rule for a text that is one of `choices`."""
    return KeyRule(f"one of {', '.join(choices)}", lambda value: isinstance(value, str) and value in choices)


def address_rule(min_port: int = 1) -> KeyRule:
    """Returns the rule for an address that `parse_address` accepts."""
    return KeyRule(
        "an address in numbers such as '10.0.0.5:7946'",
        lambda value: parse_address(value, min_port) is not None,
    )


def table_rule(expected: str) -> KeyRule:
    """Returns the rule for a TOML table."""
    return KeyRule(expected, lambda value: isinstance(value, dict))


KEYS = {
    "fleet": name_rule(),
    "name": name_rule(),
    "zone": name_rule(),
    "listen": address_rule(0),
    "address": address_rule(),
    "key": KeyRule(f"text of {MIN_KEY_BYTES} characters or more", lambda value: isinstance(value, str)),
    "key_file": KeyRule(
        "the path of a file with the key", lambda value: isinstance(value, str) and bool(value)
    ),
    "seeds": table_rule("a table of agents' names and addresses"),
    "limits": table_rule("a table for each tenant, with rate and burst"),
    "capacity": number_rule(0.01, 1e6),
    "copies": integer_rule(1, 9),
    "write_by": integer_rule(1, 9),
    "read_by": integer_rule(1, 9),
    "on_doubt": choice_rule("turn_back", "terminate"),
    "limit_doubt": choice_rule("turn_back", "serve"),
    "clients_mark": KeyRule("true or false", lambda value: isinstance(value, bool)),
    "wait_s": number_rule(0.001, 5),
    "lease_s": number_rule(0.2, 600),
    "period_s": number_rule(0.05, 3600),
    "longest_mark_s": number_rule(0.1, 3600),
    "clock_ahead_s": number_rule(0.01, 60),
    "clock_drift": number_rule(0, 0.2),
    "tick_s": number_rule(0.01, 5),
    "probe_s": number_rule(0.05, 60),
    "suspect_s": number_rule(0.1, 600),
    "damp_s": number_rule(0, 3600),
    "damp_share": number_rule(0, 1),
    "step_share": number_rule(0.01, 1),
    "most_agents": integer_rule(1, 10_000),
    "most_records": integer_rule(100, 10_000_000),
    "most_marks_a_session": integer_rule(1, 1000),
    "most_hints": integer_rule(10, 1_000_000),
    "most_waiting": integer_rule(1, 100_000),
    "hold_version": integer_rule(0, 1000),
}
LIMIT_KEYS = {"rate": number_rule(1e-3, 1e7), "burst": number_rule(1, 1e7)}
LIMIT_RULE = table_rule("a table with rate and burst")


def read(config: AgentConfiguration, environment: Mapping[str, str] = os.environ) -> FleetConfiguration:
    """Reads the file that PROXY_FLEET names. Raises InvalidConfigurationError.

    `config` is the agent's own configuration, which the file has to agree with.
    """
    path = environment[FILE_VARIABLE]
    try:
        content = Path(path).read_bytes()
    except OSError as error:
        raise configuration_error(FILE_VARIABLE, path, f"a readable file ({error.strerror})") from None
    try:
        if len(content) > MAX_FILE_BYTES:
            raise ValueError(f"{len(content)} bytes")
        values = tomllib.loads(content.decode())
    except (ValueError, RecursionError) as error:
        raise configuration_error(path, error, "TOML in UTF-8") from None
    return decode(values, path, config, environment)


def decode(
    values: dict[str, Any], path: str, config: AgentConfiguration, environment: Mapping[str, str]
) -> FleetConfiguration:
    """Checks the values of a parsed file and fills in defaults. Raises InvalidConfigurationError."""
    check_keys(path, values)
    seeds: dict[str, str] = values.get("seeds", {})
    limits: dict[str, dict[str, float]] = values.get("limits", {})
    check_seeds(path, seeds)
    check_limits(path, limits)
    name = resolve(path, values, environment, "name", NAME_VARIABLE, config.name)
    listen = resolve(path, values, environment, "listen", LISTEN_VARIABLE, seeds.get(name, MISSING))
    # If the environment gives the listen address, many agents may share the file, and its `address` is not
    # this agent's.
    own_values = values | {"address": None} if LISTEN_VARIABLE in environment else values
    address = resolve(path, own_values, environment, "address", ADDRESS_VARIABLE, seeds.get(name, listen))
    settings = FleetSettings(
        **{key: value for key, value in values.items() if key not in SEPARATELY_READ_KEYS},
        name=name,
        address=address,
        key=read_key(path, values),
        zone=values.get("zone", own_zone(config)),
        limits={
            tenant: RateLimit(float(limit["rate"]), float(limit["burst"])) for tenant, limit in limits.items()
        },
    )
    check_consistency(path, settings, config)
    listen_address = parse_address(listen, 0)
    assert listen_address is not None  # checked by the rule of `listen`
    return FleetConfiguration(settings, listen_address)


def check_keys(path: str, values: dict[str, Any]) -> None:
    """Checks that each key is known, that its value is valid, and that `fleet` is given."""
    for key, value in values.items():
        if key not in KEYS:
            raise configuration_error(
                f"{path}: {key}", display(value), f"no such key; there are {', '.join(KEYS)}"
            )
        check(f"{path}: {key}", value, KEYS[key], is_secret=key == "key")
    if "fleet" not in values:
        raise configuration_error(f"{path}: fleet", MISSING, KEYS["fleet"].expected)


def check_seeds(path: str, seeds: dict[str, Any]) -> None:
    """Checks the names and addresses of the seeds."""
    for name, address in seeds.items():
        check(f"{path}: seeds.{name}", name, KEYS["name"])
        check(f"{path}: seeds.{name}", address, KEYS["address"])


def check_limits(path: str, limits: dict[str, Any]) -> None:
    """Checks the rate and burst of each tenant."""
    for tenant, limit in limits.items():
        subject = f"{path}: limits.{tenant}"
        check(subject, limit, LIMIT_RULE)
        for key in {**LIMIT_KEYS, **limit}:
            if key not in LIMIT_KEYS:
                raise configuration_error(
                    f"{subject}.{key}", display(limit[key]), "no such key; there are rate and burst"
                )
            check(f"{subject}.{key}", limit.get(key, MISSING), LIMIT_KEYS[key])


def resolve(
    path: str, values: dict[str, Any], environment: Mapping[str, str], key: str, variable: str, default: str
) -> str:
    """Returns a key's value: from the environment variable, else from the file, else the default."""
    if variable in environment:
        check(variable, environment[variable], KEYS[key])
        return environment[variable]
    value: str = values.get(key) or default
    # With port 0 the system chooses the port, so the address is known only once the agent listens.
    check(f"{path}: {key}", value, KEYS["listen" if key == "address" else key])
    return value


def read_key(path: str, values: dict[str, Any]) -> bytes:
    """Returns the fleet's key, from `key` or from the file that `key_file` names."""
    if ("key" in values) == ("key_file" in values):
        observed = "key_file, too" if "key" in values else MISSING
        raise configuration_error(f"{path}: key", observed, "one of key, key_file")
    if "key" in values:
        subject = f"{path}: key"
        key: bytes = values["key"].encode()
    else:
        subject = f"{path}: key_file"
        try:
            key = Path(path).parent.joinpath(values["key_file"]).read_bytes()[:MAX_KEY_FILE_BYTES].strip()
        except OSError as error:
            raise configuration_error(
                subject, values["key_file"], f"a readable file ({error.strerror})"
            ) from None
    if len(key) < MIN_KEY_BYTES:
        raise configuration_error(
            subject, f"{len(key)} bytes", f"{MIN_KEY_BYTES} bytes or more, chosen at random"
        )
    return key


def check_consistency(path: str, settings: FleetSettings, config: AgentConfiguration) -> None:
    """Checks the settings against each other and against the agent's own configuration.

    Raises InvalidConfigurationError for the first inconsistency.
    """
    for find_inconsistencies in CONSISTENCY_CHECKS:
        for inconsistency in find_inconsistencies(settings, config):
            raise configuration_error(
                f"{path}: {inconsistency.key}", inconsistency.observed, inconsistency.expected
            )


def find_membership_faults(settings: FleetSettings, _: AgentConfiguration) -> Iterator[Inconsistency]:
    """Finds faults in the seeds, which found the fleet, and in this agent's address."""
    seeds, name, address = settings.seeds, settings.name, settings.address
    if not seeds:
        yield Inconsistency("seeds", len(seeds), "at least one agent that founds the fleet")
    if len(seeds) > settings.most_agents:
        yield Inconsistency("seeds", len(seeds), f"most_agents at most, {settings.most_agents}")
    if address.startswith("0."):
        yield Inconsistency("address", address, "an address that peers can reach, where listen has none")
    if seeds.get(name, address) != address:
        yield Inconsistency(f"seeds.{name}", seeds[name], f"the address of this agent, {address}")


def find_quorum_faults(settings: FleetSettings, _: AgentConfiguration) -> Iterator[Inconsistency]:
    """Finds quorums larger than the copies, and read quorums that may not overlap each write quorum."""
    copies, write_by, read_by = settings.copies, settings.write_by, settings.read_by
    if write_by > copies:
        yield Inconsistency("write_by", write_by, f"copies at most, {copies}")
    if read_by > copies:
        yield Inconsistency("read_by", read_by, f"copies at most, {copies}")
    if write_by + read_by <= copies:
        yield Inconsistency(
            "write_by",
            f"{write_by} and read_by {read_by}",
            f"over copies ({copies}) together: otherwise a read may miss an earlier write",
        )


def find_timing_faults(settings: FleetSettings, _: AgentConfiguration) -> Iterator[Inconsistency]:
    """Finds durations that are too long or too short compared with each other."""
    lease_s, tick_s, probe_s = settings.lease_s, settings.tick_s, settings.probe_s
    if settings.wait_s > lease_s:
        yield Inconsistency("wait_s", settings.wait_s, f"lease_s at most, {lease_s:g}")
    if tick_s > lease_s / 4:
        yield Inconsistency("tick_s", tick_s, f"a quarter of lease_s at most, {lease_s / 4:g}")
    if tick_s > probe_s:
        yield Inconsistency("tick_s", tick_s, f"probe_s at most, {probe_s:g}")
    if settings.suspect_s < probe_s:
        yield Inconsistency("suspect_s", settings.suspect_s, f"probe_s or more, {probe_s:g}")


def find_version_faults(settings: FleetSettings, _: AgentConfiguration) -> Iterator[Inconsistency]:
    """Finds a held schema version that this program can't read."""
    low, high = settings.reads
    if settings.hold_version and not low <= settings.hold_version <= high:
        yield Inconsistency("hold_version", settings.hold_version, f"0 or a version from {low} to {high}")


def find_shared_addresses(settings: FleetSettings, _: AgentConfiguration) -> Iterator[Inconsistency]:
    """Finds seeds that have the same address."""
    name_by_address: dict[str, str] = {}
    for name, address in settings.seeds.items():
        first_name = name_by_address.setdefault(address, name)
        if first_name != name:
            yield Inconsistency(f"seeds.{name}", address, f"an address of its own, {first_name} has this")


def find_unknown_tenants(settings: FleetSettings, config: AgentConfiguration) -> Iterator[Inconsistency]:
    """Finds limits of tenants that the agent's own settings do not name."""
    tenants = [tenant.name for tenant in config.settings.tenants]
    for tenant in settings.limits:
        if tenant not in tenants:
            known_tenants = ", ".join(tenants) or "none"
            yield Inconsistency(f"limits.{tenant}", tenant, f"one of the settings' tenants: {known_tenants}")


def find_short_retention(settings: FleetSettings, config: AgentConfiguration) -> Iterator[Inconsistency]:
    """Finds request classes whose deduplication window and deadline outlast the attempt records."""
    for request_class in config.settings.request_classes:
        is_deduplicated = IDEMPOTENCY_BY_NAME.get(request_class.idempotency or "") is Idempotency.DEDUPLICATED
        needed_s = seconds(request_class.deduplication_window_us) * is_deduplicated + request_class.timeout
        if settings.longest_mark_s < needed_s:
            yield Inconsistency(
                "longest_mark_s",
                settings.longest_mark_s,
                f"{needed_s:g} or more for workload {request_class.name}: "
                "otherwise its attempt records expire too soon",
            )


CONSISTENCY_CHECKS: tuple[Callable[[FleetSettings, AgentConfiguration], Iterator[Inconsistency]], ...] = (
    find_membership_faults,
    find_quorum_faults,
    find_timing_faults,
    find_version_faults,
    find_shared_addresses,
    find_unknown_tenants,
    find_short_retention,
)


def merge_reloadable(old: FleetSettings, new: FleetSettings) -> tuple[FleetSettings, list[str]]:
    """Returns a running agent's settings after its file was read again, and the keys that need a restart."""
    merged = replace(old, **{key: getattr(new, key) for key in RELOADABLE_KEYS})
    needs_restart = [
        field.name
        for field in fields(FleetSettings)
        if getattr(merged, field.name) != getattr(new, field.name)
    ]
    return merged, needs_restart


def own_zone(config: AgentConfiguration) -> str:
    """Returns this agent's zone from its own settings; "" if they name none."""
    settings = config.settings
    return settings.zones[settings.own_zone] if settings.zones else ""


def check(subject: str, value: object, rule: KeyRule, is_secret: bool = False) -> None:
    """Raises InvalidConfigurationError if a value breaks its rule; a secret value is not shown."""
    if not rule.is_valid(value):
        raise configuration_error(
            subject, type(value).__name__ if is_secret else display(value), rule.expected
        )


def display(value: object) -> str:
    """Returns a value as an error shows it; for a table or a list only its type."""
    return type(value).__name__ if isinstance(value, dict | list) else str(value)


def configuration_error(subject: str, observed: object, expected: str) -> InvalidConfigurationError:
    """Returns the error about a key, a variable or a file."""
    return InvalidConfigurationError(subject, observed, f"wanted {expected}")
