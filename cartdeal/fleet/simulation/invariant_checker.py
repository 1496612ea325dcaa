"""Judges a fleet from the network and the answers alone, never from what an agent thinks.

Pure bookkeeping: what was said on the wire, what ran at servers, what was answered, when; and which program
was started or ended where. It must never ask a node for its opinion, except for the bytes of copies, which
are compared with each other.
"""

from collections import defaultdict
from typing import NamedTuple

from cartdeal.fleet.consensus import messages as consensus_messages
from cartdeal.fleet.errors import InvalidRecordError
from cartdeal.fleet.idempotency import AdmissionDecision
from cartdeal.fleet.replication import messages, migration, record_codec
from cartdeal.fleet.replication.catch_up import quorum
from cartdeal.fleet.ring.movement import minimal_movement
from cartdeal.fleet.ring.placement import owners
from cartdeal.fleet.ring.ring import Ring, RingMember
from cartdeal.fleet.ring.steps import apply_step
from cartdeal.fleet.settings import FleetSettings

HAIR = 1e-6
SAMPLE = 300  # keys that are looked at when a ring changes
SETTLE = 6.0  # seconds in which one that comes back gets its copies again
ALLOWANCE = 0.06  # of the keys, for looking at so few
STEPS = {  # (raised, phase) -> what may follow within the version; "narrow" has no way back
    "steady": ("steady", "widen"),
    "widen": ("widen", "move", "steady"),
    "move": ("move", "narrow", "widen"),
    "narrow": ("narrow",),
}


class Execution(NamedTuple):
    """An attempt that reached a server, which may have acted on it."""

    at: float
    zone: str
    cell: int
    agent: str


class WrittenRecord(NamedTuple):
    """A mark of a request that went on: it said that it was written."""

    at: float
    agent: str
    until_ms: int


