"""Reads and validates the agent's configuration, at startup and on SIGHUP, and fills in defaults.

No other module reads the environment or the configuration file, or knows their key names. An invalid value is
never replaced by a guess: the error names the key, the value found and the value expected.
"""

import errno
import os
from pathlib import Path

import msgspec
from msgspec import field

from cartdeal.agent.system_errors import is_own_limit
from cartdeal.settings import Settings

Address = tuple[str, int]
# Attributes whose change needs no restart. `seed` and `initial_servers` are used at startup only.
RELOADABLE_KEYS = ("discovery", "seed", "initial_servers")


class ConfigurationError(Exception):
    """The configuration has an invalid value; the message names its key."""


class UnreadableFileError(ConfigurationError):
    """The configuration file can't be read.

    `is_transient`: the machine lacked a resource that may be available again in a moment.
    """

    def __init__(self, path: str, error: OSError):
        super().__init__(f"PROXY_CONFIG: found {path!r}, wanted a readable file ({error.strerror})")
        self.is_transient = is_own_limit(error) or error.errno == errno.EIO


class ServerEntry(msgspec.Struct):
    """One entry of the server list, in the form that the discovery service sends."""

    name: str = field(name="uid")
    address: str = field(default="", name="endpoint")
    zone: str = field(default="", name="az")
    cell: int = field(default=0, name="pod_group")
    state: str = "active"
    weight: float = field(default=1.0, name="capacity_hint")
    started_ms: float = field(default=0.0, name="boot_ms")


class ServerList(msgspec.Struct):
    """A server list: all entries if `is_complete`, otherwise the entries that changed."""

    version: int = field(default=0, name="rev")
    is_complete: bool = field(default=False, name="all")
    entries: tuple[ServerEntry, ...] = field(default=(), name="targets")


class Limits(msgspec.Struct):
    """The resources that the agent may use."""

    memory_mb: float = field(default=192.0, name="memory_mb")
    descriptors: int = field(default=1024, name="sockets")


class ConfigurationFile(msgspec.Struct):
    """The configuration file as written; `AgentConfiguration` is its validated form."""

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
    """The validated configuration of an agent."""

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
    """Parse `host:port`. Raises ConfigurationError, which names `key`."""
    host, _, port = (text or "").rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigurationError(f"{key}: found {text!r}, wanted an address such as '127.0.0.1:8080'")
    return host, int(port)


def parse_number(key: str, text: str, base: int) -> int:
    """Parse an integer in `base`. Raises ConfigurationError, which names `key`."""
    try:
        return int(text, base)
    except ValueError:
        raise ConfigurationError(f"{key}: found {text!r}, wanted a number in base {base}") from None


def validate(settings: Settings, limits: Limits):
    """Raise ConfigurationError for the first invalid value."""
    # These values select what the balancer does: an unknown one is an error, not a default.
    enumerated_settings = [
        ("family", settings.family, ("mesh", "proxy")),
        ("discovery", settings.discovery_mode, ("pushed", "on_request")),
        ("weightKind", settings.weight_kind, ("none", "nominal", "rough", "live")),
        ("feedback.how", settings.load_reports.source, ("none", "probe", "answers")),
    ]
    checks = [
        (f"settings.{key}", value, f"one of {', '.join(allowed)}", value not in allowed)
        for key, value, allowed in enumerated_settings
    ]
    checks += [
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
            f"an index into areas, less than {max(1, len(settings.zones))}",
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
    for index, request_class in enumerate(settings.request_classes):
        checks.append(
            (
                f"settings.workloads[{index}].name",
                request_class.name,
                "a unique name",
                not request_class.name
                or any(other.name == request_class.name for other in settings.request_classes[:index]),
            )
        )
        for key, duration_us in (
            ("goalTimeUs", request_class.latency_target_us),
            ("timeLimitUs", request_class.timeout_us),
        ):
            checks.append(
                (
                    f"settings.workloads[{index}].{key}",
                    duration_us,
                    "more than 0",
                    duration_us is not None and duration_us <= 0,
                )
            )
    for key, found, wanted, is_invalid in checks:
        if is_invalid:
            raise ConfigurationError(f"{key}: found {found!r}, wanted {wanted}")


def restart_keys(old: AgentConfiguration, new: AgentConfiguration) -> list[str]:
    """The outer names of the changed keys that take effect only after a restart."""
    return [
        key.encode_name
        for key in msgspec.structs.fields(ConfigurationFile)
        if key.name not in RELOADABLE_KEYS and getattr(old, key.name) != getattr(new, key.name)
    ]


def read(environment=os.environ) -> AgentConfiguration:
    """Read the file that PROXY_CONFIG names. Raises ConfigurationError."""
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigurationError("PROXY_CONFIG: found nothing, wanted the path of a configuration file")
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise UnreadableFileError(path, error) from None
    return decode(text, path, environment)


def decode(text: bytes, path: str, environment) -> AgentConfiguration:
    """Decode and validate the file's text; `path` is for error messages. Raises ConfigurationError."""
    try:
        found = msgspec.json.decode(text, type=ConfigurationFile)
    except (msgspec.MsgspecError, UnicodeError) as error:
        raise ConfigurationError(f"PROXY_CONFIG: {path!r} can't be used: {error}") from None
    if found.settings is None:
        raise ConfigurationError("settings: found nothing, wanted the settings of the deployment")
    validate(found.settings, found.limits)
    for entry in found.initial_servers.entries:
        parse_address("known.targets[].endpoint", entry.address)
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
