"""All state of an agent: the lookups it owes an answer, the servers it has heard of, and the balancer whose
host it is.

One event comes in by one method; what it leads to stands in `asked` afterwards, for effects.py to carry out.
In a fleet (`longest` is then given) a lookup waits for the gate's word before the balancer has it, and no
shot goes where an earlier one, at another agent, forbids it.
It must never do I/O, wait, read a clock or yield to another greenlet, and decides nothing the balancer can.
"""

from dataclasses import replace
from enum import IntEnum
from math import inf
from typing import NamedTuple

from cartdeal.agent.configuration import Roll, Station
from cartdeal.choice import Balancer
from cartdeal.terms import Group, Listing, Load, Outcome, Repeat, State

STATES = {"active": State.READY, "leaving": State.DRAINING}
ID_MEMORY = 5.0     # seconds for which a lookup's id is known, twice that at most
OVERDUE = 0.02      # how long after its time limit a lookup that the balancer forgot is answered all the same


class Progress(IntEnum):
    """How far a shot had come."""

    NOT_CONNECTED = 0
    PARTLY_WRITTEN = 1
    WRITTEN = 2
    HEAD = 3
    WHOLE = 4


class Cause(IntEnum):
    """What ended a shot."""

    ANSWERED = 0
    BROKEN = 1
    TIMED_OUT = 2
    GIVEN_UP = 3
    SPOILT = 4      # what came back can't be read, or can in two ways
    NO_ROOM = 5     # the agent's own limits left none for it


class Ending(NamedTuple):
    """How a shot or a probe ended; `progress` alone tells whether it may have run."""

    cause: Cause
    progress: Progress
    took: float
    status: int = 0
    not_processed: bool = False
    kind: bytes = b""       # the body's content type
    body: bytes = b""
    report: bytes = b""     # what the server says of its load
    words: str = ""

    def outcome(self) -> Outcome:
        written = self.progress >= Progress.WRITTEN
        if self.cause is Cause.ANSWERED:
            if self.status == 200:
                return Outcome.COMPLETED
            if 400 <= self.status < 500:
                return Outcome.UNUSABLE     # the lookup's fault, not the server's
            return Outcome.FULL if self.status in (503, 504) and self.not_processed else Outcome.ERROR
        if self.cause in (Cause.GIVEN_UP, Cause.NO_ROOM):   # neither is the server's doing
            return Outcome.CANCELLED if written else Outcome.NEVER_SENT
        if not written:
            return Outcome.NOT_CONNECTED
        return Outcome.TIMED_OUT if self.cause is Cause.TIMED_OUT else Outcome.RESET


class Query(NamedTuple):
    """A lookup as the application asked it."""

    workload: int
    strict: bool        # its form promises less than its workload: it may run once at most
    tenant: int
    key: int
    wait: float         # how long the client waits, from when its bytes were read
    repeat: bool
    method: bytes
    path: bytes
    id: bytes
    mark: bytes         # by which servers know a repeat
    kind: bytes
    body: bytes
    whose: bytes = b""  # the tenant as the client names it


class Owed:
    """A lookup that is not answered yet, or whose shots are still out."""

    waits = False       # for the gate's word
    heed: tuple = ()    # of Heed
    sent = 0            # shots that were let out
    ran = served = False    # whether it may have run; whether its client had the answer

    def __init__(self, asker, query: Query, limit_at: float):
        self.asker, self.query, self.limit_at = asker, query, limit_at
        self.shots, self.out = 0, 0


class Heed(NamedTuple):
    """An earlier shot, at another agent, that may have run: others go to its group, before `until`."""

    zone: int
    cell: int
    group: Group
    until: float


class Past(NamedTuple):
    """Where an earlier shot went, as the balancer looks at it."""

    zone: int
    cell: int


class Known(NamedTuple):
    """What the list says of a server that the balancer has no use for."""

    address: str
    started: float


