"""Anti-entropy: two owners compare digests by range, then by key, and fetch the records that differ.

This module owns the sessions with peers. Wherever possible the size of a message must grow with the number of
records that differ, not with the number that are stored. A session must never count as catch-up unless all of
its records were merged.
"""

from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.replication.catch_up import ALL_RANGES, RANGE_COUNT, CatchUpReason, range_of
from cartdeal.fleet.replication.epoch_guard import EpochGuard
from cartdeal.fleet.replication.hinted_handoff import MAX_DELIVERY_BYTES, MAX_SENT_RECORDS
from cartdeal.fleet.replication.messages import (
    DigestRequest,
    DigestResponse,
    FetchRequest,
    FetchResponse,
    HintDelivery,
    KeyListRequest,
    KeyListResponse,
    ReplicationMessage,
)
from cartdeal.fleet.replication.record_store import RANGE_DIGEST_BYTES, RecordStore
from cartdeal.fleet.replication.ring_view import RingView

MAX_KEYS_IN_MESSAGE = 400
# Before an unanswered request is repeated, times the number of tries. Also half of the first pause between
# two catch-up sessions with one source.
RETRY_PAUSE_S = 0.25
# Longest pause between two catch-up sessions with one source; multiplied by a 32nd of the number of sources
# if there are more than 32.
MAX_CATCH_UP_PAUSE_S = 5.0
COMPARISON_INTERVAL_S = 1.0
MAX_ATTEMPTS = 4  # times that a session sends the same request
MAX_SESSIONS = 8  # sessions open at a time
NO_RANGE = -1  # value of range_index before the first range is compared


class AntiEntropySession:
    """A comparison with one peer; at most one request is in flight."""

    __slots__ = (
        "attempts",
        "counts_as_catch_up",
        "current_ranges",
        "former_ranges",
        "keys_to_fetch",
        "last_key",
        "peer_digests",
        "range_index",
        "range_is_complete",
        "ranges_to_compare",
        "request",
        "sent_at",
    )

    def __init__(self, counts_as_catch_up: bool) -> None:
        self.counts_as_catch_up = counts_as_catch_up
        self.request: ReplicationMessage | None = None
        self.sent_at = 0.0
        self.attempts = 0
        self.former_ranges = 0  # bit mask: ranges in which the peer counts as a source for the former ring
        self.current_ranges = 0  # the same for the current ring
        self.ranges_to_compare: list[int] = []
        self.range_index = 0
        self.last_key = ""  # last key of the range that has been compared
        self.range_is_complete = False
        self.keys_to_fetch: list[str] = []
        self.peer_digests: dict[str, bytes] = {}  # key to fetch -> digest of the peer's record


