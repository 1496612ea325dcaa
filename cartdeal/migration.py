"""Converts the configuration of an agent beside its client to that of an agent in a pool.

In the old shape, each client has its own agent, and agents poll the server list and probe servers. In the
new shape, clients share a pool of agents, the server list is pushed, servers report their load with their
answers, and the load of a server lowers its listed weight.

The new file is written whole or not at all. Nothing is guessed silently: the keys that were not carried over
and those that the operator has to set or confirm are listed.
"""

import json
import os
from copy import deepcopy
from pathlib import Path
from typing import NamedTuple

from cartdeal import atomic_write
from cartdeal.agent import configuration
from cartdeal.agent.configuration import ConfigurationError

# The settings that every configuration of the new shape has.
POOL_SETTINGS = {"family": "proxy", "discovery": "pushed", "weightKind": "live"}
# The settings that the new shape has no use for, as paths of keys, and the reasons.
OBSOLETE_SETTINGS = {
    ("caps", "probes"): "servers may not be probed",
    ("fees", "probe"): "servers may not be probed",
    ("rules", "askEveryUs"): "the server list is pushed",
    ("importanceBasis",): "no longer read: requests carry no hints of their work",
}
# The keys of the configuration by which agents send messages to each other.
PEER_KEYS = ("peer_listen", "peers", "peers_all")


class Plan(NamedTuple):
    """The new configuration and notes for the operator. Each note begins with a key."""

    text: bytes  # of the new file
    dropped: list[str]  # the settings that were not carried over, with the reasons
    to_confirm: list[str]  # the settings that the operator has to set or confirm
    fault: str  # why the new configuration does not pass `check`; empty if it passes


def configuration_error(key, found, wanted):
    """The error that the value found at a key is not the one that is wanted."""
    return ConfigurationError(f"{key}: found {found!r}, wanted {wanted}")


def load(path: str) -> dict:
    """Reads a JSON object from a file.

    Raises:
        ConfigurationError: the file can't be read or contains no JSON object.
    """
    try:
        content = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise configuration_error(path, "no readable file", f"a configuration ({error.strerror})") from None
    except (ValueError, RecursionError) as error:
        raise configuration_error(path, "no JSON", f"a configuration ({error})") from None
    if not isinstance(content, dict):
        raise configuration_error(path, type(content).__name__, "an object")
    return content


def section(configuration_part: dict, key: str) -> dict:
    """The object at a key of a configuration; empty if the key is missing.

    Raises:
        ConfigurationError: the value is not an object.
    """
    value = configuration_part.get(key, {})
    if not isinstance(value, dict):
        raise configuration_error(key, value, "an object")
    return value


def has_new_shape(settings: dict) -> bool:
    """Whether the settings are those of an agent in a pool."""
    return (
        all(settings.get(key) == value for key, value in POOL_SETTINGS.items())
        and section(settings, "feedback").get("how") == "answers"
        and not section(settings, "caps").get("probes")
    )


def check_agent_number(settings: dict):
    """Checks that the agent's number lies within its pool.

    Raises:
        ConfigurationError: the number is not less than the number of agents.
    """
    number, agents = settings.get("myNumber", 0), settings.get("groupSize", 1)
    if number >= agents:
        raise configuration_error("settings.myNumber", number, f"under settings.groupSize, {agents}")


