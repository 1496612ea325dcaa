"""Scenarios of the fleet: each gives one row of figures for its settings and a seed.

All scenarios but "added" run in memory and give the same row for the same seed in every process; "added" runs
real agents on loopback, so its figures also depend on the machine. A scenario must never hide a broken rule:
the rows contain the number of violations that the checker found.
"""

from collections import Counter
from typing import Annotated, Literal, get_args, get_origin

import msgspec
from msgspec import Meta

from cartdeal.emulator.world import InvalidInputError, StrictStruct
from cartdeal.simulated_time import seeded_random

Seconds = Annotated[float, Meta(gt=0, le=3600)]
Rate = Annotated[float, Meta(gt=0, le=10_000)]
MAX_AGENT_COUNT = 1024  # the default of FleetSettings.most_agents
ZONE_COUNT = 3
MAX_SEED_AGENT_COUNT = 5  # agents that may found the fleet


class RingSettings(StrictStruct, rename={"placement": "way"}):
    """The settings of the scenario "ring"."""

    agents: Annotated[int, Meta(ge=4, le=10_000)] = 10
    placement: Literal["cartdeal", "circle", "undamped"] = "cartdeal"


class CopiesSettings(StrictStruct, rename={"timeout_s": "most_s"}):
    """The settings of the scenario "copies"."""

    agents: Annotated[int, Meta(ge=3, le=MAX_AGENT_COUNT)] = 5
    rate: Rate = 1.0  # requests per second and agent, each non-idempotent and of a tenant with a limit
    rest_s: Seconds = 10.0
    traffic_s: Seconds = 10.0
    cut_s: Seconds = 20.0
    timeout_s: Seconds = 90.0  # each for one ring, for completed requests with records, and for equal copies


class DaysSettings(
    StrictStruct, rename={"requests": "lookups", "recovery_timeout_s": "quiet", "clock_drift": "apart"}
):
    """The settings of the scenario "days"; see `run_fault_schedule`."""

    agents: Annotated[int, Meta(ge=3, le=MAX_AGENT_COUNT)] = 6
    seconds: Seconds = 60.0
    recovery_timeout_s: Seconds = 90.0
    pause_s: Seconds = 4.0
    requests: Rate = 20.0
    upgrade: bool = False
    clock_drift: Annotated[float, Meta(ge=0, le=0.01)] = 0.001


class UpgradeSettings(
    StrictStruct,
    rename={
        "restart_interval_s": "every_s",
        "requests": "lookups",
        "rate_limit": "limit",
        "timeout_s": "most_s",
    },
):
    """The settings of the scenario "upgrade"."""

    agents: Annotated[int, Meta(ge=3, le=MAX_AGENT_COUNT)] = 20
    restart_interval_s: Seconds = 4.0  # at least; a restart waits until the last agent has caught up
    cut: Literal["none", "halves", "zone"] = "none"
    cut_s: Seconds = 20.0
    requests: Rate = 40.0  # requests per second to the whole fleet, without a limit
    rate_limit: Rate = 20.0  # per second, of a tenant that sends twice as many requests
    timeout_s: Seconds = 90.0


class AddedSettings(StrictStruct, rename={"requests": "lookups"}):
    """The settings of the scenario "added"."""

    kind: Literal["read", "limited", "submit", "close"] = "read"
    requests: Annotated[int, Meta(ge=10, le=1_000_000)] = 2000  # with the fleet, and as many without it


def scenario_settings(scenario: str, content: dict, path: str):
    """The settings of a scenario, with the defaults of those that the content does not name.

    Args:
        scenario: One of SCENARIOS.
        content: The settings, by the keys of the experiment file.
        path: The key of the content in the experiment file, for error messages.

    Raises:
        InvalidInputError: a key or a value is not one of the scenario.
    """
    fields = {field.encode_name: field for field in msgspec.structs.fields(SCENARIOS[scenario][0])}
    types = {key: field.type for key, field in fields.items()}
    values = {}
    for key, value in content.items():
        if key not in types:
            raise InvalidInputError(f"{path}.{key}: found {value!r}, wanted one of {', '.join(types)}")
        try:
            values[fields[key].name] = msgspec.convert(value, types[key])
        except msgspec.ValidationError as error:
            wanted = str(error).removeprefix("Expected ")
            if get_origin(types[key]) is Literal:
                wanted = f"one of {', '.join(get_args(types[key]))}"
            raise InvalidInputError(f"{path}.{key}: found {value!r}, wanted {wanted}") from None
    return SCENARIOS[scenario][0](**values)


def run_scenario(name: str, settings, scenario: str, seed: int) -> dict:
    """Runs a variant's scenario on a seed; returns its row of the table."""
    return {"variant": name, "seed": seed} | SCENARIOS[scenario][1](settings, seed)


