"""What a world is: servers, zones, network, discovery service, clients and faults, read from a checked TOML
file.

The one place that names the file's keys. It must never guess round a wrong value: a fault names file, key,
what was found and what is wanted. It builds no server and moves no clock.
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
    """A world can't be used; the message names the file and the key."""


class StrictStruct(msgspec.Struct, forbid_unknown_fields=True):
    pass


class Servers(StrictStruct):
    per_zone: PositiveCount = 6
    cores: PositiveCount = 2
    waiting: Annotated[int, Meta(ge=0, le=100_000)] = 16  # room beyond the cores
    connections: PositiveCount = 400  # held at most
    handshake_s: NonNegative = 0.001  # work of a new connection
    probe_s: NonNegative = 0.001
    cold_from: Fraction = 0.4
    cold_s: Positive = 8.0
    spread: Fraction = 0.0  # of their speeds
    on_cancel: Literal["nothing", "waiting"] = "waiting"  # what a cancel takes back
    crowded_from: Positive = 1e6  # requests held from which on work takes longer ...
    crowded_by: NonNegative = 0.0  # ... by this share for each further one


class Network(StrictStruct):
    same_s: NonNegative = 0.0002  # one way, inside a zone
    cross_s: NonNegative = 0.001
    jitter: Fraction = 0.1
    connect_s: Positive = 0.25  # a connection that is not up by then isn't
    loss: Fraction = 0.0  # of connections reset after the last byte of a request


class DiscoveryService(StrictStruct):
    late_s: NonNegative = 1.0  # from a change to when it is told
    calls_per_s: Positive = 200.0
    timeout_s: Positive = 1.0  # a call that would wait longer is turned away
    deemed_s: Positive = 10.0  # told by then, whether it came or not


class Clients(StrictStruct):
    per_s: Positive = 100.0  # requests of all agents together
    unevenness: NonNegative = 0.5  # spread of agents' shares, as a deviation over the mean
    keys: PositiveCount = 500
    popularity: NonNegative = 0.9  # exponent by which keys differ
    retries: Annotated[int, Meta(ge=0, le=10)] = 0
    pause_s: Positive = 0.1


class RequestClass(StrictStruct, rename={"priority": "importance"}):
    name: str
    repeat: Literal["safe", "keyed", "unsafe"] = "safe"
    group: Literal["all", "zone", "cell"] = "all"
    window_s: Positive = 4.0
    goal_s: Positive = 0.6
    limit_s: Positive = 2.0
    share: Positive = 1.0
    priority: Positive = 1.0
    work_s: Positive = 0.05
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
    """`part` of the servers (or agents), those of `zone` alone where it is named, meet it."""

    kind: Literal[FAULT_KINDS]
    begins_s: NonNegative
    lasts_s: Positive = 5.0
    part: Fraction = 0.2
    zone: str = ""
    size: NonNegative = 1.0  # times slower or busier, seconds later, or a share, by kind
    request_class: str = ""


class World(StrictStruct, rename={"request_class": "workload", "most_attempts": "most_shots"}):
    seconds: Annotated[float, Meta(gt=0, le=86400)] = 20.0
    zones: tuple[str, ...] = ("a", "b")
    agents: PositiveCount = 20
    drain_grace_s: Positive = 0.5
    fall_multiple: Positive = 3.0
    fall_s: Positive = 2.0
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
    """What an agent of this world finds in its configuration."""
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
    try:
        return world_from_dict(tomllib.loads(Path(path).read_text()))
    except OSError as error:
        raise InvalidInputError(
            f"{path}: found no readable file ({error.strerror}), wanted a world"
        ) from None
    except (tomllib.TOMLDecodeError, UnicodeError, InvalidInputError) as error:
        raise InvalidInputError(f"{path}: {error}") from None


def world_from_dict(found: dict) -> World:
    try:
        world = msgspec.convert(found, World)
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
    for place, each in enumerate(world.fault):
        at = f"fault[{place}]"
        checks += [
            (
                f"{at}.begins_s",
                each.begins_s,
                f"a time within the {world.seconds:g} s of the world",
                each.begins_s >= world.seconds,
            ),
            (
                f"{at}.zone",
                each.zone,
                f"one of {', '.join(world.zones)}",
                (each.zone or each.kind == "zone_cut") and each.zone not in world.zones,
            ),
            (
                f"{at}.workload",
                each.request_class,
                f"one of {', '.join(names)}",
                (each.request_class or each.kind == "one_workload") and each.request_class not in names,
            ),
            (
                f"{at}.size",
                each.size,
                "1 at most for this kind",
                each.kind in ("errors", "hot_key", "resets", "one_workload") and each.size > 1,
            ),
        ]
    for key, found_there, wanted, is_wrong in checks:
        if is_wrong:
            raise InvalidInputError(f"{key}: found {found_there!r}, wanted {wanted}")
    return world
