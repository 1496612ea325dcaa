"""The judge of the four rules: it sees what went over the network and what was told when, and nothing else.

It must never look into an agent. Each violation names rule, request or server, and times.
"""

from collections import defaultdict, deque
from math import sqrt
from typing import NamedTuple

SLACK = 0.05  # after a deadline, as on sockets


class Violation(NamedTuple):
    rule: int
    at: float
    about: str
    words: str

    def __str__(self):
        return f"rule {self.rule}, {self.at:.3f} s, {self.about}: {self.words}"


class Case:
    """A request as the network saw it."""

    __slots__ = ("agent", "request_class", "taken", "limit", "answers", "attempts", "excused")

    def __init__(self, agent, request_class, taken, limit):
        self.agent, self.request_class, self.taken, self.limit = agent, request_class, taken, limit
        self.answers, self.excused = [], False
        self.attempts = {}  # number -> [server, zone, when, proved never to have run, out]


class Judge:
    def __init__(self, world):
        self.world, self.violations = world, []
        self.cases: dict[str, Case] = {}
        self.kinds = {each.name: each for each in world.request_class}
        self.told_at = {}  # (agent, server) -> since when it may be sent nothing new
        self.changed = {}  # server -> when the discovery service knew
        self.sent = defaultdict(deque)  # cold server -> (when, work)
        self.calls = defaultdict(deque)  # cold server -> when requests came from agents told of its start
        self.agents_said = []  # violations that the agents' own checks found
        self.told_start = {}  # (agent, server) -> the start that the agent was told of, in seconds
        shares = sum(each.share for each in world.request_class)
        self.mean_work = sum(each.share * each.work_s for each in world.request_class) / shares
        self.closest = {}  # cold server -> most requests in a span over what is allowed, of its life
        self.fallen = set()  # (server, which bound)
        self.taken = self.answered = self.excused = 0

    def break_(self, rule, at, about, words):
        self.violations.append(Violation(rule, at, about, words))

    # What the network shows

    def request_taken(self, at, agent, request, request_class, limit):
        self.taken += 1
        self.cases[request] = Case(agent, request_class, at, limit)

    def request_answered(self, at, request, status):
        case = self.cases[request]
        case.answers.append((at, status))
        if len(case.answers) > 1:
            first, _ = case.answers[0]
            return self.break_(1, at, request, f"a second answer, {status}; the first was at {first:.3f} s")
        self.answered += 1
        if at > case.limit + SLACK:
            self.break_(1, at, request, f"answered {at - case.limit:.3f} s after its deadline")
        kind = self.kinds[case.request_class]
        doubt = [attempt for attempt in case.attempts.values() if not attempt[3]]
        if (
            status in (429, 503)
            and doubt
            and (
                kind.repeat == "unsafe"
                or kind.repeat == "keyed"
                and (kind.group != "all" or any(at > attempt[2] + kind.window_s for attempt in doubt))
            )
        ):
            self.break_(2, at, request, f"rejected though an attempt at {doubt[0][0]} may have run")

    def attempt_sent(self, at, agent, request, number, server, zone):
        case = self.cases.get(request)
        if case is None:
            return self.break_(1, at, request, "an attempt for a request that nobody asked")
        if case.answers:
            self.break_(1, at, request, f"an attempt at {server} after its final answer")
        kind = self.kinds[case.request_class]
        for past, there, sent, never, out in case.attempts.values():
            if never:
                continue
            if kind.repeat == "unsafe":
                self.break_(2, at, request, f"attempt at {server} though one at {past} may have run")
            elif kind.repeat == "keyed" and (
                at > sent + kind.window_s or kind.group != "all" and there != zone
            ):
                self.break_(2, at, request, f"attempt at {server} out of group or window of {past}")
            elif out:
                self.break_(2, at, request, f"attempt at {server} while one at {past} is out")
            else:
                continue
            break
        case.attempts[number] = [server, zone, at, False, True]
        told = min(
            self.told_at.get((agent, server), at), self.changed.get(server, at) + self.world.list.deemed_s
        )
        if at > told + self.world.drain_grace_s:
            self.break_(
                3, at, request, f"attempt at {server}, {at - told:.3f} s after agent {agent} was told"
            )

    def attempt_ended(self, request, number, never_ran):
        attempt = self.cases[request].attempts.get(number)
        if attempt:
            attempt[3], attempt[4] = never_ran, False

    def agent_told(self, at, agent, server, ready, started=0.0):
        self.told_start[agent, server] = started
        if ready:
            self.told_at.pop((agent, server), None)
        else:
            self.told_at.setdefault((agent, server), at)

    def list_changed(self, at, server, ready):
        if ready:
            self.changed.pop(server, None)
        else:
            self.changed.setdefault(server, at)

    def agent_died(self, agent):
        for case in self.cases.values():
            if case.agent == agent and not case.answers and not case.excused:
                case.excused = True
                self.excused += 1

    def work_reached(self, at, server, work, agent=None):
        """`work` in seconds that came to a cold server; `agent` sent it, None: a probe.

        Within any span both hold: all work stays under the multiple, and the requests of agents that had been
        told of the start stay under as many of mean work and what chance adds.
        """
        world, seen, came = self.world, self.sent[server.name], self.calls[server.name]
        most = world.fall_multiple * server.capacity() * world.fall_s
        seen.append((at, work))
        while seen[0][0] < at - world.fall_s:
            seen.popleft()
        if sum(each for _, each in seen) > most:
            self.fell(at, server, f"{most:.2f} s of", "work")
        # Who was told of an older start alone knows of no ramp. The list's milliseconds round.
        if agent is None or self.told_start.get((agent, server.name), 0.0) < server.started - 1e-3:
            return
        came.append(at)
        while came[0] < at - world.fall_s:
            came.popleft()
        calls = most / self.mean_work
        calls += 2 * sqrt(calls) + 2
        self.closest[server.name] = max(self.closest.get(server.name, 0.0), len(came) / calls)
        if len(came) > calls:
            self.fell(at, server, f"{calls:.1f}", "requests")

    def fell(self, at, server, most, what):
        if (server.name, what) not in self.fallen:
            self.fallen.add((server.name, what))
            self.break_(
                4,
                at,
                server.name,
                f"over {most} {what} within {self.world.fall_s:g} s, "
                f"{at - server.started:.2f} s after its start",
            )

    def close(self, at):
        for request, case in self.cases.items():
            if not case.answers and not case.excused and case.limit + SLACK < at:
                self.break_(1, at, request, f"no answer; its deadline was {case.limit:.3f} s")
