"""Reads what the agent is told, at its start and on SIGHUP, checks it and fills in defaults.

The one place that looks at the environment and the configuration file, and the one that knows their names. It
must never guess around a wrong value: a fault names its key, what was found and what is wanted.
"""

import errno
import os
from pathlib import Path

import msgspec
from msgspec import field

from cartdeal.agent.system_errors import is_own_limit
from cartdeal.settings import Settings

Address = tuple[str, int]
RELOADABLE_KEYS = ("discovery", "seed", "initial_servers")  # on SIGHUP; the last two matter at a start only


class ConfigurationError(Exception):
    """A value of the configuration can't be used; the message names its key."""


class UnreadableFileError(ConfigurationError):
    """The file can't be read; `is_passing`: for want of what the machine may have again in a moment."""

    def __init__(self, path: str, error: OSError):
        super().__init__(f"PROXY_CONFIG: found {path!r}, wanted a readable file ({error.strerror})")
        self.is_transient = is_own_limit(error) or error.errno == errno.EIO


class ServerEntry(msgspec.Struct):
    """One line of the server list, as the discovery service writes it."""

    name: str = field(name="uid")
    address: str = field(default="", name="endpoint")
    zone: str = field(default="", name="az")
    cell: int = field(default=0, name="pod_group")
    state: str = "active"
    weight: float = field(default=1.0, name="capacity_hint")
    started_ms: float = field(default=0.0, name="boot_ms")


class ServerList(msgspec.Struct):
    """A server list, whole or the lines that changed."""

    version: int = field(default=0, name="rev")
    is_complete: bool = field(default=False, name="all")
    entries: tuple[ServerEntry, ...] = field(default=(), name="targets")


class Limits(msgspec.Struct):
    memory_mb: float = field(default=192.0, name="memory_mb")
    descriptors: int = field(default=1024, name="sockets")


class ConfigurationFile(msgspec.Struct):
    """The file as it is written; `Station` is what the agent goes by."""

    name: str | None = None
    listen: str | None = None
    discovery: str | None = field(default=None, name="discovery")
    seed: str = "0"
    limits: Limits = field(default_factory=Limits)
    peer_listen: str | None = field(default=None, name="peer_listen")
    peers: tuple[str, ...] = field(default=(), name="peers")
    peers_broadcast: str | None = field(default=None, name="peers_all")
    initial_servers: ServerList = field(default_factory=ServerList, name="known")
    settings: Settings | None = field(default=None, name="settings")


class AgentConfiguration(msgspec.Struct):
    """All that an agent is told of itself."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    limits: Limits
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_broadcast: Address | None
    initial_servers: ServerList
    settings: Settings


def parse_address(key: str, text: str | None) -> Address:
    host, _, port = (text or "").rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigurationError(f"{key}: found {text!r}, wanted an address such as '127.0.0.1:8080'")
    return host, int(port)


def parse_number(key: str, text: str, base: int) -> int:
    try:
        return int(text, base)
    except ValueError:
        raise ConfigurationError(f"{key}: found {text!r}, wanted a number in base {base}") from None


def validate(settings: Settings, limits: Limits):
    # Where a word of the settings decides what the balancer does, another word is a fault and no guess.
    words = [
        ("family", settings.family, ("mesh", "proxy")),
        ("discovery", settings.discovery_mode, ("pushed", "on_request")),
        ("weightKind", settings.weight_kind, ("none", "nominal", "rough", "live")),
        ("feedback.how", settings.load_reports.source, ("none", "probe", "answers")),
    ]
    wrong = [
        (f"settings.{key}", word, f"one of {', '.join(known)}", word not in known)
        for key, word, known in words
    ]
    wrong += [
        (
            "settings.feedback.how",
            "probe",
            "'answers' or 'none' where caps.probes is not true",
            settings.load_reports.source == "probe" and not settings.permissions.may_probe,
        ),
        (
            "settings.objectiveMix.worstClass",
            settings.objective_mix.worst_class_weight,
            "0 to 1",
            not 0 <= settings.objective_mix.worst_class_weight <= 1,
        ),
        (
            "settings.workloads",
            len(settings.request_classes),
            "at least one request class",
            not settings.request_classes,
        ),
        (
            "settings.az",
            settings.own_zone,
            f"a place in areas, under {max(1, len(settings.zones))}",
            not 0 <= settings.own_zone < max(1, len(settings.zones)),
        ),
        ("settings.groupSize", settings.agent_count, "1 or more", settings.agent_count < 1),
        (
            "settings.rules.overloadFactor",
            settings.rules.overload_factor,
            "more than 0",
            settings.rules.overload_factor <= 0,
        ),
        (
            "settings.caps.maxShots",
            settings.permissions.max_attempts,
            "1 or more",
            settings.permissions.max_attempts < 1,
        ),
        ("limits.sockets", limits.descriptors, "64 or more", limits.descriptors < 64),
        ("limits.memory_mb", limits.memory_mb, "24 or more", limits.memory_mb < 24),
    ]
    for place, kind in enumerate(settings.request_classes):
        wrong.append(
            (
                f"settings.workloads[{place}].name",
                kind.name,
                "a name of its own",
                not kind.name or any(other.name == kind.name for other in settings.request_classes[:place]),
            )
        )
        for key, micros in (("goalTimeUs", kind.latency_target_us), ("timeLimitUs", kind.timeout_us)):
            wrong.append(
                (
                    f"settings.workloads[{place}].{key}",
                    micros,
                    "more than 0",
                    micros is not None and micros <= 0,
                )
            )
    for key, found, wanted, is_wrong in wrong:
        if is_wrong:
            raise ConfigurationError(f"{key}: found {found!r}, wanted {wanted}")


def restart_keys(old: AgentConfiguration, new: AgentConfiguration) -> list[str]:
    """The keys that differ and that a running agent can't take over."""
    return [
        key.encode_name
        for key in msgspec.structs.fields(ConfigurationFile)
        if key.name not in RELOADABLE_KEYS and getattr(old, key.name) != getattr(new, key.name)
    ]


def read(environment=os.environ) -> AgentConfiguration:
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigurationError("PROXY_CONFIG: found nothing, wanted the path of a configuration file")
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise UnreadableFileError(path, error) from None
    return decode(text, path, environment)


def decode(text: bytes, path: str, environment) -> AgentConfiguration:
    try:
        found = msgspec.json.decode(text, type=ConfigurationFile)
    except (msgspec.MsgspecError, UnicodeError) as error:
        raise ConfigurationError(f"PROXY_CONFIG: {path!r} can't be used: {error}") from None
    if found.settings is None:
        raise ConfigurationError("settings: found nothing, wanted the settings of the deployment")
    validate(found.settings, found.limits)
    for line in found.initial_servers.entries:
        parse_address("known.targets[].endpoint", line.address)
    return AgentConfiguration(
        name=found.name or environment.get("PROXY_NAME", "agent"),
        listen=parse_address("listen", found.listen or environment.get("PROXY_LISTEN")),
        discovery=parse_address("discovery", found.discovery or environment.get("PROXY_DISCOVERY")),
        seed=parse_number("seed", found.seed, 16),
        limits=found.limits,
        peer_listen=parse_address("peer_listen", found.peer_listen) if found.peer_listen else None,
        peers=tuple(parse_address("peers", each) for each in found.peers),
        peers_broadcast=parse_address("peers_all", found.peers_broadcast) if found.peers_broadcast else None,
        initial_servers=found.initial_servers,
        settings=found.settings,
    )
