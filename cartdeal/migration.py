"""Turns a configuration of the old shape (an agent beside each client, lists asked for, probes) into one of
the new (a pool of agents, lists that come unasked, reports with answers, weights that move).

It reads one file and writes another, whole or not at all. It must never guess in silence: what it can't carry
over and what an operator still has to say is listed by key.
"""

import json
import os
from copy import deepcopy
from pathlib import Path
from typing import NamedTuple

from cartdeal import atomic_write
from cartdeal.agent import configuration
from cartdeal.agent.configuration import ConfigurationError

# What makes the new shape: key of the settings, its value.
SHAPE = {"family": "proxy", "discovery": "pushed", "weightKind": "live"}
GONE = {  # settings that the new shape has no use for, and why
    ("caps", "probes"): "servers may not be probed",
    ("fees", "probe"): "servers may not be probed",
    ("rules", "askEveryUs"): "the list comes unasked",
    ("importanceBasis",): "no longer read: requests carry no hints of their work",
}
PEERS = ("peer_listen", "peers", "peers_all")


class Plan(NamedTuple):
    text: bytes  # of the new file
    lost: list[str]  # what was not carried over, by key, with the reason
    open: list[str]  # what the operator has to fill in or confirm, by key
    fault: str  # what keeps it from passing `check`; empty if nothing does


def fault(key, found, wanted):
    return ConfigurationError(f"{key}: found {found!r}, wanted {wanted}")


def load(path: str) -> dict:
    try:
        found = json.loads(Path(path).read_bytes())
    except OSError as trouble:
        raise fault(path, "no readable file", f"a configuration ({trouble.strerror})") from None
    except (ValueError, RecursionError) as trouble:
        raise fault(path, "no JSON", f"a configuration ({trouble})") from None
    if not isinstance(found, dict):
        raise fault(path, type(found).__name__, "an object")
    return found


def part(old: dict, key: str) -> dict:
    found = old.get(key, {})
    if not isinstance(found, dict):
        raise fault(key, found, "an object")
    return found


def has_new_shape(settings: dict) -> bool:
    return (
        all(settings.get(key) == word for key, word in SHAPE.items())
        and part(settings, "feedback").get("how") == "answers"
        and not part(settings, "caps").get("probes")
    )


def check_number(settings: dict):
    number, agents = settings.get("myNumber", 0), settings.get("groupSize", 1)
    if number >= agents:
        raise fault("settings.myNumber", number, f"under settings.groupSize, {agents}")


def plan(path: str, areas=(), zone=None, agents=None, number=None, columns=(), over=None) -> Plan | None:
    """What becomes of the file at `path`; None if it has the new shape already."""
    old = load(path)
    settings = part(old, "settings")
    if has_new_shape(settings):
        return None
    configuration.decode(
        json.dumps(old).encode(), path, dict.fromkeys(("PROXY_LISTEN", "PROXY_DISCOVERY"), "127.0.0.1:0")
    )
    check_number(settings)
    old_areas = settings.get("areas", [])
    own = old_areas[settings.get("az", 0)] if old_areas else ""
    lost, still = [], []

    new = deepcopy(settings) | SHAPE
    for *above, key in GONE:
        holder = new
        for each in above:
            holder = holder.get(each, {})
        if key in holder:
            lost.append(f"{'.'.join(['settings', *above, key])}: {holder.pop(key)!r}: {GONE[*above, key]}")
    new["caps"] = new.get("caps", {}) | {"probes": False}
    new["feedback"] = {"how": "answers", "columns": list(columns) or ["backlog"]}
    if not columns:
        still.append("settings.feedback.columns: 'backlog' alone; name what servers report (--column)")
    if areas:
        new["areas"] = list(areas)
    elif len(old_areas) != 2:
        still.append(f"settings.areas: {len(old_areas)} carried over; name those of the new build (--area)")
    zone = own if zone is None else zone
    if zone in new.get("areas", []):
        new["az"] = new["areas"].index(zone)
    elif new.get("areas"):
        lost.append(f"settings.az: {own!r}: no zone of the new build")
        new["az"] = 0
        still.append(f"settings.az: {new['areas'][0]!r} for want of another; say which (--zone)")
    for key, given, option in (("groupSize", agents, "--agents"), ("myNumber", number, "--number")):
        if given is not None:
            new[key] = given
        else:
            still.append(
                f"settings.{key}: {new.get(key, 'none')!r} was counted among agents beside their "
                f"clients; say what it is in the pool ({option})"
            )
    new |= over or {}
    if "workloads" not in (over or {}):
        still.append(
            "settings.workloads: carried over; confirm latency targets, limits, repeats (--settings)"
        )
    if "objectiveMix" not in new:
        still.append("settings.objectiveMix: none, so no request class counts apart; say it where one does")

    made = {key: value for key, value in old.items() if key not in (*PEERS, "known", "settings")}
    for key in PEERS:
        if key in old:
            lost.append(f"{key}: agents of the pool have no way to talk to each other")
    known = part(old, "known").get("targets", ())
    if known:
        lost.append(f"known: {len(known)} servers: of the old build, with weights of another kind")
    made["settings"] = new
    still.append(f"listen: {old.get('listen', 'none')!r}: clients come through a front layer; confirm")
    still.append("limits: one agent now serves many clients; confirm sockets and memory_mb")
    text = (json.dumps(made, indent=2, ensure_ascii=False) + "\n").encode()
    try:
        configuration.decode(text, path, os.environ)
        trouble = ""
    except ConfigurationError as found:
        trouble = str(found)
    if not trouble:
        check_number(new)  # numbers, by now: what was laid over may be of any type
    return Plan(text, lost, still, trouble)


def write(text: bytes, old: str, new: str, over: bool):
    """The new file appears whole or not at all, never in the place of the old one."""
    target = Path(new)
    if target.exists() and target.samefile(old):
        raise fault("NEW", new, "another file than OLD")
    try:
        atomic_write.write(target, text, os.replace if over else os.link, 0o644)
    except FileExistsError:
        raise fault("NEW", new, "a path with no file yet, or --force") from None
    except OSError as trouble:
        raise fault("NEW", new, f"a path that can be written ({trouble.strerror})") from None
