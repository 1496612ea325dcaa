"""The invariant of write quorums: a request goes on only when enough owners have its attempt record.

What was written is told from the replication messages on the network alone.
"""

from collections import defaultdict
from collections.abc import Callable, Collection, Mapping
from typing import Any, NamedTuple

from cartdeal.fleet.errors import InvalidRecordError
from cartdeal.fleet.replication import messages, record_codec
from cartdeal.fleet.replication.catch_up import quorum
from cartdeal.fleet.ring.ring import Ring
from cartdeal.fleet.settings import FleetSettings
from cartdeal.fleet.simulation.agent_history import AgentHistory


class WrittenRecord(NamedTuple):
    """An attempt record of a request that went on: its agent said that it was written."""

    at: float
    agent: str
    until_ms: int


class WriteQuorumChecker:
    """Attempt records, by their identifiers, and which agents have said that they wrote them."""

    def __init__(self, settings: FleetSettings, history: AgentHistory, report: Callable[[str], None]):
        self.settings = settings
        self.history = history
        self.report = report
        self.fixed_fields: dict[str, tuple[object, ...]] = {}  # attempt -> what never changes of it
        self.expires_ms: dict[str, int] = {}
        self.attempt_of_write: dict[
            tuple[str, int, int], str
        ] = {}  # (agent, incarnation, request) -> attempt
        self.latest_attempt: dict[
            tuple[str, str, str], str
        ] = {}  # (agent, record, idempotency key) -> attempt
        self.writers: dict[str | None, dict[str, None]] = defaultdict(dict)
        self.attempt_records: dict[tuple[str, str], WrittenRecord] = {}  # by record and attempt
        self.last_unreachable = -1.0  # when a message last met a cut, or an agent that was stopped

    def recipient_unreachable(self, at: float) -> None:
        """Takes in that a message met a cut, or an agent that was stopped."""
        self.last_unreachable = at

    def write_requested(self, agent: str, message: messages.WriteRequest) -> None:
        """Checks a write: it has the record that it names, and no identifier is used for two attempts."""
        attempt_id = message.attempt_id
        if not attempt_id:
            return
        attempt = self._decode_attempt(message)
        if attempt is None:
            self.report(f"{agent}: claims {attempt_id} without it")
            return
        fixed_fields = (
            message.key,
            attempt.key,
            attempt.repeat,
            attempt.group,
            attempt.window_ms,
            attempt.workload,
            attempt.sent_ms,
        )
        if self.fixed_fields.setdefault(attempt_id, fixed_fields) != fixed_fields:
            self.report(f"{agent}: gave out {attempt_id} twice")
        self.expires_ms[attempt_id] = attempt.expires_ms
        self.attempt_of_write[agent, message.incarnation, message.request_id] = attempt_id
        self.latest_attempt[agent, message.key, attempt.key] = attempt_id

    def _decode_attempt(self, message: messages.WriteRequest) -> Any:
        try:
            record: Any = record_codec.decode("s", message.record)
        except InvalidRecordError:
            return None
        return record.attempts.get(message.attempt_id)

    def write_answered(self, owner: str, writer: str, message: messages.WriteResponse) -> None:
        """Takes in that an owner wrote an attempt record."""
        attempt_id = self.attempt_of_write.get((writer, message.incarnation, message.request_id))
        if message.written and attempt_id is not None:
            self.writers[attempt_id][owner] = None

    def attempt_recorded(
        self, agent: str, at: float, record: str, key: str, own_copy: Collection[str], ring: Ring | None
    ) -> None:
        """Checks that enough owners have the attempt record of a request that goes on.

        Args:
            agent: The agent that lets the request go on.
            at: When it does, in simulated seconds.
            record: The key of the session's record.
            key: The request's idempotency key.
            own_copy: The attempts in the agent's own copy of the record, since it may be an owner.
            ring: The ring that the agent goes by.
        """
        attempt_id = self.latest_attempt.get((agent, record, key))
        if attempt_id is None and ring is not None and len(ring.members) == 1:
            return  # it has nobody to send it to
        writers = set(self.writers[attempt_id])
        if attempt_id in own_copy:
            writers.add(agent)
        needed = quorum(self.settings, ring).writes if ring else self.settings.write_by
        if len(writers) < needed:
            self.report(f"{agent}: went on though {attempt_id} was written at {len(writers)} of {needed}")
        if attempt_id:
            self.attempt_records[record, attempt_id] = WrittenRecord(at, agent, self.expires_ms[attempt_id])

    def count_lost_records(
        self, attempt_ids: Mapping[str, Mapping[str, Collection[str]]], now: float, wall_ms: float
    ) -> int:
        """Counts attempt records that have not expired and that no agent has.

        There is no excuse for one unless as many agents as there are copies have been down at once since; as
        many as it was written to, where an owner may have been out of reach.

        Args:
            attempt_ids: Agent -> record -> the attempts in its copy.
            now: Simulated seconds.
            wall_ms: The wall clock by which records expire.
        """
        lost = 0
        for (record, attempt_id), written in self.attempt_records.items():
            if written.until_ms <= wall_ms:
                continue
            if any(attempt_id in copies.get(record, ()) for copies in attempt_ids.values()):
                continue
            lost += 1
            down = self.history.max_down_at_once(written.at, now)
            all_reachable = self.last_unreachable < written.at
            copies_made = self.settings.copies if all_reachable else self.settings.write_by
            if down < min(copies_made, len(self.settings.seeds)):
                self.report(f"{attempt_id}: lost, though no more than {down} agents were down at once")
        return lost
