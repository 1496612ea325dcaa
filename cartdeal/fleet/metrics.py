"""The names of the counters of the fleet's parts, which are fields of the log line `msg=metrics`."""

from enum import StrEnum


class Metric(StrEnum):
    """A counter that starts at 0 with the agent."""

    # The node and its pending admissions
    ADMISSION_REQUESTS = "admission requests"  # requests that were submitted for a decision
    DECIDED_UNKNOWN = "decided unknown"  # requests decided without the owners' answer
    DROPPED_OWN_NAME = "dropped own name"  # messages under this agent's own name, or of an unknown type
    NO_ADDRESS = "no address"  # messages not sent because the peer's address is unknown
    OVERDUE_DECISIONS = "overdue decisions"  # requests undecided a tick after the deadline: a fault
    PENDING_ADMISSIONS_FULL = "pending admissions full"  # requests over `most_waiting`, decided as unknown

    # Membership
    ACCUSATIONS = "accusations"
    DROPPED_DIGEST_EXCHANGES = "dropped digest exchanges"
    DROPPED_NO_ROOM = "dropped no room"
    DROPPED_OUT_OF_RANGE = "dropped out of range"
    DROPPED_UNVERIFIED_PEERS = "dropped unverified peers"
    DROPPED_WRONG_SENDER = "dropped wrong sender"
    LATE_ACKS = "late acks"
    PAUSES = "pauses"
    REFUTATIONS = "refutations"
    SUSPICIONS = "suspicions"

    # Consensus on the ring
    BALLOTS = "ballots"
    BALLOTS_REJECTED = "ballots rejected"
    DIFFERENT_SEEDS = "different seeds"
    DROPPED_BALLOT = "dropped ballot"
    DROPPED_DISTANT_EPOCH = "dropped distant epoch"
    DROPPED_LEASE_RENEWAL = "dropped lease renewal"
    DROPPED_MALFORMED_RING = "dropped malformed ring"
    DROPPED_OLDER_EPOCH = "dropped older epoch"
    DROPPED_UNKNOWN_BALLOT = "dropped unknown ballot"
    RING_FULL = "ring full"

    # Replicated records
    ATTEMPTS_FULL = "attempts full"
    DROPPED_BAD_KEY = "dropped bad key"
    DROPPED_BAD_RECORD = "dropped bad record"
    DROPPED_LATE_ANSWER = "dropped late answer"
    DROPPED_NEWER_EPOCH = "dropped newer epoch"
    DROPPED_NOT_OWNER = "dropped not owner"
    DROPPED_OLD_EPOCH = "dropped old epoch"
    HINTS_DROPPED = "hints dropped"
    HINTS_REJECTED = "hints rejected"
    NEWER_RING_ANNOUNCED = "newer ring announced"
    NOT_PLACED_YET = "not placed yet"
    NO_VALID_LEASE = "no valid lease"
    OWNED_LIMITS_FULL = "owned limits full"
    PENDING_OPERATIONS_FULL = "pending operations full"
    PENDING_REPAIRS_FULL = "pending repairs full"
    RECORDS_FULL = "records full"
    RECORDS_TOO_LARGE = "records too large"
    WRITES_CERTAIN = "writes certain"
    WRITES_UNCERTAIN = "writes uncertain"

    # Rate limits
    ADMISSION_QUEUE_FULL = "admission queue full"
    DROPPED_LATE_LEASE = "dropped late lease"
    DROPPED_LEASE_REQUEST = "dropped lease request"
    DROPPED_OLD_INCARNATIONS_LEASE = "dropped old incarnation's lease"
    DROPPED_OLD_LEASE_REQUEST = "dropped old lease request"
    DROPPED_OLD_LEASE_RETURN = "dropped old lease return"
    OWN_REQUESTS_DEFERRED = "own requests deferred"

    # Transport
    CLOSED_IDLE = "closed idle"
    CLOSED_NO_ROOM = "closed no room"
    CLOSED_PARTIAL_MESSAGES = "closed partial messages"
    DROPPED_DATAGRAMS = "dropped datagrams"
    DROPPED_NO_ADDRESS = "dropped no address"
    DROPPED_NO_MEMORY = "dropped no memory"
    DROPPED_NO_STREAM = "dropped no stream"
    DROPPED_OLDEST = "dropped oldest"
    DROPPED_STALE = "dropped stale"
    DROPPED_TOO_LARGE = "dropped too large"
    EFFECTS_FAILED = "effects failed"
    EVENTS_FAILED = "events failed"
    RECEIVED_BYTES = "received bytes"
    RECEIVED_MESSAGES = "received messages"
    SENT_BYTES = "sent bytes"
    SENT_MESSAGES = "sent messages"
    STREAMS_FAILED = "streams failed"

    # Counted by more than one part
    DROPPED_CLOCK_AHEAD = "dropped clock ahead"  # messages and records of clocks too far ahead
    DROPPED_OLD_INCARNATION = "dropped old incarnation"  # messages of a peer's earlier incarnation
