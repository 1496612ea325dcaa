"""State that the roles of the consensus share: the current ring, live agents, proposals and their backoff."""

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
    """The fields of a live agent that the consensus and the schema migration read."""

    @property
    def name(self) -> str:
        """The agent's name in the ring."""

    @property
    def state(self) -> int:
        """The agent's state in the failure detector; 0 is alive."""

    @property
    def reads(self) -> tuple[int, int]:
        """The lowest and the highest schema version that the agent's program can read."""

    @property
    def migrated_version(self) -> int:
        """The schema version of all records that the agent stores."""

    @property
    def caught_up_epoch(self) -> int:
        """The last epoch for which the agent's catch-up is complete."""


class EpochState:
    """The current ring and the live agents, for all roles; only learner.py replaces the ring."""

    def __init__(self, context: NodeContext, settings: FleetSettings) -> None:
        self.context = context
        self.settings = settings
        # The seeds vote for the ring of epoch 1.
        self.seed_ring = Ring(0, tuple(RingMember(name, "", 1.0) for name in sorted(settings.seeds)))
        self.ring: Ring | None = None
        self.previous_ring: Ring | None = None  # of the previous epoch; None before the second
        self.ring_learned_at = context.now
        self.last_step: RingStep | None = None  # the step that led to the current ring
        self.last_step_base = self.seed_ring  # the ring that the last step started from
        self.started_at = context.now
        self.live: Mapping[str, Peer] = {}
        self.index_by_name = self._index_members()

    def adopt(self, previous: Ring, step: RingStep, ring: Ring) -> None:
        """Make a decided ring the current one; `step` leads to it from `previous`."""
        self.ring = ring
        self.previous_ring = previous if previous.epoch else None
        self.last_step = step
        self.last_step_base = previous
        self.ring_learned_at = self.context.now
        self.index_by_name = self._index_members()

    @property
    def current_ring(self) -> Ring:
        """The ring whose members vote for the next epoch: the last one learnt, or at first the seed ring."""
        return self.ring or self.seed_ring

    @property
    def is_member(self) -> bool:
        """Whether this agent is a member of the current ring."""
        return self.context.name in self.index_by_name

    @property
    def remembers_promises(self) -> bool:
        """Whether all ballots that this agent may have answered before its restart are over (2 * lease_s)."""
        return self.context.now - self.started_at >= 2 * self.settings.lease_s

    def send(self, recipient: str, message_type: type[RingMessage], *fields: object) -> None:
        """Send a message of this type with the epoch and digest of the current ring."""
        self.context.send(recipient, message_type(self.current_ring.epoch, self.current_ring.digest, *fields))

    def next_ring(self, step: RingStep) -> Ring | None:
        """Return the ring that a step leads to from the current one, or None if it is not valid."""
        return self.valid_successor(self.current_ring, step)

    def valid_successor(self, previous: Ring, step: RingStep) -> Ring | None:
        """Return the ring that a step leads to from `previous`, or None if it is not valid."""
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
    """The time before which this agent starts no ballot (local seconds), and the next delay."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Clear the backoff when a new epoch begins."""
        self.until = -inf
        self._delay_s = FIRST_BACKOFF_S

    def defer(self, until: float) -> None:
        """Start no ballot before `until`, because another agent runs one."""
        self.until = max(self.until, until)

    def grow(self, now: float, random: Random) -> None:
        """Back off after an abandoned ballot; the delay doubles each time, up to MAX_BACKOFF_S."""
        self.until = now + self._delay_s * (0.5 + random.random())
        self._delay_s = min(2 * self._delay_s, MAX_BACKOFF_S)


class Proposal(Struct):
    """A ballot that this agent runs.

    It ends within lease_s, won or abandoned. Restarted acceptors rely on that.
    """

    number: int
    step: RingStep
    removed: tuple[str, ...]
    ends_at: float
    resend_at: float  # when the ballot is next sent to the acceptors without an answer
    promises: dict[str, "AcceptedStep | None"] = {}  # acceptor -> the step that it had accepted, or None
    refusals: dict[str, str] = {}  # acceptor -> a RefusalReason
    accepting: bool = False  # true in phase 2
    accepted: dict[str, bool] = {}


class AcceptedStep(Struct, frozen=True):
    """The step that an acceptor has accepted, and the ballot of the step."""

    ballot: tuple[int, str]  # (number, proposer)
    step: RingStep