# Ring


def measure_ring(settings: RingSettings, seed: int) -> dict:
    """Measures a way of placement: the share of moved keys for each event, and how even the load is after it.

    Moved keys are divided by the least that must move, loads by what the capacity calls for (rings.measure).
    """
    from cartdeal.lab.rings import RING_EVENTS, measure

    rows_by_event = {
        event: measure(settings.placement, seed, settings.agents, event) for event in RING_EVENTS
    }
    row = {"agents": settings.agents}
    row |= {
        f"{event}: moved over least": float(each["moved_over_least"]) for event, each in rows_by_event.items()
    }
    for event in ("join", "leave", "capacity", "flapping"):
        row[f"{event}: fullest over fair"] = float(rows_by_event[event]["fullest_over_fair"])
    row["fullest of 50,000 keys"] = float(rows_by_event["join"]["fullest_of_keys"])
    row["fullest by exact dice"] = float(rows_by_event["join"]["fullest_by_chance"])
    row["join: copies moved over least"] = rows_by_event["join"]["copies_over_least"]
    return row


# Copies


def start_fleet(seed, agents: int, limits: dict, **settings):
    """A fleet in memory that its first agents found; all agents start within a second.

    `settings` are fields of FleetSettings that differ from the defaults.
    """
    from cartdeal.fleet.settings import FleetSettings
    from cartdeal.fleet.simulation.in_memory_fleet import InMemoryFleet

    seeds = {f"a{n}": f"10.0.0.1:{n + 1}" for n in range(min(agents, MAX_SEED_AGENT_COUNT))}
    fleet, random = (
        InMemoryFleet(FleetSettings(fleet="lab", name="", key=b"k" * 32, seeds=seeds, limits=limits), seed),
        seeded_random(seed, "starts"),
    )
    for number in range(agents):
        host = fleet.add(f"a{number}", zone=f"z{number % ZONE_COUNT}", start=False, **settings)
        fleet.clock.at(random.random(), host.start)
    return fleet


def has_complete_ring(fleet) -> bool:
    """Whether all running agents have the same ring, and it contains exactly them."""
    nodes = fleet.nodes()
    digests = {node.ring and node.ring.digest for node in nodes.values()}
    return (
        len(digests) == 1 and None not in digests and set(next(iter(nodes.values())).ring.names) == set(nodes)
    )


def all_complete_requests(fleet, names) -> bool:
    """Whether each of these agents completes a non-idempotent request, for which it needs attempt records.

    An agent that founds a fleet does not know earlier records until `longest_mark_s` have passed.
    """
    from cartdeal.fleet.idempotency import AdmissionRequest

    intents = [
        fleet.submit(
            AdmissionRequest(
                tenant="",
                session=f"probe {fleet.clients.submitted}",
                key="k",
                repeat="u",
                limit_s=2.0,
                workload="w",
            ),
            [name],
        )
        for name in names
    ]
    fleet.run(0.5)
    return all("completed" in fleet.outcomes[each] for each in intents)


def count_unequal_records(fleet) -> tuple[int, int]:
    """The number of records whose owners don't all have the same copy, and the number of all records."""
    from cartdeal.fleet.replication import records

    digests: dict[str, list] = {}
    owner_counts = {}
    for name, node in fleet.nodes().items():
        replica = node.replica
        for key in replica.store.records:
            owners = replica.view.owners(key)
            record = replica.store.without_expired(replica.store.get(key))
            if name in owners and not records.is_empty(record):
                digests.setdefault(key, []).append(records.digest(record))
                owner_counts[key] = len(owners)
    unequal_count = sum(len(each) != owner_counts[key] or len(set(each)) > 1 for key, each in digests.items())
    return unequal_count, len(digests)


def measure_traffic(fleet, seconds: float) -> dict:
    """Runs the fleet and counts its messages and bytes per agent and second, in total and by component."""
    messages_before, bytes_before = (
        Counter(fleet.network.messages_by_tag),
        Counter(fleet.network.bytes_by_tag),
    )
    fleet.run(seconds)
    per_agent_second = 1 / (seconds * len(fleet.hosts))
    message_counts, byte_counts = Counter(fleet.network.messages_by_tag), Counter(fleet.network.bytes_by_tag)
    message_counts.subtract(messages_before)
    byte_counts.subtract(bytes_before)
    row = {
        "messages": round(message_counts.total() * per_agent_second, 1),
        "bytes": round(byte_counts.total() * per_agent_second),
    }
    for letter, component in COMPONENTS_BY_TAG_LETTER.items():
        tags = [tag for tag in byte_counts if tag[0] == letter]
        row[f"messages of {component}"] = round(
            sum(message_counts[tag] for tag in tags) * per_agent_second, 1
        )
        row[f"bytes of {component}"] = round(sum(byte_counts[tag] for tag in tags) * per_agent_second)
    return row


