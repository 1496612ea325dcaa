"""Descriptions of worlds: servers, zones, network, discovery service, clients and faults, from TOML files.

Only this module names the file's keys. It never replaces an invalid value by a guess: the error names the
file, the key, the value that was found, and what is wanted. It builds no server and moves no clock.
"""

import tomllib
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Fraction = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0, le=1e6)]
NonNegative = Annotated[float, Meta(ge=0, le=1e6)]
PositiveCount = Annotated[int, Meta(ge=1, le=100_000)]


class InvalidInputError(Exception):
    """A file or option has an invalid value; the message names the file and the key."""


class StrictStruct(msgspec.Struct, forbid_unknown_fields=True):
    """A struct whose file may have no other keys than its fields."""


class Servers(StrictStruct):
    """The servers of all zones. Keys that end in `_s` are seconds."""

    per_zone: PositiveCount = 6
    cores: PositiveCount = 2
    waiting: Annotated[int, Meta(ge=0, le=100_000)] = 16  # jobs that wait while all cores are busy, at most
    connections: PositiveCount = 400  # open connections of a server, at most
    handshake_s: NonNegative = 0.001  # seconds of work for a new connection
    probe_s: NonNegative = 0.001  # seconds of work for a probe
    cold_from: Fraction = 0.4  # share of the capacity at the beginning of slow start
    cold_s: Positive = 8.0  # seconds that slow start lasts
    spread: Fraction = 0.0  # largest difference of a server's speed from 1
    on_cancel: Literal["nothing", "waiting"] = "waiting"  # the jobs that a cancelled attempt removes
    crowded_from: Positive = 1e6  # number of jobs above which work takes longer
    crowded_by: NonNegative = 0.0  # share by which each job above `crowded_from` lengthens work


class Network(StrictStruct):
    """The network between agents, servers and the discovery service; times in seconds."""

    same_s: NonNegative = 0.0002  # one-way delay inside a zone
    cross_s: NonNegative = 0.001  # one-way delay between zones
    jitter: Fraction = 0.1  # share by which a delay grows at most, at random
    connect_s: Positive = 0.25  # timeout of a new connection
    loss: Fraction = 0.0  # share of connections that are reset after the last byte of a request


class DiscoveryService(StrictStruct):
    """The discovery service: its delays in seconds, and its capacity."""

    late_s: NonNegative = 1.0  # from a change to its publication
    calls_per_s: Positive = 200.0  # calls that it answers in a second
    timeout_s: Positive = 1.0  # a call that would wait longer fails
    deemed_s: Positive = 10.0  # after a publication, from when each agent counts as informed


class Clients(StrictStruct):
    """The clients beside the agents, and how their requests arrive."""

    per_s: Positive = 100.0  # requests per second at all agents together
    unevenness: NonNegative = 0.5  # deviation of agents' shares of the requests, over their mean
    keys: PositiveCount = 500  # number of different request keys
    popularity: NonNegative = 0.9  # exponent by which the keys' frequencies fall (Zipf)
    retries: Annotated[int, Meta(ge=0, le=10)] = 0  # of a rejected request, at most
    pause_s: Positive = 0.1  # seconds before a retry, at least


class RequestClass(StrictStruct, rename={"priority": "importance"}):
    """One class of requests; keys that end in `_s` are seconds."""

    name: str
    repeat: Literal["safe", "keyed", "unsafe"] = "safe"
    group: Literal["all", "zone", "cell"] = "all"
    window_s: Positive = 4.0  # in which servers deduplicate
    goal_s: Positive = 0.6  # an answer within it counts as served
    limit_s: Positive = 2.0  # timeout
    share: Positive = 1.0  # of the requests, relative to the other classes
    priority: Positive = 1.0
    work_s: Positive = 0.05  # work of a request, on average
    spread: Literal["fixed", "exponential"] = "exponential"


FAULT_KINDS = (
    "crash",
    "slow",
    "silent",
    "errors",
    "zone_cut",
    "list_down",
    "list_late",
    "kill",
    "replace",
    "jump",
    "hot_key",
    "resets",
    "one_workload",
)


class Fault(StrictStruct, rename={"request_class": "workload"}):
    """A fault that affects a share (`part`) of the servers or agents, of `zone` only if one is named."""

    kind: Literal[FAULT_KINDS]
    begins_s: NonNegative
    lasts_s: Positive = 5.0
    part: Fraction = 0.2
    zone: str = ""
    size: NonNegative = 1.0  # by kind: a factor of time or load, seconds of delay, or a share
    request_class: str = ""  # whose requests fail, for the kind one_workload


