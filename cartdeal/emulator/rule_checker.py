"""Checks the four rules from what went over the network and from when each agent learned of a server's state.

1. Each request gets exactly one answer, within its deadline, and no attempt after it.
2. No request may run twice unless its class allows it.
3. No attempt goes to a server that is no longer ready, except within the drain grace after the agent was
   informed. An agent counts as informed at the latest `deemed_s` seconds after the change was published.
4. The sum of all agents doesn't overload a server in slow start.

The checker must never look into an agent. Each violation names the rule, the request or server, and times.
"""

from collections import defaultdict, deque
from math import sqrt
from typing import NamedTuple

DEADLINE_TOLERANCE_S = 0.05  # by which an answer may miss its deadline, as on sockets


class Violation(NamedTuple):
    """One breach of a rule, at `at` simulated seconds; `subject` is the request or the server."""

    rule: int
    at: float
    subject: str
    text: str

    def __str__(self):
        return f"rule {self.rule}, {self.at:.3f} s, {self.subject}: {self.text}"


class TrackedRequest:
    """A request as the network saw it; times in simulated seconds."""

    __slots__ = ("agent", "request_class", "accepted_at", "deadline", "answers", "attempts", "is_excused")

    def __init__(self, agent, request_class, accepted_at, deadline):
        self.agent, self.request_class, self.accepted_at, self.deadline = (
            agent,
            request_class,
            accepted_at,
            deadline,
        )
        self.answers, self.is_excused = [], False
        self.attempts = {}  # number -> [server, zone, sent_at, has_never_run, is_in_flight]