# The first letter of a message's tag names the component of the fleet that sends it.
COMPONENTS_BY_TAG_LETTER = {"m": "members", "e": "rings", "r": "copies", "l": "lending"}


def measure_copies(settings: CopiesSettings, seed: int) -> dict:
    """Runs a fleet at rest, with traffic, and through a network partition.

    Messages and bytes are per agent and second. Times count from the start of the fleet; `equal s` counts
    from the end of the partition.
    """
    from cartdeal.fleet.idempotency import AdmissionRequest
    from cartdeal.fleet.settings import RateLimit

    agents, request_rate = settings.agents, settings.rate * settings.agents
    fleet = start_fleet(seed, agents, {"shop": RateLimit(2 * request_rate, request_rate)})
    random, names = seeded_random(seed, "people"), list(fleet.hosts)
    intents, is_sending = [], [True]

    def send_request():
        if is_sending[0]:
            session = f"{random.randrange(10 * agents)}"
            request = AdmissionRequest(
                tenant="shop",
                session=session,
                key=f"k{fleet.clients.submitted}",
                repeat="u",
                limit_s=2.0,
                workload="w",
            )
            intents.append(fleet.submit(request, [random.choice(names)]))
            fleet.clock.after(random.expovariate(request_rate), send_request)

    def completed_share(since) -> float:
        return round(
            sum("completed" in fleet.outcomes[each] for each in intents[since:])
            / max(1, len(intents) - since),
            3,
        )

    one_ring_s = fleet.run_until(lambda: has_complete_ring(fleet), settings.timeout_s, 0.25)
    marks_answered_s = one_ring_s + fleet.run_until(
        lambda: all_complete_requests(fleet, names[:MAX_SEED_AGENT_COUNT]), settings.timeout_s, 0.5
    )
    fleet.run(5.0)
    rest_traffic = measure_traffic(fleet, settings.rest_s)
    send_request()
    fleet.run(5.0)
    since = len(intents)
    request_traffic = measure_traffic(fleet, settings.traffic_s)
    traffic_served, since = completed_share(since), len(intents)
    fleet.cut(names[::2], names[1::2])
    fleet.run(settings.cut_s)
    cut_served, is_sending[0] = completed_share(since), False
    fleet.heal()
    unequal_count, records = count_unequal_records(fleet)
    healed_at = fleet.clock.now
    equal_s = fleet.run_until(
        lambda: count_unequal_records(fleet)[0] == 0 and has_complete_ring(fleet), settings.timeout_s, 0.25
    )
    violations = fleet.checker.close()
    return {
        "agents": agents,
        "one ring s": round(one_ring_s, 2),
        "marks answered s": round(marks_answered_s, 2),
        **{f"rest: {key}": value for key, value in rest_traffic.items()},
        **{f"traffic: {key}": value for key, value in request_traffic.items()},
        "traffic: completed": traffic_served,
        "cut: completed": cut_served,
        "unequal records when it ends": unequal_count,
        "records": records,
        "equal s": round(equal_s, 2),
        "simulated s": round(healed_at + equal_s, 1),
        "violations": len(violations),
    }


# Days


def run_days(settings: DaysSettings, seed: int) -> dict:
    """Runs a schedule of random faults; the row contains the figures of FaultScheduleResult."""
    from cartdeal.fleet.simulation.fault_schedule import run_fault_schedule

    result = run_fault_schedule(
        seed,
        settings.agents,
        settings.seconds,
        recovery_timeout=settings.recovery_timeout_s,
        mean_pause_s=settings.pause_s,
        request_rate=settings.requests,
        has_upgrade=settings.upgrade,
        clock_rate_spread=settings.clock_drift,
    )
    row = msgspec.structs.asdict(result)
    return {key: value for key, value in row.items() if key not in ("seed", "found", "events")}


# Rolling upgrade


