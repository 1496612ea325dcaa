"""What a balancer remembers of each request and of each server. Nothing here decides anything.

Times are seconds on the host's clock. A `DecayingSum` is a sum whose parts fade over DECAY_S.
"""

from math import inf

from cartdeal.balancer_types import DecayingSum, ServerState

DECAY_S = 6.0  # seconds over which what was seen of servers and requests fades
FIRST_BACKOFF = 1.0  # seconds, of an open circuit


class RoutedRequest:
    """A request that has no final answer yet."""

    def __init__(self, number, request_class, key, deadline, now, priority_weight, class_statistics):
        self.number = number
        self.request_class = request_class
        self.key = key
        self.deadline = deadline
        self.latency_target_at = min(deadline, now + request_class.latency_target)
        self.priority_weight = priority_weight  # priority, by which requests that are held get room
        self.class_statistics = class_statistics  # of its class
        self.attempt_count = 0  # begun so far
        self.in_flight = {}  # attempt -> server
        self.possible_executions = {}  # attempts that are out or may have run -> (server, when sent)
        self.tried_servers = []  # servers that were sent an attempt
        self.probed_servers = []  # servers whose answer to a probe it waits for
        self.next_attempt_at = 0.0  # while it is held
        self.queued_until = 0.0


class Server:
    """A server of the list, and what this agent has seen of it."""

    def __init__(self, index, initial_limit, now):
        self.index = index
        self.initial_limit = initial_limit
        self.state = ServerState.GONE
        self.started_at = -inf
        self.weight = 1.0
        self.weight_updated_at = -inf  # when the list last said it
        self.in_flight = {}  # own attempts: (request, attempt) -> when sent
        self.recent_sends = DecayingSum(DECAY_S, now)
        self.overloaded_until = -inf
        self.load_updated_at = -inf  # when its load was last summed
        self.probe_waiters = {}  # requests that wait for the answer to a probe
        self.probe_sent_at = -inf
        self.restart(now)

    def restart(self, now):
        """Forgets what was learnt of the process before."""
        self.concurrency_limit = (
            self.initial_limit
        )  # attempts in flight; under one, with pauses between single ones
        self.next_limit_cut_at = now
        self.paused_until = now
        self.failures = DecayingSum(DECAY_S, now)
        self.completions = DecayingSum(DECAY_S, now)
        self.flight_time = DecayingSum(DECAY_S, now)  # seconds that ended attempts were in flight
        self.response_time = 0.0  # mean
        self.last_response_at = now
        self.is_circuit_closed = True
        self.is_half_open = False
        self.is_silent = False
        self.retry_at = now
        self.backoff = FIRST_BACKOFF
        self.slow_start_tokens = 0.0  # of its cold ramp
        self.tokens_refilled_at = now
        self.probe_answered_at = 0.0
        self.abandoned_attempts = []  # when attempts that were given up had been sent
        self.class_backoffs = {}  # request class -> failures in a row, backed off until, next backoff