class RuleChecker:
    """Checks events of the network as they happen, and keeps the violations; times are simulated seconds."""

    def __init__(self, world):
        self.world, self.violations = world, []
        self.requests: dict[str, TrackedRequest] = {}
        self.request_classes = {each.name: each for each in world.request_class}
        self.not_ready_since = {}  # (agent, server) -> when the agent learned that it is not ready
        self.not_ready_published_at = {}  # server -> when discovery published that it is not ready
        self.cold_work = defaultdict(deque)  # server in slow start -> (arrived_at, seconds of work)
        # server in slow start -> arrival times of requests from agents that know its latest start
        self.cold_requests = defaultdict(deque)
        self.agent_violations = []  # log fields of violations that the agents' own checks found
        self.known_starts = {}  # (agent, server) -> start time in the agent's last entry of the server
        shares = sum(each.share for each in world.request_class)
        self.mean_work = sum(each.share * each.work_s for each in world.request_class) / shares
        # server in slow start -> its highest ratio of requests within fall_s to those allowed
        self.max_cold_load_ratios = {}
        self.reported_overloads = set()  # (server, exceeded quantity)
        self.accepted_count = self.answered_count = self.excused_count = 0

    def add_violation(self, rule, at, subject, text):
        """Records one violation."""
        self.violations.append(Violation(rule, at, subject, text))

    # Events

    def on_request_accepted(self, at, agent, request, request_class, deadline):
        """Records that an agent accepted a request."""
        self.accepted_count += 1
        self.requests[request] = TrackedRequest(agent, request_class, at, deadline)

    def on_answer(self, at, request, status):
        """Checks an answer: it is the only one, in time, and rejects no request that may have run."""
        tracked = self.requests[request]
        tracked.answers.append((at, status))
        if len(tracked.answers) > 1:
            first, _ = tracked.answers[0]
            return self.add_violation(
                1, at, request, f"a second answer, {status}; the first was at {first:.3f} s"
            )
        self.answered_count += 1
        if tracked.is_excused:  # the answer was on its way when the agent was killed
            tracked.is_excused = False
            self.excused_count -= 1
        if at > tracked.deadline + DEADLINE_TOLERANCE_S:
            self.add_violation(1, at, request, f"answered {at - tracked.deadline:.3f} s after its deadline")
        request_class = self.request_classes[tracked.request_class]
        uncertain_attempts = [attempt for attempt in tracked.attempts.values() if not attempt[3]]
        if (
            status in (429, 503)
            and uncertain_attempts
            and (
                request_class.repeat == "unsafe"
                or request_class.repeat == "keyed"
                and (
                    request_class.group != "all"
                    or any(at > attempt[2] + request_class.window_s for attempt in uncertain_attempts)
                )
            )
        ):
            self.add_violation(
                2, at, request, f"rejected though an attempt at {uncertain_attempts[0][0]} may have run"
            )

    def on_attempt_sent(self, at, agent, request, number, server, zone):
        """Checks an attempt against the request's earlier attempts and the server's state."""
        tracked = self.requests.get(request)
        if tracked is None:
            return self.add_violation(1, at, request, "an attempt for an unknown request")
        if tracked.answers:
            self.add_violation(1, at, request, f"an attempt at {server} after its final answer")
        request_class = self.request_classes[tracked.request_class]
        for other_server, other_zone, sent_at, has_never_run, is_in_flight in tracked.attempts.values():
            if has_never_run:
                continue
            if request_class.repeat == "unsafe":
                self.add_violation(
                    2, at, request, f"attempt at {server} though one at {other_server} may have run"
                )
            elif request_class.repeat == "keyed" and (
                at > sent_at + request_class.window_s or request_class.group != "all" and other_zone != zone
            ):
                self.add_violation(
                    2,
                    at,
                    request,
                    f"attempt at {server} outside the group or window of the one at {other_server}",
                )
            elif is_in_flight:
                self.add_violation(
                    2, at, request, f"attempt at {server} while one at {other_server} is in flight"
                )
            else:
                continue
            break
        tracked.attempts[number] = [server, zone, at, False, True]
        not_ready_at = min(
            self.not_ready_since.get((agent, server), at),
            self.not_ready_published_at.get(server, at) + self.world.list.deemed_s,
        )
        if at > not_ready_at + self.world.drain_grace_s:
            self.add_violation(
                3,
                at,
                request,
                f"attempt at {server}, {at - not_ready_at:.3f} s after agent {agent} was informed",
            )

    def on_attempt_ended(self, request, number, has_never_run):
        """Records the end of an attempt, and whether it is proved that no server ran it."""
        attempt = self.requests[request].attempts.get(number)
        if attempt:
            attempt[3], attempt[4] = has_never_run, False

    def on_server_state_received(self, at, agent, server, is_ready, started=0.0):
        """Records that an agent received a server's entry; `started` is its start time in seconds."""
        self.known_starts[agent, server] = started
        if is_ready:
            self.not_ready_since.pop((agent, server), None)
        else:
            self.not_ready_since.setdefault((agent, server), at)

    def on_server_list_changed(self, at, server, is_ready):
        """Records that the discovery service published a server's state."""
        if is_ready:
            self.not_ready_published_at.pop(server, None)
        else:
            self.not_ready_published_at.setdefault(server, at)

    def on_agent_killed(self, agent):
        """Excuses the open requests of an agent that was killed: they need no answer."""
        for tracked in self.requests.values():
            if tracked.agent == agent and not tracked.answers and not tracked.is_excused:
                tracked.is_excused = True
                self.excused_count += 1

    def on_work_at_cold_server(self, at, server, work, agent=None):
        """Checks `work` seconds that arrived at a server in slow start.

        Two bounds hold within any `fall_s` seconds. All work together stays under `fall_multiple` times the
        server's capacity. The requests of agents that know of the server's latest start stay under the number
        of requests of mean work that fit in this bound, with an allowance for random variation.

        Args:
            at: When the work arrived.
            server: The server; of its attributes, `name`, `started` and `capacity()` are used.
            work: Seconds of work.
            agent: The agent that sent the request; None for a probe.
        """
        world, recent_work, recent_requests = (
            self.world,
            self.cold_work[server.name],
            self.cold_requests[server.name],
        )
        max_work = world.fall_multiple * server.capacity() * world.fall_s
        recent_work.append((at, work))
        while recent_work[0][0] < at - world.fall_s:
            recent_work.popleft()
        if sum(each for _, each in recent_work) > max_work:
            self.add_overload_violation(at, server, f"{max_work:.2f} s of", "work")
        # An agent that knows only an older start of the server applies no slow start. The start times in the
        # list are in milliseconds, so they may be rounded down.
        if agent is None or self.known_starts.get((agent, server.name), 0.0) < server.started - 1e-3:
            return
        recent_requests.append(at)
        while recent_requests[0] < at - world.fall_s:
            recent_requests.popleft()
        max_requests = max_work / self.mean_work
        max_requests += 2 * sqrt(max_requests) + 2
        self.max_cold_load_ratios[server.name] = max(
            self.max_cold_load_ratios.get(server.name, 0.0), len(recent_requests) / max_requests
        )
        if len(recent_requests) > max_requests:
            self.add_overload_violation(at, server, f"{max_requests:.1f}", "requests")

    def add_overload_violation(self, at, server, bound, quantity):
        """Reports too much work or too many requests at a server in slow start, once for each quantity."""
        if (server.name, quantity) not in self.reported_overloads:
            self.reported_overloads.add((server.name, quantity))
            self.add_violation(
                4,
                at,
                server.name,
                f"over {bound} {quantity} within {self.world.fall_s:g} s, "
                f"{at - server.started:.2f} s after its start",
            )

    def check_unanswered(self, at):
        """Reports each request that has no answer though its deadline has passed; called at the end."""
        for request, tracked in self.requests.items():
            if (
                not tracked.answers
                and not tracked.is_excused
                and tracked.deadline + DEADLINE_TOLERANCE_S < at
            ):
                self.add_violation(1, at, request, f"no answer; its deadline was {tracked.deadline:.3f} s")
