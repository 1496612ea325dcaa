"""Who is in the fleet: probes, suspicion, refutation, leaving and coming back, and what each says of itself.

It owns the table of peers. It must never call an agent gone on one witness while there is another to ask,
believe another about its own name, or do I/O. Sources: SWIM (Das, Gupta, Motivala, DSN 2002) for probing in a
shuffled round, indirect pings, suspicion, refutation and piggybacked gossip; Lifeguard (Dadgar, Phillips,
Currey, DSN 2018) for suspicion that shortens with independent witnesses, telling the accused, nacks and local
health.

Where it differs from both: that an agent is gone is never taken from hearsay. A tale of it counts as what its
witnesses accuse, and each agent waits out its own time, so that the accused can refute it first. Those that
are gone to this agent, or came back a moment ago, are no witnesses, and whoever hears an accusation that is
new to it tells the accused at once: after a cut, neither half buries the other's agents anew.

One-way cuts. A peer that others reach stays: helpers' acks count as its own. Where B hears nobody, the others
call B gone and believe nothing that B says any more; B sees that it is cut off from all, and calls all of
them gone. Where nobody hears B, it is gone to the others and suspects all of them, and calls them gone once
no news of any comes in any more. Neither takes the other in again by its calls alone: an unidentified
client, or one that
is gone, has to answer a ping before anything it says is read but what concerns the reader; and an agent that
hears nobody changes nothing that it says of itself, since a next version would pass for a refutation. Of
two agents alone, each calls the other gone until both ways are open.
"""

from enum import IntEnum
from hashlib import blake2b
from heapq import nsmallest
from math import ceil, inf, log, log2
from typing import ClassVar
from zlib import crc32

from msgspec import Struct, msgpack
from msgspec.structs import replace

from cartdeal.fleet import events
from cartdeal.fleet.context import NodeContext
from cartdeal.fleet.errors import DuplicateNameError
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.settings import FleetSettings

ROOM = 1_100  # bytes of a message: the wire puts its own around it
NAME, ADDRESS = 64, 128  # bytes at most; a zone is bounded as a name is
MAX_GOSSIP_ITEMS = 64  # in one message at most
INDIRECT_PROBES = 3  # asked to ping in one's stead
MAX_ACCUSERS = 4  # kept and passed on for one accused
DIRECT = 0.4  # share of a probe's time after which helpers are asked, and a helper gives up
RELAYS = 1024  # pings in others' stead that are out at once
SLOWEST = 3.0  # how many times suspect_s a suspicion with one witness lasts
WORST = 4  # local health: a probe takes up to 1 + WORST times as long
KEPT = 60.0  # seconds the gone are kept after the last sign of them: old gossip raises none
FRESH = 15.0  # seconds for which one that came back from the gone is no witness
REACH = 2.0  # seconds between two attempts to reach one that is gone, or an absent seed
COMPARE = 5.0  # seconds between two comparisons of the whole table with a peer
BUCKETS, BYTES = 16, 4  # parts of the table that are compared, bytes of digest for each
SHIPPED = 2  # messages of table pieces, and as many warnings, a tick at most
OWED = 1024  # peers that are owed pieces at once
WARNINGS = 1024  # that wait at once
MAX_UNVERIFIED = 1024  # that have still to answer a ping ...
GREETED = 1.0  # ... and seconds until they are pinged again
QUIET = 3  # probes' time without a word from anyone, after which nothing new is told of oneself
GAP = 10  # ticks missed at a stretch after which this agent was stopped, rather than late
FIRST_ASK, LAST_ASK = 0.25, 4.0  # seconds between two rounds of asking seeds


class PeerState(IntEnum):
    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Peer(Struct, frozen=True, array_like=True):
    """What an agent says of itself; `version` goes up at each change and refutation, `incarnation` at each
    start."""

    name: str
    address: str
    incarnation: int
    version: int
    state: int
    zone: str
    capacity: float
    reads: tuple[int, int]
    migrated_version: int
    caught_up_epoch: int = 0  # the epoch of which it has caught up with all that it keeps


