"""Plays of the fleet: each gives one row of figures from its terms and a seed.

All but "added" are played in memory and give the same row for the same seed in every process; "added" is
played with real agents on loopback and measures the machine, too. A play must never hide what it broke: rows
say how many violations the judge found.
"""

from collections import Counter
from typing import Annotated, Literal, get_args, get_origin

import msgspec
from msgspec import Meta

from cartdeal.emulator.world import InvalidInputError, StrictStruct
from cartdeal.simulated_time import seeded_random

Seconds = Annotated[float, Meta(gt=0, le=3600)]
Rate = Annotated[float, Meta(gt=0, le=10_000)]
MOST_AGENTS = 1024  # as a fleet takes in by itself (Pact.most_agents)
ZONES = 3
FOUNDERS = 5


class Ring(StrictStruct):
    agents: Annotated[int, Meta(ge=4, le=10_000)] = 10
    way: Literal["cartdeal", "circle", "undamped"] = "cartdeal"


class Copies(StrictStruct):
    agents: Annotated[int, Meta(ge=3, le=MOST_AGENTS)] = 5
    rate: Rate = 1.0  # requests an agent and second, each with a mark and of a tenant with a limit
    rest_s: Seconds = 10.0
    traffic_s: Seconds = 10.0
    cut_s: Seconds = 20.0
    most_s: Seconds = 90.0  # waited for one ring, for answers with marks, and for equal copies


class Days(StrictStruct, rename={"requests": "lookups"}):
    agents: Annotated[int, Meta(ge=3, le=MOST_AGENTS)] = 6
    seconds: Seconds = 60.0
    quiet: Seconds = 90.0
    pause_s: Seconds = 4.0
    requests: Rate = 20.0
    upgrade: bool = False
    apart: Annotated[float, Meta(ge=0, le=0.01)] = 0.001


class Upgrade(StrictStruct, rename={"requests": "lookups"}):
    agents: Annotated[int, Meta(ge=3, le=MOST_AGENTS)] = 20
    every_s: Seconds = 4.0  # between two restarts at least; each waits until the last has caught up
    cut: Literal["none", "halves", "zone"] = "none"
    cut_s: Seconds = 20.0
    requests: Rate = 40.0  # a second, of all agents, without a limit
    limit: Rate = 20.0  # a second, of a tenant that asks for twice that
    most_s: Seconds = 90.0


class Added(StrictStruct, rename={"requests": "lookups"}):
    kind: Literal["read", "limited", "submit", "close"] = "read"
    requests: Annotated[int, Meta(ge=10, le=1_000_000)] = 2000  # with the fleet, and as many without


def made(play: str, found: dict, at: str):
    """The terms that `found` sets, the others as they are by themselves. Raises Unusable."""
    known = {each.encode_name: each for each in msgspec.structs.fields(PLAYS[play][0])}
    kinds = {key: each.type for key, each in known.items()}
    given = {}
    for key, value in found.items():
        if key not in kinds:
            raise InvalidInputError(f"{at}.{key}: found {value!r}, wanted one of {', '.join(kinds)}")
        try:
            given[known[key].name] = msgspec.convert(value, kinds[key])
        except msgspec.ValidationError as trouble:
            wanted = str(trouble).removeprefix("Expected ")
            if get_origin(kinds[key]) is Literal:
                wanted = f"one of {', '.join(get_args(kinds[key]))}"
            raise InvalidInputError(f"{at}.{key}: found {value!r}, wanted {wanted}") from None
    return PLAYS[play][0](**given)


def one(name: str, terms, play: str, seed: int) -> dict:
    return {"variant": name, "seed": seed} | PLAYS[play][1](terms, seed)


# Ring


def ring(terms: Ring, seed: int) -> dict:
    """By event: keys moved over the least possible, and at its end the fullest one's load over its share."""
    from cartdeal.lab.rings import EVENTS, measure

    found = {event: measure(terms.way, seed, terms.agents, event) for event in EVENTS}
    row = {"agents": terms.agents}
    row |= {f"{event}: moved over least": float(each["moved_over_least"]) for event, each in found.items()}
    for event in ("join", "leave", "capacity", "flapping"):
        row[f"{event}: fullest over fair"] = float(found[event]["fullest_over_fair"])
    row["fullest of 50,000 keys"] = float(found["join"]["fullest_of_keys"])
    row["fullest by exact dice"] = float(found["join"]["fullest_by_chance"])
    row["join: copies moved over least"] = found["join"]["copies_over_least"]
    return row


# Copies


def memory(seed, agents: int, limits: dict, **terms):
    """A fleet whose first agents found it; all start within a second."""
    from cartdeal.fleet.settings import FleetSettings
    from cartdeal.fleet.simulation.in_memory_fleet import InMemoryFleet

    seeds = {f"a{n}": f"10.0.0.1:{n + 1}" for n in range(min(agents, FOUNDERS))}
    fleet, fates = (
        InMemoryFleet(FleetSettings(fleet="lab", name="", key=b"k" * 32, seeds=seeds, limits=limits), seed),
        seeded_random(seed, "starts"),
    )
    for number in range(agents):
        host = fleet.add(f"a{number}", zone=f"z{number % ZONES}", start=False, **terms)
        fleet.clock.at(fates.random(), host.start)
    return fleet


