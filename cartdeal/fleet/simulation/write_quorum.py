"""The invariant of write quorums: a request is admitted only when enough owners have its attempt record.

The checker learns of writes from the replication messages on the network alone.
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
    """The attempt record of an admitted request, which its agent takes as written."""

    at: float
    agent: str
    expires_ms: int


class WriteQuorumChecker:
    """Attempt records by their identifiers, and the agents that have confirmed to have written them."""

    def __init__(self, settings: FleetSettings, history: AgentHistory, report: Callable[[str], None]):
        self.settings = settings
        self.history = history
        self.report = report
        self.fixed_fields: dict[str, tuple[object, ...]] = {}  # attempt -> its unchanging fields
        self.expires_ms: dict[str, int] = {}
        # (agent, incarnation, number of the write request) -> attempt
        self.attempt_of_write: dict[tuple[str, int, int], str] = {}
        # (agent, record, idempotency key) -> attempt
        self.latest_attempt: dict[tuple[str, str, str], str] = {}
        # attempt -> the agents that have its record
        self.owners_with_record: dict[str | None, dict[str, None]] = defaultdict(dict)
        self.attempt_records: dict[tuple[str, str], WrittenRecord] = {}  # by record and attempt
        self.last_unreachable_at = -1.0  # when a message was last lost at a cut, or went to a stopped agent

    def on_recipient_unreachable(self, at: float) -> None:
        """Records that a message was lost at a cut, or went to a stopped agent."""
        self.last_unreachable_at = at

    def on_write_request(self, agent: str, message: messages.WriteRequest) -> None:
        """Checks that a write has the attempt that it names, and that identifiers are unique."""
        attempt_id = message.attempt_id
        if not attempt_id:
            return
        attempt = self._decode_attempt(message)
        if attempt is None:
            self.report(f"{agent}: writes {attempt_id} without its record")
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
            self.report(f"{agent}: used {attempt_id} twice")
        self.expires_ms[attempt_id] = attempt.expires_ms
        self.attempt_of_write[agent, message.incarnation, message.request_id] = attempt_id
        self.latest_attempt[agent, message.key, attempt.key] = attempt_id

    def _decode_attempt(self, message: messages.WriteRequest) -> Any:
        try:
            record: Any = record_codec.decode("s", message.record)
        except InvalidRecordError:
            return None
        return record.attempts.get(message.attempt_id)

    def on_write_response(self, owner: str, requester: str, message: messages.WriteResponse) -> None:
        """Records that an owner wrote an attempt record."""
        attempt_id = self.attempt_of_write.get((requester, message.incarnation, message.request_id))
        if message.written and attempt_id is not None:
            self.owners_with_record[attempt_id][owner] = None

    def on_attempt_recorded(
        self,
        agent: str,
        at: float,
        record: str,
        key: str,
        own_attempt_ids: Collection[str],
        ring: Ring | None,
    ) -> None:
        """Checks that enough owners have the attempt record of an admitted request.

        Args:
            agent: The agent that admits the request.
            at: When it does, in simulated seconds.
            record: The key of the session's record.
            key: The request's idempotency key.
            own_attempt_ids: The attempts in the agent's own copy of the record, since it may be an owner.
            ring: The ring that the agent uses.
        """
        attempt_id = self.latest_attempt.get((agent, record, key))
        if attempt_id is None and ring is not None and len(ring.members) == 1:
            return  # the only member writes to no other agent
        agents_with_record = set(self.owners_with_record[attempt_id])
        if attempt_id in own_attempt_ids:
            agents_with_record.add(agent)
        needed = quorum(self.settings, ring).writes if ring else self.settings.write_by
        if len(agents_with_record) < needed:
            self.report(
                f"{agent}: admitted a request though {attempt_id} was written at "
                f"{len(agents_with_record)} of {needed}"
            )
        if attempt_id:
            self.attempt_records[record, attempt_id] = WrittenRecord(at, agent, self.expires_ms[attempt_id])

    def count_lost_records(
        self, attempt_ids: Mapping[str, Mapping[str, Collection[str]]], now: float, wall_ms: float
    ) -> int:
        """Counts attempt records that have not expired and that no agent has.

        A lost record is a violation unless, since it was written, as many agents were down at once as there
        are copies. If a message was lost at a cut or went to a stopped agent at the time of the write or
        later, the write quorum is used instead of the number of copies.

        Args:
            attempt_ids: Agent -> record -> the attempts in its copy.
            now: Simulated seconds.
            wall_ms: The wall clock by which records expire.
        """
        lost = 0
        for (record, attempt_id), written in self.attempt_records.items():
            if written.expires_ms <= wall_ms:
                continue
            if any(attempt_id in copies.get(record, ()) for copies in attempt_ids.values()):
                continue
            lost += 1
            down = self.history.max_simultaneous_outages(written.at, now)
            all_reachable = self.last_unreachable_at < written.at
            copies_made = self.settings.copies if all_reachable else self.settings.write_by
            if down < min(copies_made, len(self.settings.seeds)):
                self.report(f"{attempt_id}: lost, though no more than {down} agents were down at once")
        return lost
