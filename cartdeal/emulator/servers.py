"""A server: cores, a waiting room, a warm-up, a bound on connections, and what can go wrong with it.

It works off what it is given, first come first served, and must never know who sent it or why.
"""

from collections import deque


def warmth(terms, started, now) -> float:
    """Share of its capacity that a server has; one that started long ago (0) has all."""
    age = (now - started) / terms.cold_s
    return min(1.0, terms.cold_from + (1 - terms.cold_from) * age) if started else 1.0


class Job:
    """Work at a server; `done` is called with a status once, `began` when it starts to run."""

    __slots__ = ("work", "done", "began", "request_class", "running", "dropped")

    def __init__(self, work, done, began=lambda: None, request_class=""):
        self.work, self.done, self.began, self.request_class = work, done, began, request_class
        self.running = self.dropped = False


class Server:
    def __init__(self, clock, terms, name, zone, speed, random, started=0.0):
        self.clock, self.terms, self.name, self.zone, self.speed = clock, terms, name, zone, speed
        self.random = random
        self.started = started  # 0: long ago
        self.up, self.draining, self.life = True, False, 0
        self.slow, self.silent, self.errors, self.resets = 1.0, False, 0.0, 0.0
        self.spoilt = {}  # request class -> share that fails
        self.waiting, self.running, self.open = deque(), 0, 0
        self.busy, self.served, self.turned_away, self.handshakes, self.probes = 0.0, 0, 0, 0, 0

    def warmth(self) -> float:
        return warmth(self.terms, self.started, self.clock.now)

    def capacity(self) -> float:
        """Seconds of work that it does in a second."""
        return self.terms.cores * self.speed * self.warmth() / self.slow

    @property
    def held(self) -> int:
        return self.running + len(self.waiting)

    def take(self, job: Job) -> bool:
        """False where there is no room, or it drains: then it has not run and never will."""
        if self.draining or self.held >= self.terms.cores + self.terms.waiting:
            self.turned_away += 1
            return False
        self.waiting.append(job)
        self.begin()
        return True

    def begin(self):
        while self.waiting and self.running < self.terms.cores:
            job = self.waiting.popleft()
            if job.dropped:
                continue
            job.running = True
            self.running += 1
            job.began()
            crowd = 1 + self.terms.crowded_by * max(0.0, self.held - self.terms.crowded_from)
            takes = job.work * crowd * self.terms.cores / self.capacity()
            self.busy += takes
            self.clock.after(takes, self.finish, job, self.life)

    def finish(self, job, life):
        if life != self.life:
            return
        self.running -= 1
        if not self.silent and not job.dropped:
            failing = max(self.errors, self.spoilt.get(job.request_class, 0.0))
            failed = failing and self.random.random() < failing
            self.served += not failed
            job.done(500 if failed else 200)
        self.begin()

    def cancel(self, job):
        if not job.running and self.terms.on_cancel == "waiting":
            job.dropped = True
            if job in self.waiting:
                self.waiting.remove(job)

    def shake(self):
        self.handshakes += 1
        self.waiting.appendleft(Job(self.terms.handshake_s, lambda status: None))
        self.begin()

    def die(self):
        self.up, self.life = False, self.life + 1
        self.waiting.clear()
        self.running = self.open = 0

    def rise(self):
        self.up, self.started = True, self.clock.now
