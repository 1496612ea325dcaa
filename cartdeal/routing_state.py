"""The data that the balancer keeps about each request and each server. This module makes no decisions.

Times are in seconds on the host's clock. Each DecayingSum here decays over DECAY_S.
"""

from math import inf

from cartdeal.balancer_types import DecayingSum, ServerState

DECAY_S = 6.0  # over which the statistics of servers and requests decay
INITIAL_BACKOFF_S = 1.0  # the first backoff after a server's circuit has opened


class RoutedRequest:
    """A request without a final answer."""

    def __init__(self, number, request_class, key, deadline, now, priority_weight, class_statistics):
        self.number = number
        self.request_class = request_class
        self.key = key
        self.deadline = deadline
        self.latency_target_at = min(deadline, now + request_class.latency_target)
        self.priority_weight = priority_weight  # queued requests with a higher weight get capacity first
        # The sums of its request class; see Balancer.class_statistics.
        self.class_statistics = class_statistics
        self.attempt_count = 0
        self.in_flight = {}  # attempt -> server
        # Attempts that are in flight or may have been executed -> (server, time of sending).
        self.possible_executions = {}
        self.tried_servers = []  # servers that were sent an attempt
        self.probed_servers = []  # servers whose response to a probe the request waits for
        self.next_attempt_at = 0.0  # when a queued request is next tried
        self.queued_until = 0.0


class Server:
    """A server of the list and this agent's statistics of it."""

    def __init__(self, index, initial_limit, now):
        self.index = index
        self.initial_limit = initial_limit
        self.state = ServerState.GONE
        self.started_at = -inf  # when the server's current process started
        self.weight = 1.0
        self.weight_updated_at = -inf  # when a list last stated it
        self.in_flight = {}  # this agent's attempts: (request, attempt) -> time of sending
        self.recent_sends = DecayingSum(DECAY_S, now)
        self.overloaded_until = -inf
        self.load_updated_at = -inf  # when `cached_load` was computed
        self.probe_waiters = {}  # request number -> request that waits for the response to a probe
        self.probe_sent_at = -inf
        self.restart(now)

    def restart(self, now):
        """Resets what was learnt of the server's previous process."""
        self.concurrency_limit = self.initial_limit  # a limit below 1 means pauses between single attempts
        self.next_limit_cut_at = now
        self.paused_until = now
        self.failures = DecayingSum(DECAY_S, now)
        self.completions = DecayingSum(DECAY_S, now)
        self.flight_time = DecayingSum(DECAY_S, now)  # seconds in flight of the attempts that ended
        self.response_time = 0.0  # mean of the responses, in seconds
        self.last_response_at = now
        self.is_circuit_closed = True
        self.is_half_open = False
        # Whether the circuit was opened because the server stopped responding.
        self.is_silent = False
        self.retry_at = now
        self.backoff = INITIAL_BACKOFF_S
        self.slow_start_tokens = 0.0
        self.tokens_refilled_at = now
        self.probe_answered_at = 0.0
        self.abandoned_attempts = []  # times of sending of attempts that timed out or were cancelled
        # Request class -> (failures in a row, time at which the backoff ends, seconds of the next backoff).
        self.class_backoffs = {}
