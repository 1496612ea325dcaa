"""The simulated network: it drops, delays, duplicates and reorders messages, and may be cut one way or both.

Every message goes through the codec, as on sockets. The network must change a node by its events alone.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from random import Random
from typing import TYPE_CHECKING, Any

from msgspec import Struct

from cartdeal.fleet import codec
from cartdeal.fleet.effects import SendMessage
from cartdeal.fleet.node import Node
from cartdeal.fleet.simulation.invariant_checker import InvariantChecker
from cartdeal.simulated_time import SimulatedClock

if TYPE_CHECKING:
    from cartdeal.fleet.simulation.host import SimulatedHost

STREAM_LOSS_FACTOR = 0.3  # streams retransmit, and lose only the messages in flight when they break


class NetworkConditions(Struct):
    """The faults and delays of the network; rates are shares of messages, from 0 to 1, and times seconds."""

    loss_rate: float = 0.0
    duplication_rate: float = 0.0
    least_s: float = 0.001  # shortest delay
    jitter_s: float = 0.002  # longest random addition to it
    late_rate: float = 0.0  # share of messages with a further delay of up to `max_late_s`
    max_late_s: float = 5.0


class SimulatedNetwork:
    """Carries messages between hosts, and counts them and their bytes."""

    def __init__(
        self,
        clock: SimulatedClock,
        hosts: dict[str, SimulatedHost],
        checker: InvariantChecker,
        random: Random,
        conditions: NetworkConditions,
    ):
        self.clock = clock
        self.hosts = hosts
        self.checker = checker
        self.random = random
        self.conditions = conditions
        self.cuts: set[tuple[str, str]] = set()  # (sender, recipient) between which nothing passes
        self.message_count = 0
        self.messages_by_tag: Counter[str] = Counter()
        self.bytes_by_sender: Counter[str] = Counter()
        self.bytes_by_tag: Counter[str] = Counter()

    def cut(self, *sides: Collection[str]) -> None:
        """Cuts the sides off from each other, in both directions."""
        for side in sides:
            for other in sides:
                if side is not other:
                    self.cut_inbound(side, other)

    def cut_inbound(self, senders: Collection[str], recipients: Collection[str]) -> None:
        """Cuts one direction: nothing from `senders` reaches `recipients`."""
        self.cuts |= {(sender, recipient) for sender in senders for recipient in recipients}

    def heal(self) -> None:
        """Ends all cuts."""
        self.cuts = set()

    def send(self, host: SimulatedHost, node: Node, effect: SendMessage) -> None:
        """Encodes a node's message, and schedules its deliveries by the network's conditions."""
        message, recipient = effect.message, effect.recipient
        message_type: Any = type(message)
        data = codec.encode(
            host.settings, node.name, node.incarnation, node.address, int(node.wall * 1e3), message
        )
        self._count(node.name, str(message_type.__struct_config__.tag), len(data))
        self.checker.on_message_sent(self.clock.now, node.name, node.incarnation, recipient, message)
        target = self.hosts.get(recipient)
        is_cut = (node.name, recipient) in self.cuts
        if is_cut or (target and target.is_stopped):
            self.checker.on_recipient_unreachable(self.clock.now)
        if target is None or target.settings.address != effect.address or is_cut:
            return
        self._schedule_deliveries(node.name, target, data, is_datagram=message_type.DATAGRAM)

    def _count(self, sender: str, tag: str, size_bytes: int) -> None:
        self.message_count += 1
        self.messages_by_tag[tag] += 1
        self.bytes_by_sender[sender] += size_bytes
        self.bytes_by_tag[tag] += size_bytes

    def _schedule_deliveries(
        self, sender: str, target: SimulatedHost, data: bytes, *, is_datagram: bool
    ) -> None:
        conditions, random = self.conditions, self.random
        loss_rate = conditions.loss_rate * (1.0 if is_datagram else STREAM_LOSS_FACTOR)
        for _ in range(1 + (random.random() < conditions.duplication_rate)):
            if random.random() < loss_rate:
                continue
            delay_s = conditions.least_s + conditions.jitter_s * random.random()
            if conditions.late_rate and random.random() < conditions.late_rate:
                delay_s += conditions.max_late_s * random.random()
            self.clock.after(delay_s, self._deliver, sender, target, data)

    def _deliver(self, sender: str, target: SimulatedHost, data: bytes) -> None:
        if target.node is None or (sender, target.settings.name) in self.cuts:
            return
        target.dispatch(target.node.on_message, *codec.decode(target.settings, data))