def plan(path: str, areas=(), zone=None, agents=None, number=None, columns=(), overrides=None) -> Plan | None:
    """The plan for the configuration at `path`; None if it has the new shape already.

    Args:
        path: The file of the old configuration.
        areas: The names of the zones; empty to keep the old ones.
        zone: The agent's own zone; None to keep the old one.
        agents: The number of agents in the pool; None to keep the old number.
        number: The number of this agent, from 0; None to keep the old one.
        columns: The values that servers report; empty for "backlog" alone.
        overrides: Settings that replace those of the old configuration.

    Raises:
        ConfigurationError: the old configuration can't be used, or the agent's number is not in the pool.
    """
    old = load(path)
    settings = section(old, "settings")
    if has_new_shape(settings):
        return None
    configuration.decode(
        json.dumps(old).encode(), path, dict.fromkeys(("PROXY_LISTEN", "PROXY_DISCOVERY"), "127.0.0.1:0")
    )
    check_agent_number(settings)
    old_zones = settings.get("areas", [])
    old_zone = old_zones[settings.get("az", 0)] if old_zones else ""
    dropped, to_confirm = [], []

    new = deepcopy(settings) | POOL_SETTINGS
    for *parents, key in OBSOLETE_SETTINGS:
        parent = new
        for parent_key in parents:
            parent = parent.get(parent_key, {})
        if key in parent:
            dropped.append(
                f"{'.'.join(['settings', *parents, key])}: {parent.pop(key)!r}: "
                f"{OBSOLETE_SETTINGS[*parents, key]}"
            )
    new["caps"] = new.get("caps", {}) | {"probes": False}
    new["feedback"] = {"how": "answers", "columns": list(columns) or ["backlog"]}
    if not columns:
        to_confirm.append("settings.feedback.columns: 'backlog' alone; name what servers report (--column)")
    if areas:
        new["areas"] = list(areas)
    elif len(old_zones) != 2:
        to_confirm.append(
            f"settings.areas: {len(old_zones)} carried over; name those of the new deployment (--area)"
        )
    zone = old_zone if zone is None else zone
    if zone in new.get("areas", []):
        new["az"] = new["areas"].index(zone)
    elif new.get("areas"):
        dropped.append(f"settings.az: {old_zone!r}: not a zone of the new deployment")
        new["az"] = 0
        to_confirm.append(
            f"settings.az: {new['areas'][0]!r} for lack of a known zone; name the agent's own zone (--zone)"
        )
    for key, value, option in (("groupSize", agents, "--agents"), ("myNumber", number, "--number")):
        if value is not None:
            new[key] = value
        else:
            to_confirm.append(
                f"settings.{key}: {new.get(key, 'none')!r} refers to agents beside their clients; "
                f"give the value for the pool ({option})"
            )
    new |= overrides or {}
    if "workloads" not in (overrides or {}):
        to_confirm.append(
            "settings.workloads: carried over; confirm latency targets, limits, repeats (--settings)"
        )
    if "objectiveMix" not in new:
        to_confirm.append(
            "settings.objectiveMix: missing, so the worst-served request class has no extra weight; "
            "set it if it should"
        )

    converted = {key: value for key, value in old.items() if key not in (*PEER_KEYS, "known", "settings")}
    for key in PEER_KEYS:
        if key in old:
            dropped.append(f"{key}: agents of a pool cannot send each other messages")
    known_servers = section(old, "known").get("targets", ())
    if known_servers:
        dropped.append(
            f"known: {len(known_servers)} servers: of the old deployment, with weights of another kind"
        )
    converted["settings"] = new
    to_confirm.append(
        f"listen: {old.get('listen', 'none')!r}: clients connect through a front layer; confirm"
    )
    to_confirm.append("limits: one agent now serves many clients; confirm sockets and memory_mb")
    text = (json.dumps(converted, indent=2, ensure_ascii=False) + "\n").encode()
    try:
        configuration.decode(text, path, os.environ)
        fault = ""
    except ConfigurationError as error:
        fault = str(error)
    if not fault:
        # Compared only after `decode` has checked the types: the overrides may have any type.
        check_agent_number(new)
    return Plan(text, dropped, to_confirm, fault)


def write(text: bytes, old: str, new: str, replaces: bool):
    """Writes the new file, whole or not at all.

    Args:
        text: The content of the new file.
        old: The path of the old file, which is never replaced.
        new: The path of the new file.
        replaces: Whether a file at the new path is replaced.

    Raises:
        ConfigurationError: the new path is that of the old file, has a file already, or can't be written.
    """
    target = Path(new)
    if target.exists() and target.samefile(old):
        raise configuration_error("NEW", new, "another file than OLD")
    try:
        atomic_write.write(target, text, os.replace if replaces else os.link, 0o644)
    except FileExistsError:
        raise configuration_error("NEW", new, "a path with no file yet, or --force") from None
    except OSError as error:
        raise configuration_error("NEW", new, f"a path that can be written ({error.strerror})") from None