class InvariantChecker:
    def __init__(self, settings: FleetSettings):
        self.settings, self.limits = settings, settings.limits
        self.violations: list[str] = []
        self.intents: dict[str, tuple] = {}  # intent -> (repeat, group, window)
        self.executions: dict[str, list[Execution]] = defaultdict(list)
        self.told: dict[str, list] = defaultdict(list)  # intent -> (at, agent, verdict)
        self.admission_times: dict[str, list[float]] = defaultdict(
            list
        )  # tenant -> when a request of it went on
        # Processes
        self.starts: dict[str, list[float]] = defaultdict(list)
        self.deaths: list[tuple[float, str]] = []
        self.programs: dict[str, tuple[int, int]] = {}  # agent -> versions that its program reads
        self.incarnations: dict[
            tuple[str, int], int
        ] = {}  # (agent, incarnation) -> number of the start that used it
        # Rings, as they are said: by digest
        seeds = tuple(RingMember(name, "", 1.0) for name in sorted(settings.seeds))
        self.rings = {Ring(0, seeds).digest: Ring(0, seeds)}
        self.base: dict[bytes, bytes] = {}
        self.ballots: dict[tuple, bytes] = {}  # (base, number, proposer) -> ring
        self.votes: dict[bytes, dict[str, None]] = defaultdict(dict)
        self.shown: dict[bytes, float] = {}  # rings that agents act by, since when
        self.ring_of: dict[str, bytes] = {}
        self.last_shown: dict[bytes, dict[str, float]] = defaultdict(dict)
        self.founded = 0  # when the newest fleet was
        self.by_epoch: dict[int, bytes] = {}
        # Marks
        self.fixed: dict[str, tuple] = {}  # mark -> what never changes of it
        self.claims: dict[tuple[str, int, int], tuple[str, str, str, int]] = {}
        self.latest: dict[tuple[str, str, str], str] = {}  # (agent, record, key of the request) -> mark
        self.writers: dict[str, dict[str, None]] = defaultdict(dict)
        self.attempt_records: dict[tuple[str, str], WrittenRecord] = {}
        self.until: dict[str, int] = {}
        self.unreached = -1.0  # when a message last met a cut, or an agent that was stopped

    def violated(self, message: str):
        self.violations.append(message)

    # What the network sees

    def client_came(self, intent: str, repeat: str, group: str, window: float):
        """A client wants one effect, however often it comes."""
        self.intents[intent] = (repeat, group, window)

    def attempt_executed(self, intent: str, at: float, zone: str, cell: int, agent: str):
        repeat, group, window = self.intents[intent]
        before = self.executions[intent]
        for past in before:
            if repeat == "i":
                break
            apart = at - past.at
            same = group == "all" or past.zone == zone and (group == "zone" or past.cell == cell)
            if repeat == "u":
                self.violated(
                    f"{intent}: non-idempotent, ran {apart:.3f} s apart at {past.agent} and {agent}"
                )
            elif apart > window + HAIR or not same:
                self.violated(
                    f"{intent}: deduplicated, ran {apart:.3f} s apart at {past.agent} and {agent}, "
                    f"{past.zone}/{past.cell} and {zone}/{cell}"
                )
        before.append(Execution(at, zone, cell, agent))

    def request_answered(self, intent: str, at: float, agent: str, verdict: str):
        repeat, group, window = self.intents[intent]
        if verdict in (AdmissionDecision.REJECT.value, AdmissionDecision.RATE_LIMITED.value):
            for past in self.executions[intent]:
                if repeat == "u" or repeat == "d" and (group != "all" or at - past.at > window + HAIR):
                    self.violated(f"{intent}: rejected at {agent}, {at - past.at:.3f} s after it ran")
        self.told[intent].append((at, agent, verdict))

    def decision_waited(self, agent: str, seconds: float):
        """For the fleet's word. A tick more than is allowed, as that's when an agent looks at its clock."""
        if seconds > self.settings.wait_s + 1.2 * self.settings.tick_s:
            self.violated(f"{agent}: a request waited for {seconds:.3f} s")

    def request_admitted(self, tenant: str, at: float):
        if tenant in self.limits:
            self.admission_times[tenant].append(at)

    # What is said on the wire

    def agent_started(self, agent: str, at: float, reads: tuple[int, int]):
        self.starts[agent].append(at)
        self.programs[agent] = reads

    def agent_died(self, agent: str, at: float):
        self.deaths.append((at, agent))

    def recipient_unreachable(self, at: float):
        self.unreached = at

    def message_sent(self, at: float, sender: str, incarnation: int, to: str, message):
        start = len(self.starts[sender])
        if self.incarnations.setdefault((sender, incarnation), start) != start:
            self.violated(f"{sender}: incarnation {incarnation} given out twice")
            self.incarnations[sender, incarnation] = start
        kind = type(message)
        if kind is messages.WriteRequest:
            self.claimed(sender, message)
        elif kind is messages.WriteResponse:
            if message.written and (to, message.incarnation, message.request_id) in self.claims:
                self.writers[self.claims[to, message.incarnation, message.request_id][2]][sender] = None
        elif kind.__module__ == consensus_messages.__name__:
            self.of_rings(at, sender, to, message)

    def of_rings(self, at, sender, to, message):
        kind = type(message)
        if kind is consensus_messages.RingSnapshot:
            self.rings.setdefault(message.previous_ring.digest, message.previous_ring)
            self.learn(message.previous_ring.digest, message.step)
        elif kind is consensus_messages.RingUpdate:
            self.learn(message.step.previous_digest, message.step)
        else:
            if kind is consensus_messages.Accept:
                ring = self.learn(message.ring_digest, message.step)
                if ring:
                    self.ballots[message.ring_digest, message.number, sender] = ring.digest
                    self.votes[ring.digest][sender] = None
            elif kind is consensus_messages.Accepted:
                self.votes[self.ballots.get((message.ring_digest, message.number, to), b"")][sender] = None
            if message.epoch:
                self.ring_of[sender] = message.ring_digest
                self.last_shown[message.ring_digest][sender] = at
                if message.ring_digest not in self.shown:
                    self.drawn(at, sender, message.epoch, message.ring_digest)

    def learn(self, base: bytes, step) -> Ring | None:
        if base not in self.rings:
            return None
        ring = apply_step(self.rings[base], step)
        self.rings[ring.digest] = ring
        self.base.setdefault(ring.digest, base)
        return ring

    def drawn(self, at, agent, epoch, mark):
        """The first time that an agent goes by a ring."""
        self.shown[mark] = at
        founded = self.rings[mark].founded_ms if mark in self.rings else 0
        self.founded = max(self.founded, founded)
        if founded < self.founded:
            self.violated(f"epoch {epoch}: two fleets, the older one at {agent}")
        twin = self.by_epoch.get((founded, epoch))
        if twin and not self.forgotten(twin):
            self.violated(f"epoch {epoch}: two rings, the second at {agent}")
        self.by_epoch[founded, epoch] = mark
        ring, former = self.rings.get(mark), self.rings.get(self.base.get(mark, b""))
        if ring is None or former is None:
            return
        votes = [name for name in self.votes[mark] if name in former.member_by_name]
        if 2 * len(votes) <= len(former.members) and len(former.members) > 1:
            self.violated(f"epoch {epoch}: drawn by {len(votes)} of {len(former.members)}, at {agent}")
        self.stepped(at, former, ring)
        if former.epoch:
            self.moved(former, ring)

    def forgotten(self, mark) -> bool:
        """Whether all that went by a ring have ended since: what was agreed is gone with them."""
        return all(
            any(name == agent and at >= last for at, name in self.deaths)
            for agent, last in self.last_shown[mark].items()
        )

    def stepped(self, at, former: Ring, ring: Ring):
        was, now = (former.written_version, former.phase), (ring.written_version, ring.phase)
        if was == now or not former.epoch:
            return
        target, step = (
            former.written_version + 1,
            f"epoch {ring.epoch}: from {was[0]} {was[1]} to {now[0]} {now[1]}",
        )
        if not (
            now[0] == was[0] and now[1] in STEPS[was[1]] or now == (target, "steady") and was[1] == "narrow"
        ):
            return self.violated(f"{step}: no such step")
        if (now[1], was[1]) in (("steady", "widen"), ("widen", "move")):
            return
        # One that has just been started by an older program is not known of yet.
        able = [
            name
            for name in former.names
            if self.programs[name][1] >= target or at - self.starts[name][-1] < 5.0
        ]
        needed = len(former.members) if now[1] == "narrow" else len(former.members) // 2 + 1
        if len(able) < needed:
            self.violated(f"{step}: {len(able)} of {len(former.members)} can read {target}")

    def moved(self, former: Ring, ring: Ring):
        """A key goes from one that has less than before to one that has more, and no more go than have to."""
        moves = 0
        for number in range(SAMPLE):
            key = f"s/{number}".encode()
            here, there = owners(former, key, 1)[0], owners(ring, key, 1)[0]
            moves += here != there
            if here != there and all(
                former.member_by_name.get(name) == ring.member_by_name.get(name) for name in (here, there)
            ):
                return self.violated(f"epoch {ring.epoch}: a key moved from {here} to {there}, which stayed")
        share = minimal_movement(former, ring)
        if moves / SAMPLE > 2 * share / (1 + share) + ALLOWANCE:
            self.violated(f"epoch {ring.epoch}: {moves / SAMPLE:.2f} of the keys moved, {share:.2f} had to")

    # Marks

    def claimed(self, agent, message):
        if not message.attempt_id:
            return
        try:
            mark = record_codec.decode("s", message.record).attempts.get(message.attempt_id)
        except InvalidRecordError:
            mark = None
        if mark is None:
            return self.violated(f"{agent}: claims {message.attempt_id} without it")
        fixed = (message.key, mark.key, mark.repeat, mark.group, mark.window_ms, mark.workload, mark.sent_ms)
        if self.fixed.setdefault(message.attempt_id, fixed) != fixed:
            self.violated(f"{agent}: gave out {message.attempt_id} twice")
        self.until[message.attempt_id] = mark.expires_ms
        self.claims[agent, message.incarnation, message.request_id] = (
            message.key,
            mark.key,
            message.attempt_id,
            mark.expires_ms,
        )
        self.latest[agent, message.key, mark.key] = message.attempt_id

    def attempt_recorded(self, agent: str, at: float, record: str, key: str, own_copy):
        """A request that leaves a mark goes on: its mark has to be on enough owners. `own_copy`: the marks of
        the record at the agent itself, as it may be an owner."""
        by = self.latest.get((agent, record, key))
        ring = self.rings.get(self.ring_of.get(agent, b""))
        if by is None and ring is not None and len(ring.members) == 1:
            return  # nobody to tell
        has = {**self.writers[by], **({agent: None} if by in own_copy else {})}
        need = quorum(self.settings, ring).writes if ring else self.settings.write_by
        if len(has) < need:
            self.violated(f"{agent}: went on though {by} was written at {len(has)} of {need}")
        if by:
            self.attempt_records[record, by] = WrittenRecord(at, agent, self.until[by])

    def count_lost_records(self, copies: dict[str, dict], now: float, wall_ms: float) -> int:
        """Marks that are not over and that no copy has. `copies`: agent -> record -> its marks. There is no
        excuse for one unless as many agents as there are copies have been down at once since; as many as it
        was written to, where an owner may have been out of reach."""
        lost = 0
        for (record, by), each in self.attempt_records.items():
            if each.until_ms <= wall_ms or any(by in have.get(record, ()) for have in copies.values()):
                continue
            lost += 1
            down = self.down_at_once(each.at, now)
            most = self.settings.copies if self.unreached < each.at else self.settings.write_by
            if down < min(most, len(self.settings.seeds)):
                self.violated(f"{by}: lost, though no more than {down} agents were down at once")
        return lost

    def down_at_once(self, since: float, until: float) -> int:
        """One that comes back has nothing yet, and counts as down for SETTLE seconds more."""
        down = []
        for at, agent in self.deaths:
            back = next((start for start in self.starts[agent] if start >= at), until) + SETTLE
            if back >= since:
                down.append((max(at, since), back, agent))
        return max(
            (len({name for begin, end, name in down if begin <= at <= end}) for at, _, _ in down), default=0
        )

    # At the end

    def versions(self) -> list[tuple[float, int]]:
        """By whose rules limits were lent, since when; as the newest ring says."""
        found, newest = [(0.0, 1)], 0
        for mark, at in self.shown.items():
            ring = self.rings.get(mark)
            if ring and ring.epoch > newest:
                newest, version = ring.epoch, migration.governing_version(ring.written_version, ring.phase)
                if version != found[-1][1]:
                    found.append((at, version))
        return found

    def over(self, tenant: str) -> float:
        """The most by which the tenant was served over its limit, in any time. At most 0 is right.

        Runs a bucket of the limit over what was served, as a server of the whole fleet would have; anew
        where another version came to govern, and once with room for a change over the whole time.
        """
        limit, settings, times = self.limits[tenant], self.settings, sorted(self.admission_times[tenant])
        by_period = 2 * limit.rate * settings.period_s + settings.copies
        versions = self.versions()
        rest = settings.lease_s * (1 + settings.clock_drift) + 2 * settings.period_s
        worst = self.overfull(times, limit.rate, limit.burst + by_period)
        for (at, version), (end, _) in zip(versions, [*versions[1:], (float("inf"), 0)], strict=True):
            here = [each for each in times if (at + rest if at else 0.0) <= each < end]
            worst = max(worst, self.overfull(here, limit.rate, by_period if version == 1 else limit.burst))
        return worst

    def overfull(self, times, rate, most) -> float:
        level, last, worst = 0.0, 0.0, -most
        for at in times:
            level = max(0.0, level - rate * (at - last)) + 1.0
            worst, last = max(worst, level - most), at
        return worst

    def close(self) -> list[str]:
        for tenant in self.limits:
            over = self.over(tenant)
            if over > HAIR:
                self.violated(f"{tenant}: served {over:.2f} over its limit")
        return self.violations

    def check_equal(self, copies: dict[str, bytes], what: str):
        if len(set(copies.values())) > 1:
            self.violated(
                f"{what}: copies differ: "
                + ", ".join(f"{name} {value.hex()[:8]}" for name, value in sorted(copies.items()))
            )