class GossipItem(Struct, frozen=True, array_like=True):
    """A piece of gossip; `by`: those whose own probes failed, or who have waited out their own suspicion."""

    peer: Peer
    by: tuple[str, ...] = ()


class Ping(Struct, frozen=True, tag="m.ping", array_like=True):
    DATAGRAM: ClassVar[bool] = True
    number: int
    me: Peer
    told: tuple[GossipItem, ...]


class Ack(Struct, frozen=True, tag="m.ack", array_like=True):
    """From the probed itself or from a helper that has reached it."""

    DATAGRAM: ClassVar[bool] = True
    number: int
    me: Peer
    told: tuple[GossipItem, ...]


class Nack(Struct, frozen=True, tag="m.nack", array_like=True):
    """A helper is well, but has not reached the probed."""

    DATAGRAM: ClassVar[bool] = True
    number: int
    me: Peer
    told: tuple[GossipItem, ...]


class PingRequest(Struct, frozen=True, tag="m.ask", array_like=True):
    """Ping `target` in my stead."""

    DATAGRAM: ClassVar[bool] = True
    number: int
    target: str
    me: Peer
    told: tuple[GossipItem, ...]


class DigestExchange(Struct, frozen=True, tag="m.compare", array_like=True):
    """Digests of the table's parts, also how an agent joins: what differs comes back in pieces."""

    DATAGRAM: ClassVar[bool] = True
    digests: bytes
    answer: bool
    me: Peer
    told: tuple[GossipItem, ...]


class StatePush(Struct, frozen=True, tag="m.pieces", array_like=True):
    """Parts of a table, or a word to the accused."""

    DATAGRAM: ClassVar[bool] = True
    me: Peer
    told: tuple[GossipItem, ...]


MESSAGE_TYPES = (Ping, Ack, Nack, PingRequest, DigestExchange, StatePush)


class UnverifiedPeer(Struct):
    """One that called, unknown or gone, and has still to show that it hears."""

    peer: Peer
    number: int
    until: float


class Suspicion(Struct):
    """What is held against a suspect (or one that is gone), and since when by this agent's clock."""

    since: float
    by: list[str]


class Probe(Struct):
    """The one probe that is out."""

    peer: Peer
    number: int
    began: float
    patience: float  # seconds until it has failed
    helpers: tuple[str, ...] = ()
    asked: bool = False
    nacks: int = 0
    done: bool = False


class PendingPush(Struct):
    """What a peer is still to get: whole parts of the table, and the names that are left of the last one.

    The names of one part alone are held at a time, so that many peers may be owed the whole table."""

    parts: list[int]
    names: list[str]


class Relay(Struct):
    """A ping in another's stead."""

    asker: str
    number: int
    target: str
    until: float


def is_valid_peer(peer: Peer) -> bool:
    """Whether each field is in its range (nan is in none)."""
    low, high = peer.reads
    return (
        0 < len(peer.name.encode()) <= NAME
        and len(peer.address.encode()) <= ADDRESS
        and len(peer.zone.encode()) <= NAME
        and 0 <= peer.incarnation < 1 << 62
        and 0 <= peer.version < 1 << 40
        and 0 <= peer.state <= PeerState.LEFT
        and 0 < peer.capacity <= 1e6
        and 0 < low <= high <= 1_000
        and 0 <= peer.migrated_version <= 1_000
        and 0 <= peer.caught_up_epoch < 1 << 53
    )


def are_valid_items(told: tuple[GossipItem, ...]) -> bool:
    return len(told) <= MAX_GOSSIP_ITEMS and all(
        is_valid_peer(each.peer)
        and len(each.by) <= MAX_ACCUSERS
        and all(0 < len(name.encode()) <= NAME for name in each.by)
        for each in told
    )


def bucket(name: str) -> int:
    return crc32(name.encode()) % BUCKETS


