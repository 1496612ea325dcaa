"""What the parts of the consensus share: the ring in force, live agents, proposals and their backoff."""

from collections.abc import Mapping
from math import inf
from random import Random
from typing import Protocol

from msgspec import Struct

from cartdeal.fleet.consensus.messages import RingMessage
from cartdeal.fleet.context import NodeContext
from cartdeal.fleet.ring.damping import LivePeer
from cartdeal.fleet.ring.ring import Ring, RingMember, is_valid_ring
from cartdeal.fleet.ring.steps import RingStep, apply_step
from cartdeal.fleet.settings import FleetSettings

FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 4.0


class Peer(LivePeer, Protocol):
    """What the consensus reads of a live agent, and the schema's migration through it."""

    @property
    def name(self) -> str:
        """Its name in the ring."""

    @property
    def state(self) -> int:
        """The failure detector's state; 0: alive."""

    @property
    def reads(self) -> tuple[int, int]:
        """The lowest and the highest schema version that its program reads."""

    @property
    def migrated_version(self) -> int:
        """The schema version that all its records are in."""

    @property
    def caught_up_epoch(self) -> int:
        """The last epoch for which it has caught up on all its records."""


class EpochState:
    """The ring in force, as all parts see it; learner.py alone changes it."""

    def __init__(self, context: NodeContext, settings: FleetSettings) -> None:
        self.context = context
        self.settings = settings
        # The names of the seeds vote for epoch 1.
        self.seed_ring = Ring(0, tuple(RingMember(name, "", 1.0) for name in sorted(settings.seeds)))
        self.ring: Ring | None = None
        self.previous_ring: Ring | None = None  # of the epoch before; None before the second
        self.ring_learned_at = context.now
        self.last_step: RingStep | None = None  # the step that led to the ring in force
        self.last_step_base = self.seed_ring  # the ring that it started from
        self.started_at = context.now
        self.live: Mapping[str, Peer] = {}
        self.index_by_name = self._index_members()

    def adopt(self, previous: Ring, step: RingStep, ring: Ring) -> None:
        """Puts a decided ring into force."""
        self.ring = ring
        self.previous_ring = previous if previous.epoch else None
        self.last_step = step
        self.last_step_base = previous
        self.ring_learned_at = self.context.now
        self.index_by_name = self._index_members()

    @property
    def current_ring(self) -> Ring:
        """The ring whose members vote for the next epoch: the one in force, or at first the seeds'."""
        return self.ring or self.seed_ring

    @property
    def is_member(self) -> bool:
        """Whether this agent is a member of the ring in force."""
        return self.context.name in self.index_by_name

    @property
    def remembers_promises(self) -> bool:
        """Whether this process has been there long enough to say what it promised."""
        return self.context.now - self.started_at >= 2 * self.settings.lease_s

    def send(self, recipient: str, message_type: type[RingMessage], *fields: object) -> None:
        """Sends a message under the header of the ring in force."""
        self.context.send(recipient, message_type(self.current_ring.epoch, self.current_ring.digest, *fields))

    def next_ring(self, step: RingStep) -> Ring | None:
        """The ring that a step leads to from the one in force; None where it can't be used."""
        return self.valid_successor(self.current_ring, step)

    def valid_successor(self, previous: Ring, step: RingStep) -> Ring | None:
        """The ring that a step leads to from `previous`; None where it can't be used."""
        try:
            ring = apply_step(previous, step)
        except ValueError:
            return None
        if ring.epoch != previous.epoch + 1 or not is_valid_ring(ring, self.settings.most_agents):
            return None
        return ring

    def _index_members(self) -> dict[str, int]:
        return {name: index for index, name in enumerate(self.current_ring.names)}


class ProposalBackoff:
    """The time before which this agent starts no ballot of its own."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forgets the ballots of the epoch before."""
        self.until = -inf
        self._delay_s = FIRST_BACKOFF_S

    def defer(self, until: float) -> None:
        """Gives way to another agent's ballot."""
        self.until = max(self.until, until)

    def grow(self, now: float, random: Random) -> None:
        """Waits longer after each ballot that was given up."""
        self.until = now + self._delay_s * (0.5 + random.random())
        self._delay_s = min(2 * self._delay_s, MAX_BACKOFF_S)


class Proposal(Struct):
    """A ballot of this agent's own.

    It ends within lease_s, won or not: an acceptor that restarts counts on that.
    """

    number: int
    step: RingStep
    removed: tuple[str, ...]
    ends_at: float
    resend_at: float  # when those that are silent are asked once more
    promises: dict[str, "AcceptedStep | None"] = {}  # acceptor -> what it had accepted
    refusals: dict[str, str] = {}  # acceptor -> reason
    accepting: bool = False  # phase 2
    accepted: dict[str, bool] = {}


class AcceptedStep(Struct, frozen=True):
    """What an acceptor has accepted, and by which ballot."""

    ballot: tuple[int, str]  # number, proposer
    step: RingStep