class AntiEntropy:
    """Runs sessions with random co-owners, with sources of catch-up, and with all co-owners at shutdown."""

    def __init__(self, view: RingView, store: RecordStore, guard: EpochGuard) -> None:
        self.view = view
        self.context = view.context
        self.store = store
        self.guard = guard
        self.sessions: dict[str, AntiEntropySession] = {}
        # source -> (time of the next session, pause in seconds)
        self.next_catch_up: dict[str, tuple[float, float]] = {}
        self.next_comparison_at = view.started_at + COMPARISON_INTERVAL_S * self.context.random.random()
        self.shutdown_peers: dict[str, None] | None = None  # None until shutdown begins

    # Session lifecycle

    def tick(self, now: float) -> None:
        """Repeats unanswered requests and begins the sessions that are due."""
        self._retry(now)
        self._request_catch_up(now)
        for peer in list(self.shutdown_peers or ()):
            self.begin_session(peer)
        if now >= self.next_comparison_at:
            self.next_comparison_at = now + COMPARISON_INTERVAL_S * self.view.jitter()
            self._compare_with_random_peer()

    def start_shutdown(self) -> None:
        """Compares with each co-owner once, so that it gets the records that it lacks."""
        self.shutdown_peers = dict.fromkeys(sorted(self.store.peer_digests))

    def begin_session(self, peer: str) -> None:
        """Begins a session with a peer.

        Does nothing while a session with the peer is open, MAX_SESSIONS are open, or the owners of some
        records are unknown.
        """
        if peer in self.sessions or len(self.sessions) >= MAX_SESSIONS or self.store.unplaced_ranges:
            return
        catch_up = self.view.catch_up
        assert catch_up is not None
        counts_as_catch_up = (
            catch_up.reason != CatchUpReason.RESTARTED or self.view.now >= catch_up.reports_valid_at
        )
        session = self.sessions[peer] = AntiEntropySession(counts_as_catch_up)
        request_id = self.view.next_request_id()
        digest = self.store.combined_digest(peer)
        request = DigestRequest(request_id, self.view.incarnation, self.view.epoch, digest)
        self._send_request(peer, session, request)

    def _end_session(self, peer: str) -> None:
        del self.sessions[peer]
        if self.shutdown_peers is not None:
            self.shutdown_peers.pop(peer, None)

    def _compare_with_random_peer(self) -> None:
        ring = self.view.ring
        assert ring is not None
        peers = sorted(self.store.peer_digests) or [name for name in ring.names if name != self.view.name]
        if peers and self.view.is_member:
            self.begin_session(self.context.random.choice(peers))

    def _retry(self, now: float) -> None:
        for peer, session in list(self.sessions.items()):
            if now < session.sent_at + RETRY_PAUSE_S * session.attempts:
                continue
            if session.attempts >= MAX_ATTEMPTS:
                self._end_session(peer)
            else:
                assert session.request is not None
                session.attempts += 1
                session.sent_at = now
                self.context.send(peer, session.request)

    def _request_catch_up(self, now: float) -> None:
        catch_up = self.view.catch_up
        assert catch_up is not None
        if self.store.unplaced_ranges or catch_up.is_complete(now) or not self.view.is_member:
            return
        if self.view.hands_off_by_key:
            return
        for source in catch_up.sources:
            if source in self.sessions or len(self.sessions) >= MAX_SESSIONS:
                continue
            retry_at, pause = self.next_catch_up.get(source, (0.0, RETRY_PAUSE_S))
            if self._has_caught_up_with(source) or now < retry_at:
                continue
            pause = min(2 * pause, MAX_CATCH_UP_PAUSE_S * max(1.0, len(catch_up.sources) / 32))
            if catch_up.reason == CatchUpReason.RESTARTED and now < catch_up.reports_valid_at:
                # The source's records are fetched now, but its report counts only in a session that begins at
                # `reports_valid_at` or later.
                retry_at = max(catch_up.reports_valid_at, now + RETRY_PAUSE_S)
            else:
                retry_at = now + pause * self.view.jitter()
            self.next_catch_up[source] = (retry_at, pause)
            self.begin_session(source)

    def _has_caught_up_with(self, source: str) -> bool:
        catch_up = self.view.catch_up
        assert catch_up is not None
        if catch_up.reason == CatchUpReason.FIRST_RING:
            return source in catch_up.fresh_start_confirmations
        if self.view.has_many_sources:
            # One report is enough: the session fetches the records, and read repair finds out for each key
            # which sources count.
            return source in catch_up.current_ring_reports
        if catch_up.reason == CatchUpReason.OWNERSHIP_CHANGED:
            return catch_up.former_ring_reports.get(source, 0) == ALL_RANGES
        return catch_up.current_ring_reports.get(source, 0) == ALL_RANGES

    # Requester

    def _send_request(self, peer: str, session: AntiEntropySession, request: ReplicationMessage) -> None:
        session.request = request
        session.sent_at = self.view.now
        session.attempts = 1
        self.context.send(peer, request)

    def _session_of(
        self, sender: str, message: ReplicationMessage, request_type: type[ReplicationMessage]
    ) -> AntiEntropySession | None:
        """The session whose open request this message answers; None, with a counter, if there is none."""
        session = self.sessions.get(sender)
        if (
            session is None
            or session.request is None
            or message.request_id != session.request.request_id
            or message.incarnation != self.view.incarnation
            or type(session.request) is not request_type
            or message.epoch != self.view.epoch
        ):
            self.context.increment(Metric.DROPPED_LATE_ANSWER)
            return None
        return session

    def on_digest_response(self, sender: str, message: DigestResponse) -> None:
        """Compares the peer's digests by range with this agent's, and begins with the ranges that differ."""
        session = self._session_of(sender, message, DigestRequest)
        if session is None or len(message.range_digests) not in (0, RANGE_DIGEST_BYTES * RANGE_COUNT):
            return
        catch_up = self.view.catch_up
        assert catch_up is not None
        if message.knows_other_incarnation and catch_up.reason == CatchUpReason.FIRST_RING:
            catch_up.mark_restarted()
            for each in self.sessions.values():
                # It began before `reports_valid_at`: until then, no report to a restarted agent counts.
                each.counts_as_catch_up = False
        elif catch_up.reason == CatchUpReason.FIRST_RING and sender in catch_up.other_members:
            catch_up.fresh_start_confirmations[sender] = None
        is_same_former = (
            catch_up.former_ring is not None and message.former_epoch == catch_up.former_ring.epoch
        )
        session.former_ranges = message.former_ranges if is_same_former else 0
        session.current_ranges = message.current_ranges
        session.ranges_to_compare = self._differing_ranges(sender, session, message)
        self.context.random.shuffle(session.ranges_to_compare)
        session.range_is_complete = True
        session.range_index = NO_RANGE
        self._continue(sender, session)

    def _differing_ranges(self, peer: str, session: AntiEntropySession, message: DigestResponse) -> list[int]:
        """Returns the ranges to compare key by key.

        The other ranges count as caught up with the peer, if the session counts as catch-up.
        """
        catch_up = self.view.catch_up
        assert catch_up is not None
        own_digests = self.store.range_digests(peer)
        differing_ranges = []
        for index in range(RANGE_COUNT):
            digest_slice = slice(RANGE_DIGEST_BYTES * index, RANGE_DIGEST_BYTES * (index + 1))
            reported_ranges = catch_up.former_ring_reports.get(peer, 0) | catch_up.current_ring_reports.get(
                peer, 0
            )
            # Whether the range has records that this agent owns and the peer only stores.
            has_unowned_records = message.unowned_ranges & ~reported_ranges & 1 << index
            if has_unowned_records or (
                message.range_digests and message.range_digests[digest_slice] != own_digests[digest_slice]
            ):
                differing_ranges.append(index)
            else:
                self._count_as_caught_up(peer, session, 1 << index)
        return differing_ranges

    def _count_as_caught_up(self, peer: str, session: AntiEntropySession, ranges: int) -> None:
        if session.counts_as_catch_up:
            assert self.view.catch_up is not None
            self.view.catch_up.record_report(
                peer, session.former_ranges & ranges, session.current_ranges & ranges
            )

    def _continue(self, peer: str, session: AntiEntropySession) -> None:
        """Sends the next request: for records that differ, else for the next page of keys or the next range.

        Ends the session if no range is left.
        """
        incarnation, epoch = self.view.incarnation, self.view.epoch
        if session.keys_to_fetch:
            keys = tuple(session.keys_to_fetch[:MAX_KEYS_IN_MESSAGE])
            fetch = FetchRequest(self.view.next_request_id(), incarnation, epoch, keys)
            self._send_request(peer, session, fetch)
            return
        if session.range_is_complete:
            if session.range_index != NO_RANGE:
                self._count_as_caught_up(peer, session, 1 << session.range_index)
            if not session.ranges_to_compare:
                self._end_session(peer)
                return
            session.range_index = session.ranges_to_compare.pop()
            session.last_key = ""
            session.range_is_complete = False
        request_id = self.view.next_request_id()
        key_list = KeyListRequest(request_id, incarnation, epoch, session.range_index, session.last_key)
        self._send_request(peer, session, key_list)

    def on_key_list_response(self, sender: str, message: KeyListResponse) -> None:
        """Compares a page of keys: fetches the records that differ and sends those that the peer lacks."""
        session = self._session_of(sender, message, KeyListRequest)
        is_empty = not message.entries and not message.is_last_page
        if session is None or len(message.entries) > MAX_KEYS_IN_MESSAGE or is_empty:
            return
        peer_digests = {
            key: digest
            for key, digest in message.entries
            if key > session.last_key and range_of(key) == session.range_index and self.view.owns(key)
        }
        last_key = message.entries[-1][0] if message.entries else ""
        if not message.is_last_page and last_key <= session.last_key:
            self.sessions.pop(sender, None)
            return
        session.keys_to_fetch = [
            key
            for key, digest in peer_digests.items()
            if key not in self.store.records or self.store.key_digest(key) != digest
        ]
        session.peer_digests = {key: peer_digests[key] for key in session.keys_to_fetch}
        missing_keys = [
            key
            for key in self.store.keys_owned_with(sender, session.range_index, session.last_key)
            if key not in peer_digests and (message.is_last_page or key <= last_key)
        ]
        self._send_records(sender, missing_keys)
        session.last_key = last_key
        session.range_is_complete = message.is_last_page
        self._continue(sender, session)

    def on_fetch_response(self, sender: str, message: FetchResponse) -> None:
        """Merges fetched records, and sends back those that differ from the peer's after the merge."""
        session = self._session_of(sender, message, FetchRequest)
        if session is None or not 0 < message.count <= len(session.keys_to_fetch):
            return
        keys = session.keys_to_fetch[: message.count]
        session.keys_to_fetch = session.keys_to_fetch[message.count :]
        fetched_records = dict(message.records[:MAX_KEYS_IN_MESSAGE])
        keys_to_return = []
        for key in keys:
            if key not in fetched_records:
                continue
            record = self.store.decode_received(key, fetched_records[key])
            if record is None or not self.store.merge(key, record):
                # A record was not merged, so the rest of the session does not count as catch-up.
                session.former_ranges = session.current_ranges = 0
                continue
            stored = self.store.records.get(key)
            if stored is None or self.store.key_digest(key) == session.peer_digests[key]:
                continue
            if {sender, self.view.name} <= set(stored.owners):
                keys_to_return.append(key)
        self._send_records(sender, keys_to_return)
        self._continue(sender, session)

    def _send_records(self, peer: str, keys: list[str]) -> None:
        """Sends records that a co-owner lacks or has in another state.

        The next comparison finds those that were lost on the way.
        """
        batch: list[tuple[str, bytes]] = []
        size = 0
        for key in keys:
            record = self.store.get(key)
            data = self.store.encode_to_send(key, record) if record is not None else None
            if data is None:
                continue
            if batch and (size + len(data) > MAX_DELIVERY_BYTES or len(batch) >= MAX_SENT_RECORDS):
                self._send_unacknowledged(peer, batch)
                batch, size = [], 0
            batch.append((key, data))
            size += len(data) + len(key)
        if batch:
            self._send_unacknowledged(peer, batch)

    def _send_unacknowledged(self, peer: str, batch: list[tuple[str, bytes]]) -> None:
        # With request_id 0 the peer sends no acknowledgement.
        delivery = HintDelivery(0, self.view.incarnation, self.view.epoch, tuple(batch))
        self.context.send(peer, delivery)

    # Responder

    def on_digest_request(self, sender: str, message: DigestRequest) -> None:
        """Sends a peer the digests by range, and the ranges in which this agent counts as a source."""
        if self.store.unplaced_ranges:
            self.context.increment(Metric.NOT_PLACED_YET)
            return
        catch_up, now = self.view.catch_up, self.view.now
        assert catch_up is not None
        is_equal = self.store.combined_digest(sender) == message.combined_digest
        response = DigestResponse(
            message.request_id,
            message.incarnation,
            message.epoch,
            former_epoch=catch_up.former_ring.epoch if catch_up.former_ring else 0,
            former_ranges=catch_up.former_complete_ranges(now),
            current_ranges=catch_up.complete_ranges(now) if self.view.is_member else 0,
            unowned_ranges=self.store.unowned_ranges(sender),
            knows_other_incarnation=self.guard.knows_other_incarnation(sender),
            range_digests=b"" if is_equal else self.store.range_digests(sender),
        )
        self.context.send(sender, response)

    def on_key_list_request(self, sender: str, message: KeyListRequest) -> None:
        """Sends a peer a page of the keys that it owns, with their digests."""
        if self.store.unplaced_ranges or not 0 <= message.range_index < RANGE_COUNT:
            return
        keys = self.store.keys_owned_by(sender, message.range_index, message.after)
        entries = tuple((key, self.store.key_digest(key)) for key in keys[:MAX_KEYS_IN_MESSAGE])
        is_last_page = len(keys) <= MAX_KEYS_IN_MESSAGE
        response = KeyListResponse(
            message.request_id, message.incarnation, message.epoch, entries, is_last_page
        )
        self.context.send(sender, response)

    def on_fetch_request(self, sender: str, message: FetchRequest) -> None:
        """Sends a peer the records of keys that it owns, as many as fit into one message."""
        batch: list[tuple[str, bytes]] = []
        size = count = 0
        for key in message.keys[:MAX_KEYS_IN_MESSAGE]:
            data: bytes | None = b""
            record = self.store.get(key)
            if record is not None and sender in self.view.owners(key):
                data = self.store.encode_to_send(key, record)
            if data is None or (batch and size + len(data) > MAX_DELIVERY_BYTES):
                break
            count += 1
            if data:
                batch.append((key, data))
                size += len(data) + len(key)
        if count:  # no response if the first record can't be sent: the peer would take it for expired
            response = FetchResponse(
                message.request_id, message.incarnation, message.epoch, count, tuple(batch)
            )
            self.context.send(sender, response)