class World(StrictStruct, rename={"request_class": "workload", "most_attempts": "most_shots"}):
    """A whole world, as its file describes it; keys that end in `_s` are seconds."""

    seconds: Annotated[float, Meta(gt=0, le=86400)] = 20.0
    zones: tuple[str, ...] = ("a", "b")
    agents: PositiveCount = 20
    drain_grace_s: Positive = 0.5  # in which an informed agent may still send to a draining server
    fall_multiple: Positive = 3.0  # work that a server in slow start may get, as a multiple of its capacity
    fall_s: Positive = 2.0  # any window in which `fall_multiple` holds
    crossing_fee: NonNegative = 0.1
    probing_fee: NonNegative = 0.0
    probes: bool = True
    cancels: bool = True
    most_attempts: PositiveCount = 5
    servers: Servers = msgspec.field(default_factory=Servers)
    network: Network = msgspec.field(default_factory=Network)
    list: DiscoveryService = msgspec.field(default_factory=DiscoveryService)
    clients: Clients = msgspec.field(default_factory=Clients)
    request_class: tuple[RequestClass, ...] = (RequestClass("read"),)
    fault: tuple[Fault, ...] = ()


def agent_settings(world: World, number: int, zone: int) -> dict:
    """The settings in the configuration file of an agent of this world."""
    return {
        "areas": world.zones,
        "az": zone,
        "myNumber": number,
        "groupSize": world.agents,
        "discovery": "on_request",
        "caps": {
            "maxShots": world.most_attempts,
            "cancel": world.cancels,
            "probes": world.probes,
            "retryAfter": True,
            "maxRetryAfterUs": 2e6,
            "connectTimeoutUs": world.network.connect_s * 1e6,
        },
        "fees": {"crossZone": world.crossing_fee, "probe": world.probing_fee},
        "rules": {
            "askEveryUs": world.list.deemed_s * 1e6,
            "coldFrom": world.servers.cold_from,
            "coldUs": world.servers.cold_s * 1e6,
            "fallUs": world.fall_s * 1e6,
            "overloadFactor": world.fall_multiple,
        },
        "workloads": [
            {
                "name": each.name,
                "idempotency": each.repeat,
                "group": each.group,
                "repeatWindowUs": each.window_s * 1e6,
                "goalTimeUs": each.goal_s * 1e6,
                "timeLimitUs": each.limit_s * 1e6,
                "importance": each.priority,
            }
            for each in world.request_class
        ],
    }


def read_world(path) -> World:
    """Reads a world from its TOML file.

    Raises:
        InvalidInputError: The file can't be read, or has an invalid value.
    """
    try:
        return world_from_dict(tomllib.loads(Path(path).read_text()))
    except OSError as error:
        raise InvalidInputError(
            f"{path}: found no readable file ({error.strerror}), wanted a world"
        ) from None
    except (tomllib.TOMLDecodeError, UnicodeError, InvalidInputError) as error:
        raise InvalidInputError(f"{path}: {error}") from None


def world_from_dict(document: dict) -> World:
    """Builds a world from a file's keys and values, and checks it.

    Raises:
        InvalidInputError: A key is unknown, or its value is invalid.
    """
    try:
        world = msgspec.convert(document, World)
    except msgspec.ValidationError as error:
        raise InvalidInputError(str(error)) from None
    names = [each.name for each in world.request_class]
    checks = [
        (
            "workload",
            names,
            "at least one, each with a name of its own",
            len(set(names)) != len(names) or not names,
        ),
        (
            "zones",
            world.zones,
            "at least one, each with a name of its own",
            len(set(world.zones)) != len(world.zones) or not world.zones,
        ),
    ]
    for index, each in enumerate(world.fault):
        prefix = f"fault[{index}]"
        checks += [
            (
                f"{prefix}.begins_s",
                each.begins_s,
                f"a time within the {world.seconds:g} s of the world",
                each.begins_s >= world.seconds,
            ),
            (
                f"{prefix}.zone",
                each.zone,
                f"one of {', '.join(world.zones)}",
                (each.zone or each.kind == "zone_cut") and each.zone not in world.zones,
            ),
            (
                f"{prefix}.workload",
                each.request_class,
                f"one of {', '.join(names)}",
                (each.request_class or each.kind == "one_workload") and each.request_class not in names,
            ),
            (
                f"{prefix}.size",
                each.size,
                "1 at most for this kind",
                each.kind in ("errors", "hot_key", "resets", "one_workload") and each.size > 1,
            ),
        ]
    for key, found_value, wanted, is_invalid in checks:
        if is_invalid:
            raise InvalidInputError(f"{key}: found {found_value!r}, wanted {wanted}")
    return world
