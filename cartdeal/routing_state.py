"""What a balancer remembers of each request and of each server. Nothing here decides anything.

Times are seconds on the host's clock. A `Fading` is a sum whose parts fade over FADING_SPAN.
"""

from math import inf

from cartdeal.terms import Fading, State

FADING_SPAN = 6.0  # seconds over which what was seen of servers and requests fades
FIRST_BACKOFF = 1.0  # seconds, of an open circuit


class RoutedRequest:
    """A request that has no final answer yet."""

    def __init__(self, number, request_class, key, deadline, now, value, tally):
        self.number = number
        self.request_class = request_class
        self.key = key
        self.deadline = deadline
        self.target_at = min(deadline, now + request_class.latency_target)
        self.value = value  # priority, by which requests that are held get room
        self.tally = tally  # of its class
        self.attempts = 0  # begun so far
        self.in_flight = {}  # attempt -> server
        self.traces = {}  # attempts that are out or may have run -> (server, when sent)
        self.tried = []  # servers that were sent an attempt
        self.probed = []  # servers whose answer to a probe it waits for
        self.next_try_at = 0.0  # while it is held
        self.held_until = 0.0


class Server:
    """A server of the list, and what this agent has seen of it."""

    def __init__(self, index, initial_limit, now):
        self.index = index
        self.initial_limit = initial_limit
        self.state = State.GONE
        self.started = -inf
        self.weight = 1.0
        self.weight_at = -inf  # when the list last said it
        self.in_flight = {}  # own attempts: (request, attempt) -> when sent
        self.sends = Fading(FADING_SPAN, now)
        self.crowded_until = -inf
        self.load_at = -inf  # when its load was last summed
        self.probe_waiters = {}  # requests that wait for the answer to a probe
        self.probed_at = -inf
        self.restart(now)

    def restart(self, now):
        """Forgets what was learnt of the process before."""
        self.limit = self.initial_limit  # attempts in flight; under one, with pauses between single ones
        self.next_cut_at = now
        self.paused_until = now
        self.failures = Fading(FADING_SPAN, now)
        self.completions = Fading(FADING_SPAN, now)
        self.flight_time = Fading(FADING_SPAN, now)  # seconds that ended attempts were in flight
        self.response_time = 0.0  # mean
        self.last_answer_at = now
        self.circuit_closed = True
        self.half_open = False
        self.silent = False
        self.retry_at = now
        self.backoff = FIRST_BACKOFF
        self.tokens = 0.0  # of its cold ramp
        self.refilled_at = now
        self.probe_answered_at = 0.0
        self.abandoned = []  # when attempts that were given up had been sent
        self.class_backoffs = {}  # request class -> failures in a row, backed off until, next backoff