def run_upgrade(settings: UpgradeSettings, seed: int) -> dict:
    """Restarts the agents one after the other with a program that reads versions (1, 2) instead of (1, 1).

    `served` is the share of completed requests among those without a limit; two thirds of these have an
    attempt record, and clients try three agents. `budget` is the share of its rate that the limited tenant
    got. Times count from the first restart.
    """
    from cartdeal.fleet.idempotency import AdmissionRequest
    from cartdeal.fleet.settings import RateLimit

    fleet = start_fleet(
        seed, settings.agents, {"shop": RateLimit(settings.rate_limit, settings.rate_limit)}, reads=(1, 1)
    )
    random, names, checker = seeded_random(seed, "people"), list(fleet.hosts), fleet.checker
    submissions, lost_ids = [], {}

    def send_unlimited():
        repeat = random.choice(("i", "d", "u"))
        request = AdmissionRequest(
            tenant="",
            session=f"{random.randrange(200)}",
            key=f"k{fleet.clients.submitted}",
            repeat=repeat,
            window_s=4.0 * (repeat == "d"),
            limit_s=2.0,
            workload="w",
        )
        submissions.append((fleet.clock.now, fleet.submit(request, random.sample(names, 3), tries=3)))
        fleet.clock.after(random.expovariate(settings.requests), send_unlimited)

    def send_limited():
        fleet.submit(AdmissionRequest(tenant="shop", workload="w"), random.sample(names, 2))
        fleet.clock.after(random.expovariate(2 * settings.rate_limit), send_limited)

    def find_lost_records():
        wall_ms, ids_by_agent = (
            max(node.wall for node in fleet.nodes().values()) * 1e3,
            fleet.attempt_ids_by_agent(),
        )
        for (record, attempt_id), each in checker.attempt_records.items():
            if each.expires_ms > wall_ms and not any(
                attempt_id in copies.get(record, ()) for copies in ids_by_agent.values()
            ):
                lost_ids[attempt_id] = True
        fleet.clock.after(5.0, find_lost_records)

    def served_share(since, until) -> float:
        intents = [intent for at, intent in submissions if since <= at < until]
        return round(sum("completed" in fleet.outcomes[each] for each in intents) / max(1, len(intents)), 4)

    def budget_share(since, until) -> float:
        admitted_count = sum(since <= at < until for at in checker.admission_times["shop"])
        return round(admitted_count / (settings.rate_limit * (until - since)), 3)

    def all_write_new_version() -> bool:
        return has_complete_ring(fleet) and all(
            (node.ring.written_version, node.ring.phase) == (2, "steady")
            and node.replica.migrated_version == 2
            for node in fleet.nodes().values()
        )

    fleet.run_until(
        lambda: has_complete_ring(fleet) and all_complete_requests(fleet, names), settings.timeout_s, 0.5
    )
    fleet.run(5.0)
    send_unlimited(), send_limited(), find_lost_records()
    fleet.run(5.0)
    measured_from = fleet.clock.now
    fleet.run(20.0)
    first_restart_at, longest_restart_s = fleet.clock.now, 0
    for turn, name in enumerate(names):
        if turn == len(names) // 2 and settings.cut != "none":
            sides = (
                [names[::2], names[1::2]]
                if settings.cut == "halves"
                else [
                    [each for each in names if (int(each[1:]) % ZONE_COUNT == 0) is is_in_zone]
                    for is_in_zone in (True, False)
                ]
            )
            fleet.cut(*sides)
            fleet.clock.after(settings.cut_s, fleet.heal)
        restarted_at, host = fleet.clock.now, fleet.hosts[name]
        fleet.leave(name)
        fleet.run(1.6)
        fleet.start(name, reads=(1, 2))
        fleet.run_until(lambda host=host: host.node.is_caught_up, settings.timeout_s)
        longest_restart_s = max(longest_restart_s, fleet.clock.now - restarted_at)
        fleet.run(max(0.0, restarted_at + settings.restart_interval_s - fleet.clock.now))
    all_restarted_at = fleet.clock.now
    migration_s = fleet.run_until(all_write_new_version, settings.timeout_s)
    migrated_at = fleet.clock.now
    fleet.run(20.0)
    violations = checker.close()
    return {
        "agents": settings.agents,
        "served before": served_share(measured_from, first_restart_at),
        "served": served_share(first_restart_at, all_restarted_at),
        "served after": served_share(migrated_at, migrated_at + 18.0),
        "budget before": budget_share(measured_from, first_restart_at),
        "budget": budget_share(first_restart_at, migrated_at),
        "budget after": budget_share(migrated_at, migrated_at + 20.0),
        "over limit": round(max(0.0, checker.excess("shop")), 3),
        "marks": len(checker.attempt_records),
        "marks lost": len(lost_ids),
        "longest restart s": round(longest_restart_s, 1),
        "last restarted s": round(all_restarted_at - first_restart_at, 1),
        "written everywhere s": round(all_restarted_at - first_restart_at + migration_s, 1),
        "violations": len(violations),
    }


# Added latency


def measure_added_latency(settings: AddedSettings, seed: int) -> dict:
    """Measures three real agents with the fleet and three without; one client sends to them in turn."""
    from cartdeal.lab.added import FleetComparison

    with FleetComparison(seed) as comparison:
        return comparison.measure(settings.kind, settings.requests)


SCENARIOS = {  # by name: the type of the settings, and the function that runs the scenario
    "ring": (RingSettings, measure_ring),
    "copies": (CopiesSettings, measure_copies),
    "days": (DaysSettings, run_days),
    "upgrade": (UpgradeSettings, run_upgrade),
    "added": (AddedSettings, measure_added_latency),
}