class Reducer:
    def __init__(self, station: Station, now: float, wall: float, longest: tuple[float, ...] | None = None):
        """`longest`: by workload, how long a lookup may last where a gate keeps marks; None: no gate."""
        self.station, self.now, self.longest = station, now, longest
        self.boot = wall - now      # the one mapping between the list's clock and the agent's own
        self.asked = []
        self.count = 0
        self.end_at = inf           # when the agent is to have answered all
        self.lookups: dict[int, Owed] = {}
        # Those of ID_MEMORY seconds and of as many before: longer than any copy is on its way.
        self.ids, self.ids_before, self.ids_until = set(), set(), now
        self.version = 0
        self.named = 0      # servers so far: each gets an index of its own, which is never another's
        self.indices: dict[bytes, int] = {}     # these two hold a server until the list says that it is gone
        self.servers: dict[int, Known] = {}
        self.zones = {name: place for place, name in enumerate(station.grant.zones)}
        charter = station.grant.charter(station.seed)
        # A second set, for lookups whose form promises less than their workload: these may run once at most.
        strict = tuple(each._replace(repeat=Repeat.UNREPEATABLE) for each in charter.workloads)
        self.balancer = Balancer(self, replace(charter, workloads=charter.workloads + strict))
        if not charter.must_ask:
            # The balancer asks for no list that comes unasked; here it comes by a watch that the host begins.
            self.watch()
        self.listed(station.known, fresh=False)

    @property
    def owes(self) -> int:
        return sum(each.asker is not None for each in self.lookups.values())

    @property
    def ready(self) -> bool:
        return bool(self.named)

    # Events

    def taken(self, asker, query: Query):
        if query.id in self.ids or query.id in self.ids_before:
            # Whose it is can't be told: its answer, or its end, would be another lookup's.
            return self.asked.append(("refuse", asker, 409, "an X-Request-ID that was used just now"))
        if self.now > self.ids_until:
            self.ids_before, self.ids = self.ids, set()
            self.ids_until = self.now + ID_MEMORY
        self.ids.add(query.id)
        self.count += 1
        # A mark that is over before its lookup is would let a repeat of it through.
        wait = query.wait if self.longest is None else min(query.wait, self.longest[query.workload])
        number, limit_at = self.count, min(self.now + wait, self.end_at)
        owed = self.lookups[number] = Owed(asker, query, limit_at)
        self.asked.append(("begun", asker, number))
        self.asked.append(("remind", number, limit_at + OVERDUE))
        if self.longest is None:
            return self.pass_on(number, owed)
        owed.waits = True
        self.asked.append(("admit", number, query, limit_at))

    def pass_on(self, number: int, owed: Owed):
        query = owed.query
        workload = query.workload + query.strict * len(self.station.grant.workloads)
        self.balancer.taken(number, workload, query.tenant, query.key, owed.limit_at, query.repeat)

    def admitted(self, number: int, heed: tuple):
        """The gate lets it go on. Each of `heed`: zone (by name), cell, group, until when."""
        owed = self.lookups.get(number)
        if owed and owed.waits:
            owed.waits = False
            owed.heed = tuple(Heed(self.zones.get(zone, -1), cell, Group(group), until)
                              for zone, cell, group, until in heed)
            self.pass_on(number, owed)

    def declined(self, number: int, status: int, wait: float):
        owed = self.lookups.get(number)
        if owed and owed.waits:
            self.answer(number, status, b"", b"", wait)

    def abandoned(self, number: int):
        owed = self.lookups.get(number)
        if owed and owed.asker is not None:
            owed.asker = None
            self.drop(number, owed)
            self.balancer.abandoned(number)

    def shot_ended(self, number: int, server: int, shot: int, ending: Ending, load: Load | None = None):
        owed = self.lookups.get(number)
        if owed is None:
            return
        owed.out -= 1
        outcome = ending.outcome()
        owed.ran = owed.ran or not outcome.never_ran
        if outcome is Outcome.COMPLETED and owed.asker is not None:
            owed.served = True
            self.answer(number, 200, ending.kind, ending.body, 0.0)
        elif outcome is Outcome.UNUSABLE:
            self.answer(number, 400, b"", b"", 0.0)
        finished = owed.asker is None
        self.drop(number, owed)
        self.balancer.shot_ended(number, server, outcome, shot, ending.took, finished, load)

    def probe_ended(self, server: int, ending: Ending, load: Load | None = None):
        self.balancer.probe_ended(server, ending.outcome(), ending.took, load)

    def woken(self, token: int):
        self.balancer.woken(token)

    def ending(self, end_at: float):
        """What is out by then is terminated: an agent that is killed loses what it has not answered."""
        self.end_at = end_at
        for number, owed in self.lookups.items():
            if owed.limit_at > end_at:
                self.asked.append(("remind", number, end_at))

    def overdue(self, number: int):
        """The balancer answers every lookup; should a fault have kept it from it, this does."""
        owed = self.lookups.get(number)
        if owed and owed.asker is not None:
            self.note(f"lookup {owed.query.id.decode('latin-1')} overdue")
            # What never went out may be asked again; to terminate it would leave its client in doubt. But an
            # earlier try of one that still waits may have run at another agent: only the fleet would know.
            doubt = owed.sent or owed.waits and self.repeat_of(owed.query) is not Repeat.IDEMPOTENT
            self.terminate(number) if doubt else self.turn_back(number, 0.0)
            self.balancer.abandoned(number)

    def listed(self, roll: Roll, fresh: bool = True):
        self.version = roll.version
        self.note(f"list {roll.version}: {len(roll.lines)} lines{' in all' * roll.whole}")
        gone = [line.name.encode() for line in roll.lines if line.state == "left"]
        lines = [self.listing(line) for line in roll.lines if line.state != "left"]
        if roll.whole:
            here = {line.name for line in lines}
            gone += [name for name in self.indices if name not in here]
        lines += [self.let_go(name) for name in gone if name in self.indices]
        self.balancer.listed(lines, fresh)

    def watch_stands(self):
        """A watch was answered, with nothing new."""
        self.balancer.listed([], True)

    def watch_failed(self):
        self.balancer.watch_failed()

    def list_moved(self):
        """The list service has another address."""
        self.balancer.list_moved()

    def told(self, sender: int, words: bytes):
        """Agents need no words from each other."""

    def let_go(self, name: bytes) -> Listing:
        index = self.indices.pop(name)
        del self.servers[index]
        self.close_idle(index)
        return Listing(index, name, 0, 0, 0, State.GONE, 1.0, 0.0)

    def listing(self, line) -> Listing:
        name = line.name.encode()
        if name not in self.indices:
            self.indices[name] = self.named
            self.named += 1
        index = self.indices[name]
        started = line.started / 1e3 - self.boot if line.started else 0.0
        known = Known(line.address, started)
        if self.servers.setdefault(index, known) != known:
            self.close_idle(index)      # a kept connection to what stood there before would cost a shot
            self.servers[index] = known
        state = STATES.get(line.state, State.DRAINING)
        return Listing(index, name, self.zones.get(line.zone, 0), 0, line.cell, state, line.weight, started)

    # What the balancer asks for

    def shoot(self, lookup: int, server: int, until: float):
        owed = self.lookups[lookup]
        shot, owed.shots = owed.shots, owed.shots + 1
        owed.out += 1
        until = min(until, owed.limit_at) if until else owed.limit_at
        if self.longest is not None:
            where = self.balancer.servers[server]
            if not all(self.within(each, where) for each in owed.heed):
                return self.withhold(lookup, server, shot, owed)
            zones = self.station.grant.zones
            self.asked.append(("went", lookup, zones[where.zone] if zones else "", where.cell))
        owed.sent += 1
        self.asked.append(("shoot", lookup, shot, server, self.servers[server].address, owed.query, until))

    def withhold(self, lookup: int, server: int, shot: int, owed: Owed):
        """A shot that could cause a second effect. It ends as one never sent, and the balancer learns of the
        earlier ones as of its own: it then looks for a server where a further one does no harm."""
        known = self.balancer.lookups[lookup]
        for place, each in enumerate(owed.heed):
            known.traces[-1 - place] = Past(each.zone, each.cell), each.until - known.workload.window
        unsent = Ending(Cause.NO_ROOM, Progress.NOT_CONNECTED, 0.0)
        self.asked.append(("withhold", lookup, server, shot, unsent))

    def within(self, heed: Heed, where) -> bool:
        """Whether a shot there, now, meets the one that is heeded: servers of its group drop a repeat."""
        return self.now < heed.until and (heed.group is Group.ALL or where.zone == heed.zone and (
            heed.group is Group.ZONE or where.cell == heed.cell))

    def repeat_of(self, query: Query) -> Repeat:
        return Repeat.UNREPEATABLE if query.strict else self.balancer.charter.workloads[query.workload].repeat

    def turn_back(self, lookup: int, wait: float):
        owed = self.lookups.get(lookup)
        if owed and not all(each.group is Group.ALL and self.now < each.until for each in owed.heed):
            return self.terminate(lookup)   # its client would come again, to where it may run once more
        self.answer(lookup, 503, b"", b"", wait)

    def terminate(self, lookup: int):
        self.answer(lookup, 502, b"", b"", 0.0)

    def answer(self, number: int, status: int, kind: bytes, body: bytes, wait: float):
        """The one final answer; whatever comes for the lookup after it is passed over."""
        owed = self.lookups.get(number)
        if owed and owed.asker is not None:
            self.asked.append(("answer", owed.asker, status, kind, body, wait))
            owed.asker = None
            self.drop(number, owed)

    def drop(self, number: int, owed: Owed):
        over = owed.asker is None and not owed.out and self.lookups.pop(number, None)
        if over and self.longest is not None:
            ran = "never" if not owed.ran else "answered" if owed.served else "maybe"
            self.asked.append(("settled", number, ran))

    def cancel(self, lookup: int, shot: int):
        self.asked.append(("cancel", lookup, shot))

    def probe(self, server: int):
        self.asked.append(("probe", server, self.servers[server].address))

    def watch(self, on: bool = True):
        self.asked.append(("watch", on))

    def fetch_list(self):
        self.asked.append(("fetch_list",))

    def close_idle(self, server: int):
        self.asked.append(("close_idle", server))

    def tell(self, agent: int, words: bytes):
        self.asked.append(("tell", agent, words))

    def wake(self, token: int, delay: float):
        self.asked.append(("wake", token, self.now + delay))

    def note(self, text: str):
        self.asked.append(("note", text))