def whole_ring(fleet) -> bool:
    """All that run go by one ring, of all that run."""
    nodes = fleet.nodes()
    marks = {node.ring and node.ring.digest for node in nodes.values()}
    return len(marks) == 1 and None not in marks and set(next(iter(nodes.values())).ring.names) == set(nodes)


def answers(fleet, names) -> bool:
    """Whether each of these completes requests with marks. One that founds a fleet knows nothing of what was
    before it for as long as a mark may last."""
    from cartdeal.fleet.idempotency import AdmissionRequest

    asked = [
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
    return all("completed" in fleet.outcomes[each] for each in asked)


def unequal(fleet) -> tuple[int, int]:
    """Of how many records some owner lacks what another has; how many there are."""
    from cartdeal.fleet.replication import records

    copies: dict[str, list] = {}
    wanted = {}
    for name, node in fleet.nodes().items():
        replica = node.replica
        for key in replica.store.records:
            owners = replica.view.owners(key)
            record = replica.store.without_expired(replica.store.get(key))
            if name in owners and not records.is_empty(record):
                copies.setdefault(key, []).append(records.digest(record))
                wanted[key] = len(owners)
    wrong = sum(len(each) != wanted[key] or len(set(each)) > 1 for key, each in copies.items())
    return wrong, len(copies)


def talk(fleet, seconds: float) -> dict:
    """Messages and bytes an agent and second meanwhile, and both by part."""
    before, size = Counter(fleet.network.messages_by_tag), Counter(fleet.network.bytes_by_tag)
    fleet.run(seconds)
    share = 1 / (seconds * len(fleet.hosts))
    said, sizes = Counter(fleet.network.messages_by_tag), Counter(fleet.network.bytes_by_tag)
    said.subtract(before)
    sizes.subtract(size)
    row = {"messages": round(said.total() * share, 1), "bytes": round(sizes.total() * share)}
    for letter, part in PARTS.items():
        tags = [tag for tag in sizes if tag[0] == letter]
        row[f"messages of {part}"] = round(sum(said[tag] for tag in tags) * share, 1)
        row[f"bytes of {part}"] = round(sum(sizes[tag] for tag in tags) * share)
    return row


PARTS = {"m": "members", "e": "rings", "r": "copies", "l": "lending"}


def copies(terms: Copies, seed: int) -> dict:
    """Messages and bytes are an agent's in a second; times are from the start, and from when the cut ends."""
    from cartdeal.fleet.idempotency import AdmissionRequest
    from cartdeal.fleet.settings import RateLimit

    agents, coming = terms.agents, terms.rate * terms.agents
    fleet = memory(seed, agents, {"shop": RateLimit(2 * coming, coming)})
    people, names = seeded_random(seed, "people"), list(fleet.hosts)
    intents, going = [], [True]

    def client():
        if going[0]:
            session = f"{people.randrange(10 * agents)}"
            question = AdmissionRequest(
                tenant="shop",
                session=session,
                key=f"k{fleet.clients.submitted}",
                repeat="u",
                limit_s=2.0,
                workload="w",
            )
            intents.append(fleet.submit(question, [people.choice(names)]))
            fleet.clock.after(people.expovariate(coming), client)

    def share(since) -> float:
        return round(
            sum("completed" in fleet.outcomes[each] for each in intents[since:])
            / max(1, len(intents) - since),
            3,
        )

    started = fleet.run_until(lambda: whole_ring(fleet), terms.most_s, 0.25)
    known = started + fleet.run_until(lambda: answers(fleet, names[:FOUNDERS]), terms.most_s, 0.5)
    fleet.run(5.0)
    rest = talk(fleet, terms.rest_s)
    client()
    fleet.run(5.0)
    since = len(intents)
    busy = talk(fleet, terms.traffic_s)
    served, since = share(since), len(intents)
    fleet.cut(names[::2], names[1::2])
    fleet.run(terms.cut_s)
    cut_served, going[0] = share(since), False
    fleet.heal()
    wrong, records = unequal(fleet)
    healed = fleet.clock.now
    equal = fleet.run_until(lambda: unequal(fleet)[0] == 0 and whole_ring(fleet), terms.most_s, 0.25)
    found = fleet.checker.close()
    return {
        "agents": agents,
        "one ring s": round(started, 2),
        "marks answered s": round(known, 2),
        **{f"rest: {key}": value for key, value in rest.items()},
        **{f"traffic: {key}": value for key, value in busy.items()},
        "traffic: completed": served,
        "cut: completed": cut_served,
        "unequal records when it ends": wrong,
        "records": records,
        "equal s": round(equal, 2),
        "simulated s": round(healed + equal, 1),
        "violations": len(found),
    }


# Days


def days(terms: Days, seed: int) -> dict:
    from cartdeal.fleet.simulation.fault_schedule import run_fault_schedule

    result = run_fault_schedule(
        seed,
        terms.agents,
        terms.seconds,
        recovery_timeout=terms.quiet,
        mean_pause_s=terms.pause_s,
        request_rate=terms.requests,
        has_upgrade=terms.upgrade,
        clock_rate_spread=terms.apart,
    )
    row = msgspec.structs.asdict(result)
    return {key: value for key, value in row.items() if key not in ("seed", "found", "events")}


# A rolling upgrade


def upgrade(terms: Upgrade, seed: int) -> dict:
    """Agents are told to end and come back with a program that reads (1, 2) in place of (1, 1), one after the
    other. Served: of requests without a limit, two thirds of them with a mark; clients try three agents.
    Budget: what the limited tenant got of its rate. Times are from the first restart."""
    from cartdeal.fleet.idempotency import AdmissionRequest
    from cartdeal.fleet.settings import RateLimit

    fleet = memory(seed, terms.agents, {"shop": RateLimit(terms.limit, terms.limit)}, reads=(1, 1))
    people, names, checker = seeded_random(seed, "people"), list(fleet.hosts), fleet.checker
    open_, lost = [], {}

    def free():
        repeat = people.choice(("i", "d", "u"))
        question = AdmissionRequest(
            tenant="",
            session=f"{people.randrange(200)}",
            key=f"k{fleet.clients.submitted}",
            repeat=repeat,
            window_s=4.0 * (repeat == "d"),
            limit_s=2.0,
            workload="w",
        )
        open_.append((fleet.clock.now, fleet.submit(question, people.sample(names, 3), tries=3)))
        fleet.clock.after(people.expovariate(terms.requests), free)

    def limited():
        fleet.submit(AdmissionRequest(tenant="shop", workload="w"), people.sample(names, 2))
        fleet.clock.after(people.expovariate(2 * terms.limit), limited)

    def look():
        wall, have = max(node.wall for node in fleet.nodes().values()) * 1e3, fleet.attempt_ids_by_agent()
        for (record, by), each in checker.attempt_records.items():
            if each.until_ms > wall and not any(by in copies.get(record, ()) for copies in have.values()):
                lost[by] = True
        fleet.clock.after(5.0, look)

    def served(since, until) -> float:
        these = [intent for at, intent in open_ if since <= at < until]
        return round(sum("completed" in fleet.outcomes[each] for each in these) / max(1, len(these)), 4)

    def budget(since, until) -> float:
        passed = sum(since <= at < until for at in checker.admission_times["shop"])
        return round(passed / (terms.limit * (until - since)), 3)

    def written() -> bool:
        return whole_ring(fleet) and all(
            (node.ring.written_version, node.ring.phase) == (2, "steady")
            and node.replica.migrated_version == 2
            for node in fleet.nodes().values()
        )

    fleet.run_until(lambda: whole_ring(fleet) and answers(fleet, names), terms.most_s, 0.5)
    fleet.run(5.0)
    free(), limited(), look()
    fleet.run(5.0)
    calm = fleet.clock.now
    fleet.run(20.0)
    begun, waited = fleet.clock.now, 0
    for turn, name in enumerate(names):
        if turn == len(names) // 2 and terms.cut != "none":
            parts = (
                [names[::2], names[1::2]]
                if terms.cut == "halves"
                else [
                    [each for each in names if (int(each[1:]) % ZONES == 0) is side] for side in (True, False)
                ]
            )
            fleet.cut(*parts)
            fleet.clock.after(terms.cut_s, fleet.heal)
        at, host = fleet.clock.now, fleet.hosts[name]
        fleet.leave(name)
        fleet.run(1.6)
        fleet.start(name, reads=(1, 2))
        fleet.run_until(lambda host=host: host.node.is_caught_up, terms.most_s)
        waited = max(waited, fleet.clock.now - at)
        fleet.run(max(0.0, at + terms.every_s - fleet.clock.now))
    rolled = fleet.clock.now
    new = fleet.run_until(written, terms.most_s)
    end = fleet.clock.now
    fleet.run(20.0)
    found = checker.close()
    return {
        "agents": terms.agents,
        "served before": served(calm, begun),
        "served": served(begun, rolled),
        "served after": served(end, end + 18.0),
        "budget before": budget(calm, begun),
        "budget": budget(begun, end),
        "budget after": budget(end, end + 20.0),
        "over limit": round(max(0.0, checker.excess("shop")), 3),
        "marks": len(checker.attempt_records),
        "marks lost": len(lost),
        "longest restart s": round(waited, 1),
        "last restarted s": round(rolled - begun, 1),
        "written everywhere s": round(rolled - begun + new, 1),
        "violations": len(found),
    }


# What it adds to a request


def added(terms: Added, seed: int) -> dict:
    """Three real agents with the fleet and three without, asked in turns by one client at a time."""
    from cartdeal.lab.added import Pairs

    with Pairs(seed) as pairs:
        return pairs.measure(terms.kind, terms.requests)


PLAYS = {
    "ring": (Ring, ring),
    "copies": (Copies, copies),
    "days": (Days, days),
    "upgrade": (Upgrade, upgrade),
    "added": (Added, added),
}