def public_state(peer: Peer | None) -> tuple | None:
    """What live_peers() says of it, as far as `view_version` counts it."""
    if peer is None or peer.state > PeerState.SUSPECT:
        return None
    return peer.incarnation, peer.capacity, peer.reads, peer.zone, peer.migrated_version, peer.state


class Membership:
    """The table of one agent. Its messages: a ping and an ack each probe_s, a comparison in COMPARE seconds,
    the same in a fleet of any size; a failed probe costs up to a dozen more, over five agents."""

    def __init__(self, context: NodeContext, settings: FleetSettings):
        self.context, self.settings, self.name = context, settings, context.name
        self.view_version, self.health, self.error = 1, 0, None  # error: the last DuplicateNameError
        mine = Peer(
            self.name,
            context.address,
            context.incarnation,
            0,
            PeerState.ALIVE,
            settings.zone,
            settings.capacity,
            settings.reads,
            settings.reads[0],
        )
        self.peers: dict[str, Peer] = {self.name: mine}
        self.cases: dict[str, Suspicion] = {}  # of SUSPECT and DEAD ones, by name
        self.kept: dict[str, float] = {}  # DEAD and LEFT ones: when they are forgotten
        self.back: dict[str, float] = {}  # when one came back from the gone
        self.warned: dict[str, float] = {}  # when an accused was last told of it
        self.news: dict[str, tuple[int, int]] = {}  # name: (times sent, minus its place in time)
        self.warnings: dict[str, GossipItem] = {}
        self.owed: dict[str, PendingPush] = {}  # by name of the peer
        self.relays: dict[int, Relay] = {}
        self.strangers: dict[str, UnverifiedPeer] = {}
        self.wish: dict = {}  # what is to be said of itself when it hears anyone again
        self.round: list[str] = []
        self.probe: Probe | None = None
        self.number, self.place, self.higher = context.random.getrandbits(40), 0, 0
        self.ticked = self.seen = self.last_heard = context.now
        self.misses, self.answered, self.asking, self.full = 0, False, False, False
        self.probe_at = context.now + settings.probe_s * context.random.random()
        self.reach_at, self.compare_at, self.pause = inf, inf, FIRST_ASK
        self.sorted: dict[str, Peer] | None = None
        self.reply = {
            Ping: self._ping,
            Ack: self._ack,
            Nack: self._nack,
            PingRequest: self._ask,
            DigestExchange: self._compare,
            StatePush: self._pieces,
        }

    # What the node asks

    @property
    def me(self) -> Peer:
        return self.peers[self.name]

    def join(self):
        """PingRequest the seeds, again and again until anyone has answered. Before this, nothing is sent
        unasked."""
        self.asking, self.reach_at = True, self.context.now
        self.compare_at = self.context.now + COMPARE * self._jitter()

    def leave(self):
        """Tell a few peers, who tell the others; this agent still answers, and accuses nobody any more."""
        if self.me.state != PeerState.LEFT:
            self._put(replace(self.me, version=self.me.version + 1, state=PeerState.LEFT))
            self._spread(self.name)
            self.asking, self.probe = False, None
            for name in self._some(self._others(PeerState.SUSPECT), 2 * INDIRECT_PROBES):
                self._say(name, StatePush)

    def live_peers(self) -> dict[str, Peer]:
        """ALIVE and SUSPECT, self included, sorted by name. Not to be written: the same until a change."""
        if self.sorted is None:
            self.sorted = {
                name: self.peers[name]
                for name in sorted(self.peers)
                if self.peers[name].state <= PeerState.SUSPECT
            }
        return self.sorted

    def size(self) -> int:
        return len(self.live_peers())

    def addresses(self) -> dict[str, str]:
        """Where each known agent is to be reached, the gone and unidentified clients included: they are
        called, too."""
        called = {name: each.peer.address for name, each in self.strangers.items()}
        return {name: peer.address for name, peer in self.peers.items()} | called

    def update_self(
        self,
        *,
        capacity: float | None = None,
        migrated_version: int | None = None,
        caught_up_epoch: int | None = None,
    ):
        """Change what is told of oneself, at once or when anyone is heard again."""
        wish = {
            "capacity": capacity,
            "migrated_version": migrated_version,
            "caught_up_epoch": caught_up_epoch,
        }
        self.wish |= {field: value for field, value in wish.items() if value is not None}
        silence = self.context.now - self.last_heard
        if self.wish and not (self.answered and silence > QUIET * self.settings.probe_s):
            mine, self.wish = replace(self.me, **self.wish), {}
            if mine != self.me:
                self._put(replace(mine, version=mine.version + 1))
                self._spread(self.name)

    def newer_incarnation(self) -> int:
        """The highest incarnation of this agent's name that a peer told of, where it is above its own; else
        0."""
        return self.higher if self.higher > self.me.incarnation else 0

    # Time

    def tick(self):
        now = self.context.now
        self._woke(now - self.ticked)
        self.ticked = self.seen = now
        if (
            self.context.incarnation > self.me.incarnation
        ):  # the node took a higher one: what was said of the former is over
            self._put(replace(self.me, incarnation=self.context.incarnation, version=0))
            self._spread(self.name)
        self.update_self()
        self._expire(now)
        self._ship()
        if self.asking:
            self._suspicions(now)
            self._probing(now)
            self._reaching(now)

    def _woke(self, gap: float):
        """What ran out while this agent was stopped says nothing of others; they have long accused it."""
        if gap > GAP * self.settings.tick_s:
            self.context.increment(Metric.PAUSES)
            self.probe, self.ticked, self.last_heard, self.misses = (
                None,
                self.context.now,
                self.context.now,
                0,
            )
            self.relays.clear()
            self.owed.clear()
            for case in self.cases.values():
                case.since += gap
            for name in self.kept:
                self.kept[name] += gap
            self._worse(1)
            if self.me.state == PeerState.ALIVE:
                self._refute(self.me.version)

    def _expire(self, now: float):
        for name in [name for name, until in self.kept.items() if until <= now]:
            self._forget(name)
        for name in [name for name, each in self.strangers.items() if each.until <= now]:
            del self.strangers[name]
        for number in [number for number, relay in self.relays.items() if relay.until <= now]:
            relay = self.relays.pop(number)
            if relay.asker in self.peers:
                self._say(relay.asker, Nack, relay.number)

    def _suspicions(self, now: float):
        over = [
            name
            for name, case in self.cases.items()
            if self.peers[name].state == PeerState.SUSPECT
            and now - case.since >= self._patience(len(case.by))
        ]
        for name in over:
            case = self.cases[name]
            # One witness is enough only where there is nobody left that could be a second.
            if len(case.by) < 2 and any(other != name for other in self._others(PeerState.ALIVE)):
                continue
            if self.name not in case.by:  # it has waited out its own time, which is a witness to the others
                case.by = [self.name, *case.by][:MAX_ACCUSERS]
            self._put(replace(self.peers[name], state=PeerState.DEAD))
            self.kept[name] = now + KEPT
            self._spread(name)
            self.context.log_event(events.AgentDead(name, tuple(case.by)))

    def _patience(self, witnesses: int) -> float:
        """Lifeguard's dynamic suspicion: from SLOWEST times suspect_s down to it as witnesses confirm."""
        needed = min(INDIRECT_PROBES, self.size() - 2)
        if needed < 1:
            return self.settings.suspect_s
        share = min(1.0, log(witnesses) / log(needed + 1))
        return self.settings.suspect_s * (SLOWEST - (SLOWEST - 1) * share)

    def _probing(self, now: float):
        probe = self.probe
        if probe and not probe.done:
            peer = probe.peer
            if not probe.asked and now >= probe.began + DIRECT * probe.patience:
                probe.asked = True
                helpers = [each for each in self._others(PeerState.ALIVE) if each != peer.name]
                probe.helpers = tuple(self._some(helpers, INDIRECT_PROBES))
                self._say(peer.name, Ping, probe.number)  # a second chance: one datagram may be lost
                for name in probe.helpers:  # with what it is accused of: it may not have counted
                    self._say(name, PingRequest, probe.number, peer.name, about=peer.name)
            if now >= probe.began + probe.patience:
                probe.done = True
                self.misses += 1
                if probe.nacks < len(probe.helpers) or not probe.helpers:
                    self._worse(1)  # helpers are silent as well: it may be this agent that is deaf
                known = self.peers.get(peer.name)
                # A version that went up meanwhile is a sign of incarnation that came some other way.
                same = known and (known.incarnation, known.version) == (peer.incarnation, peer.version)
                if same and known.state <= PeerState.SUSPECT:
                    self._accuse(peer.name, (), mine=True)
                self._alone(now)
        if now >= self.probe_at:
            peer = self._next()
            self.probe = None
            patience = self.settings.probe_s * (1 + self.health)
            self.probe_at = now + patience
            if peer:
                self.number += 1
                self.probe = Probe(peer, self.number, now, patience)
                self._say(peer.name, Ping, self.number)

    def _alone(self, now: float):
        """Nothing at all from anyone for long, by a clock that went on: this agent is cut off from all.
        By probes alone it would take as many rounds to see that as there are agents."""
        if self.misses >= INDIRECT_PROBES + 1 and now - self.last_heard > SLOWEST * self.settings.suspect_s:
            others = self._others(PeerState.ALIVE)
            if others:
                self.context.log_event(events.Isolated(len(others)))
            for name in others:
                self._accuse(name, (), mine=True, quiet=True)

    def _next(self) -> Peer | None:
        """SWIM's round: each once, in an order shuffled anew each time: none waits longer than two rounds."""
        for again in (False, True):
            while self.round:
                peer = self.peers.get(self.round.pop())
                if peer and peer.state <= PeerState.SUSPECT:
                    return peer
            if not again:
                self.round = self._others(PeerState.SUSPECT)
                self.context.random.shuffle(self.round)
        return None

    def _reaching(self, now: float):
        if now >= self.reach_at:
            seeds = [
                name for name in self.settings.seeds if name != self.name and name not in self.live_peers()
            ]
            if not self.answered:
                names = self._some(seeds, INDIRECT_PROBES)
                self.reach_at = now + self.pause * self._jitter()
                self.pause = min(2 * self.pause, LAST_ASK)
            else:
                gone = [name for name in self.kept if self.peers[name].state == PeerState.DEAD]
                names = self._some(list(dict.fromkeys(gone + seeds)), 1)
                self.reach_at = now + REACH * self._jitter()
            for name in names:
                self._say(name, DigestExchange, self._digests(), False)
        if now >= self.compare_at:
            self.compare_at = now + COMPARE * self._jitter()
            for name in self._some(self._others(PeerState.ALIVE), 1):
                self._say(name, DigestExchange, self._digests(), False)

    # Messages

    def on_message(self, sender: str, message):
        now, me = self.context.now, message.me
        self._woke(now - max(self.ticked, self.seen))
        self.seen = now
        if not is_valid_peer(me) or not are_valid_items(message.told):
            return self.context.increment(Metric.DROPPED_OUT_OF_RANGE)
        if me.name != sender or me.state not in (PeerState.ALIVE, PeerState.LEFT):
            return self.context.increment(Metric.DROPPED_WRONG_SENDER)
        if sender == self.name:
            return self._own(me)
        known = self.peers.get(sender)
        if known and me.incarnation < known.incarnation:
            # Late, or from one started anew by a clock set back, which has to learn of its higher
            # incarnation.
            self.context.increment(Metric.DROPPED_OLD_INCARNATION)
            return self.context.send(sender, StatePush(self.me, (self._piece(sender),)))
        self.last_heard, self.answered = now, True
        version = self.me.version
        if (known is None or known.state >= PeerState.DEAD) and not self._greet(me, message):
            for each in message.told:
                if each.peer.name == self.name:
                    self._own(each.peer)
            if type(message) is Ping and (known or sender in self.strangers):
                self._say(sender, Ack, message.number)
            return
        self._fold(GossipItem(me))
        for each in message.told:
            self._fold(each)
        self.reply[type(message)](sender, message)
        if self.me.version != version and type(message) is StatePush:
            self._say(sender, StatePush)

    def _greet(self, peer: Peer, message) -> bool:
        """Whether an unidentified client, or one that was gone, has shown that it hears; if not, it is sent
        a ping."""
        stranger, known = self.strangers.get(peer.name), peer.name in self.peers
        if peer.state == PeerState.LEFT or self.me.state == PeerState.LEFT:
            return known
        if stranger and type(message) is Ack and message.number == stranger.number:
            del self.strangers[peer.name]
            if known or self._room():
                self._fold(GossipItem(peer))
                self._say(peer.name, DigestExchange, self._digests(), False)
                return True
        elif not stranger and len(self.strangers) >= MAX_UNVERIFIED:
            self.context.increment(Metric.DROPPED_UNVERIFIED_PEERS)
        elif not stranger:
            if (
                known and peer.incarnation > self.peers[peer.name].incarnation
            ):  # started anew, maybe at another address
                self._put(replace(self.peers[peer.name], address=peer.address))
            self.number += 1
            self.strangers[peer.name] = UnverifiedPeer(peer, self.number, self.context.now + GREETED)
            self._say(peer.name, Ping, self.number)
        return False

    def _ping(self, sender: str, message: Ping):
        self._say(sender, Ack, message.number)

    def _ack(self, sender: str, message: Ack):
        probe = self.probe
        if (
            probe
            and probe.number == message.number
            and not probe.done
            and (sender == probe.peer.name or sender in probe.helpers)
        ):
            probe.done = True
            self.misses = 0
            self._worse(-1)
        elif message.number in self.relays and self.relays[message.number].target == sender:
            relay = self.relays.pop(message.number)
            if relay.asker in self.peers:
                self._say(relay.asker, Ack, relay.number, about=sender)
        else:
            self.context.increment(Metric.LATE_ACKS)

    def _nack(self, sender: str, message: Nack):
        if self.probe and self.probe.number == message.number and sender in self.probe.helpers:
            self.probe.nacks += 1

    def _ask(self, sender: str, message: PingRequest):
        if message.target not in self.peers or message.target == self.name or len(self.relays) >= RELAYS:
            return self._say(sender, Nack, message.number)
        self.number += 1
        until = self.context.now + DIRECT * self.settings.probe_s
        self.relays[self.number] = Relay(sender, message.number, message.target, until)
        self._say(message.target, Ping, self.number)

    def _compare(self, sender: str, message: DigestExchange):
        if len(message.digests) != BUCKETS * BYTES:
            return self.context.increment(Metric.DROPPED_OUT_OF_RANGE)
        mine = self._digests()
        differ = [
            place
            for place in range(BUCKETS)
            if mine[place * BYTES :][:BYTES] != message.digests[place * BYTES :][:BYTES]
        ]
        if not differ:
            return
        if not message.answer:
            self._say(sender, DigestExchange, mine, True)
        if sender not in self.owed and len(self.owed) >= OWED:
            return self.context.increment(Metric.DROPPED_DIGEST_EXCHANGES)  # it compares again
        self.owed[sender] = PendingPush(differ, [])
        self._ship_to(sender)

    def _pieces(self, sender: str, message: StatePush):
        """All that is in them is folded already."""

    # What is told

    def _fold(self, told: GossipItem):
        """Take in one piece. A higher incarnation beats all of a lower one, then a higher version, then the
        worse
        state; but DEAD is only what its witnesses accuse."""
        peer = told.peer
        if peer.name == self.name:
            return self._own(peer)
        known = self.peers.get(peer.name)
        if known is None:
            if peer.state >= PeerState.DEAD:
                return  # it would be passed round for ever by those that forget it at different times
            if not self._room():
                return
            self._enter(peer)
        elif peer.incarnation < known.incarnation:
            return self.context.increment(Metric.DROPPED_OLD_INCARNATION)
        elif (peer.incarnation, peer.version) > (known.incarnation, known.version):
            if peer.state == PeerState.DEAD and known.state >= PeerState.DEAD:
                self._put(replace(peer, state=known.state))
            else:
                self._enter(peer)
        elif peer.version < known.version:
            return
        elif peer.state == PeerState.LEFT and known.state != PeerState.LEFT:
            self._enter(peer)
        if peer.state in (PeerState.SUSPECT, PeerState.DEAD) and self.peers[peer.name].state < PeerState.DEAD:
            self._accuse(peer.name, told.by)

    def _own(self, said: Peer):
        mine = self.me
        if said.incarnation < mine.incarnation:
            return self.context.increment(Metric.DROPPED_OLD_INCARNATION)
        if (said.address, said.zone) != (mine.address, mine.zone):
            found = f"{mine.address} in zone {mine.zone!r}, {said.address} in zone {said.zone!r}"
            self.error = DuplicateNameError(self.name, found)
            self.context.log_event(events.DuplicateName.of(self.error))
        if said.incarnation > mine.incarnation:
            self.higher = max(self.higher, said.incarnation)
        elif (
            (said.address, said.zone) == (mine.address, mine.zone)
            and mine.state == PeerState.ALIVE
            and (
                said.version > mine.version or said.version == mine.version and said.state != PeerState.ALIVE
            )
        ):
            if said.state != PeerState.ALIVE:
                self._worse(1)
                self.context.increment(Metric.REFUTATIONS)
            self._refute(said.version)

    def _refute(self, version: int):
        self._put(replace(self.me, version=version + 1))
        self._spread(self.name)

    def _enter(self, peer: Peer):
        """Take what a peer says of itself in place of what was known; a suspicion begins with _accuse."""
        name, known = peer.name, self.peers.get(peer.name)
        if known and known.state == PeerState.DEAD and known.incarnation == peer.incarnation:
            self.back[name] = self.context.now
        for each in (self.cases, self.warnings, self.warned, self.kept, self.strangers):
            each.pop(name, None)
        if peer.state == PeerState.LEFT:
            self.kept[name] = self.context.now + KEPT
        elif known is None or known.state > PeerState.SUSPECT:
            self.round.insert(self.context.random.randint(0, len(self.round)), name)
        self._put(replace(peer, state=PeerState.LEFT if peer.state == PeerState.LEFT else PeerState.ALIVE))
        self._spread(name)

    def _accuse(self, name: str, by: tuple[str, ...], mine: bool = False, quiet: bool = False):
        case, known = self.cases.get(name), self.peers[name]
        new = [each for each in by if self._counts(each, name)] + [self.name] * mine
        new = [each for each in dict.fromkeys(new) if not case or each not in case.by]
        if known.state == PeerState.ALIVE and not quiet and (new or by):
            self._warn(GossipItem(replace(known, state=PeerState.SUSPECT), by or (self.name,)))
        if not new or case and len(case.by) >= MAX_ACCUSERS:
            return
        if case is None:
            case = self.cases[name] = Suspicion(self.context.now, [])
        case.by = (case.by + new)[:MAX_ACCUSERS]
        if known.state == PeerState.ALIVE:
            self._put(replace(known, state=PeerState.SUSPECT))
            self.context.increment(Metric.SUSPICIONS)
            self.context.increment(Metric.ACCUSATIONS, int(mine))  # those of them that are this agent's own
        self._spread(name)

    def _counts(self, witness: str, accused: str) -> bool:
        peer = self.peers.get(witness)
        return (
            peer is not None
            and peer.state <= PeerState.SUSPECT
            and witness not in (accused, self.name)
            and self.context.now - self.back.get(witness, -inf) >= FRESH
        )

    def _warn(self, told: GossipItem):
        name, now = told.peer.name, self.context.now
        if now - self.warned.get(name, -inf) >= self.settings.suspect_s / 2 and len(self.warnings) < WARNINGS:
            self.warned[name] = now
            self.warnings[name] = told

    # The table

    def _put(self, peer: Peer):
        old = self.peers.get(peer.name)
        self.peers[peer.name] = peer
        self.sorted = None
        self.view_version += public_state(old) != public_state(peer)

    def _forget(self, name: str):
        for each in (
            self.peers,
            self.cases,
            self.kept,
            self.back,
            self.warned,
            self.warnings,
            self.news,
            self.owed,
        ):
            each.pop(name, None)

    def _room(self) -> bool:
        if len(self.peers) < self.settings.most_agents:
            return True
        if self.kept:
            self._forget(min(self.kept, key=lambda name: (self.kept[name], name)))
            return True
        self.context.increment(Metric.DROPPED_NO_ROOM)
        if not self.full:
            self.full = True
            self.context.log_event(events.MembershipFull(self.settings.most_agents))
        return False

    def _digests(self) -> bytes:
        parts = [[] for _ in range(BUCKETS)]
        for name, peer in self.live_peers().items():
            parts[bucket(name)].append(f"{name}\0{peer.incarnation}\0{peer.version}\n")
        return b"".join(blake2b("".join(part).encode(), digest_size=BYTES).digest() for part in parts)

    def _others(self, worst: PeerState) -> list[str]:
        return [name for name, peer in self.live_peers().items() if peer.state <= worst and name != self.name]

    def _some(self, names: list[str], most: int) -> list[str]:
        return self.context.random.sample(names, min(most, len(names)))

    def _jitter(self) -> float:
        return 0.75 + self.context.random.random() / 2

    def _worse(self, by: int):
        self.health = min(WORST, max(0, self.health + by))

    # Sending

    def _piece(self, name: str) -> GossipItem:
        return GossipItem(self.peers[name], tuple(self.cases[name].by) if name in self.cases else ())

    def _spread(self, name: str):
        self.place += 1
        self.news[name] = (0, -self.place)

    def _say(self, to: str, kind: type, *fields, about: str = ""):
        """Send with as much gossip as fits: first what `to` is accused of, and what is known of `about`."""
        room = ROOM - len(msgpack.encode(kind(*fields, self.me, ()))) - 2
        told, taken = [], {self.name: True}
        first = [to] if to in self.peers and self.peers[to].state != PeerState.ALIVE else []
        first += [about] if about in self.peers else []
        for name in first:
            taken[name] = True
            told.append(self._piece(name))
            room -= len(msgpack.encode(told[-1]))
        most = 3 * ceil(log2(self.size() + 1))
        for name in nsmallest(MAX_GOSSIP_ITEMS, self.news, key=self.news.__getitem__):
            sent, place = self.news[name]
            if name not in taken:
                piece = self._piece(name)
                size = len(msgpack.encode(piece))
                if size > room or len(told) >= MAX_GOSSIP_ITEMS:
                    continue
                room -= size
                told.append(piece)
            elif name != self.name:
                continue
            self.news[name] = (sent + 1, place)  # of itself, each message tells anyway
            if sent + 1 >= most:
                del self.news[name]
        self.context.send(to, kind(*fields, self.me, tuple(told)))

    def _ship(self):
        for name in list(self.warnings)[:SHIPPED]:
            self.context.send(name, StatePush(self.me, (self.warnings.pop(name),)))
        for name in list(self.owed)[:SHIPPED]:
            self._ship_to(name)

    def _ship_to(self, to: str):
        owed, told = self.owed.pop(to), []
        room = ROOM - len(msgpack.encode(StatePush(self.me, ()))) - 2
        while (owed.names or owed.parts) and len(told) < MAX_GOSSIP_ITEMS:
            if not owed.names:
                part = owed.parts.pop()
                owed.names = [name for name in self.peers if bucket(name) == part]
                continue
            if owed.names[-1] in self.peers:
                piece = self._piece(owed.names[-1])
                room -= len(msgpack.encode(piece))
                if room < 0:
                    break
                told.append(piece)
            owed.names.pop()
        if owed.names or owed.parts:
            self.owed[to] = owed  # at the end of the queue
        self.context.send(to, StatePush(self.me, tuple(told)))
