"""The judge of the four rules: it sees what went over the network and what was told when, and nothing else.

It must never look into an agent. Each violation names rule, request or server, and times.
"""

from collections import defaultdict, deque
from math import sqrt
from typing import NamedTuple

DEADLINE_TOLERANCE_S = 0.05  # after a deadline, as on sockets


class Violation(NamedTuple):
    rule: int
    at: float
    subject: str
    text: str

    def __str__(self):
        return f"rule {self.rule}, {self.at:.3f} s, {self.subject}: {self.text}"


class TrackedRequest:
    """A request as the network saw it."""

    __slots__ = ("agent", "request_class", "accepted_at", "deadline", "answers", "attempts", "is_excused")

    def __init__(self, agent, request_class, accepted_at, deadline):
        self.agent, self.request_class, self.accepted_at, self.deadline = (
            agent,
            request_class,
            accepted_at,
            deadline,
        )
        self.answers, self.is_excused = [], False
        self.attempts = {}  # number -> [server, zone, when, proved never to have run, out]


class RuleChecker:
    def __init__(self, world):
        self.world, self.violations = world, []
        self.requests: dict[str, TrackedRequest] = {}
        self.request_classes = {each.name: each for each in world.request_class}
        self.not_ready_since = {}  # (agent, server) -> since when it may be sent nothing new
        self.not_ready_published_at = {}  # server -> when the discovery service knew
        self.cold_work = defaultdict(deque)  # cold server -> (when, work)
        self.cold_requests = defaultdict(
            deque
        )  # cold server -> when requests came from agents told of its start
        self.agent_violations = []  # violations that the agents' own checks found
        self.known_starts = {}  # (agent, server) -> the start that the agent was told of, in seconds
        shares = sum(each.share for each in world.request_class)
        self.mean_work = sum(each.share * each.work_s for each in world.request_class) / shares
        # cold server -> most requests in a span over what is allowed, of its life
        self.max_cold_load_ratios = {}
        self.reported_overloads = set()  # (server, which bound)
        self.accepted_count = self.answered_count = self.excused_count = 0

    def add_violation(self, rule, at, subject, text):
        self.violations.append(Violation(rule, at, subject, text))

    # What the network shows

    def on_request_accepted(self, at, agent, request, request_class, deadline):
        self.accepted_count += 1
        self.requests[request] = TrackedRequest(agent, request_class, at, deadline)

    def on_answer(self, at, request, status):
        tracked = self.requests[request]
        tracked.answers.append((at, status))
        if len(tracked.answers) > 1:
            first, _ = tracked.answers[0]
            return self.add_violation(
                1, at, request, f"a second answer, {status}; the first was at {first:.3f} s"
            )
        self.answered_count += 1
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
        tracked = self.requests.get(request)
        if tracked is None:
            return self.add_violation(1, at, request, "an attempt for a request that nobody asked")
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
                    2, at, request, f"attempt at {server} out of group or window of {other_server}"
                )
            elif is_in_flight:
                self.add_violation(2, at, request, f"attempt at {server} while one at {other_server} is out")
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
                3, at, request, f"attempt at {server}, {at - not_ready_at:.3f} s after agent {agent} was told"
            )

    def on_attempt_ended(self, request, number, has_never_run):
        attempt = self.requests[request].attempts.get(number)
        if attempt:
            attempt[3], attempt[4] = has_never_run, False

    def on_server_state_received(self, at, agent, server, ready, started=0.0):
        self.known_starts[agent, server] = started
        if ready:
            self.not_ready_since.pop((agent, server), None)
        else:
            self.not_ready_since.setdefault((agent, server), at)

    def on_server_list_changed(self, at, server, ready):
        if ready:
            self.not_ready_published_at.pop(server, None)
        else:
            self.not_ready_published_at.setdefault(server, at)

    def on_agent_killed(self, agent):
        for tracked in self.requests.values():
            if tracked.agent == agent and not tracked.answers and not tracked.is_excused:
                tracked.is_excused = True
                self.excused_count += 1

    def on_work_at_cold_server(self, at, server, work, agent=None):
        """`work` in seconds that came to a cold server; `agent` sent it, None: a probe.

        Within any span both hold: all work stays under the multiple, and the requests of agents that had been
        told of the start stay under as many of mean work and what chance adds.
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
        # Who was told of an older start alone knows of no ramp. The list's milliseconds round.
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

    def add_overload_violation(self, at, server, max_work, quantity):
        if (server.name, quantity) not in self.reported_overloads:
            self.reported_overloads.add((server.name, quantity))
            self.add_violation(
                4,
                at,
                server.name,
                f"over {max_work} {quantity} within {self.world.fall_s:g} s, "
                f"{at - server.started:.2f} s after its start",
            )

    def check_unanswered(self, at):
        for request, tracked in self.requests.items():
            if (
                not tracked.answers
                and not tracked.is_excused
                and tracked.deadline + DEADLINE_TOLERANCE_S < at
            ):
                self.add_violation(1, at, request, f"no answer; its deadline was {tracked.deadline:.3f} s")
