"""A simulated server: cores, a bounded queue, slow start, a bound on connections, and injected faults.

It runs its jobs first come, first served, and must never know who sent them or why.
"""

from collections import deque


def capacity_share(settings, started, now) -> float:
    """The share of its full capacity that a server has; all of it if `started` is 0.0, for long ago."""
    age = (now - started) / settings.cold_s
    return min(1.0, settings.cold_from + (1 - settings.cold_from) * age) if started else 1.0


class Job:
    """Seconds of work at a server. `on_done` gets its status once; `on_started` is called when it starts."""

    __slots__ = ("work", "on_done", "on_started", "request_class", "is_running", "is_cancelled")

    def __init__(self, work, on_done, on_started=lambda: None, request_class=""):
        self.work, self.on_done, self.on_started, self.request_class = (
            work,
            on_done,
            on_started,
            request_class,
        )
        self.is_running = self.is_cancelled = False


class Server:
    """A server in simulated time. `speed` is a factor of its capacity; `settings` are those of its world."""

    def __init__(self, clock, settings, name, zone, speed, random, started=0.0):
        self.clock, self.settings, self.name, self.zone, self.speed = clock, settings, name, zone, speed
        self.random = random
        self.started = started  # simulated seconds; 0.0 if long ago
        self.is_up, self.is_draining, self.generation = True, False, 0
        self.slowdown, self.is_silent, self.error_rate, self.reset_rate = 1.0, False, 0.0, 0.0
        self.error_rates_by_class = {}  # request class -> share of its requests that fail
        self.queue, self.running_count, self.open_connections = deque(), 0, 0
        self.busy_s, self.served_count, self.rejected_count, self.handshake_count, self.probe_count = (
            0.0,
            0,
            0,
            0,
            0,
        )

    def capacity_share(self) -> float:
        """The share of its full capacity that the server has now, in slow start or after it."""
        return capacity_share(self.settings, self.started, self.clock.now)

    def capacity(self) -> float:
        """Seconds of work that the server does in a second."""
        return self.settings.cores * self.speed * self.capacity_share() / self.slowdown

    @property
    def job_count(self) -> int:
        """The number of jobs that run or wait."""
        return self.running_count + len(self.queue)

    def accept(self, job: Job) -> bool:
        """Takes a job; false if the queue is full or the server drains, in which case the job never runs."""
        if self.is_draining or self.job_count >= self.settings.cores + self.settings.waiting:
            self.rejected_count += 1
            return False
        self.queue.append(job)
        self.start_jobs()
        return True

    def start_jobs(self):
        """Starts waiting jobs while a core is free."""
        while self.queue and self.running_count < self.settings.cores:
            job = self.queue.popleft()
            if job.is_cancelled:
                continue
            job.is_running = True
            self.running_count += 1
            job.on_started()
            crowding_factor = 1 + self.settings.crowded_by * max(
                0.0, self.job_count - self.settings.crowded_from
            )
            duration = job.work * crowding_factor * self.settings.cores / self.capacity()
            self.busy_s += duration
            self.clock.after(duration, self.finish, job, self.generation)

    def finish(self, job, generation):
        """Ends a job that was started in `generation`; jobs from before a restart are dropped."""
        if generation != self.generation:
            return
        self.running_count -= 1
        if not self.is_silent and not job.is_cancelled:
            failure_rate = max(self.error_rate, self.error_rates_by_class.get(job.request_class, 0.0))
            is_failed = failure_rate and self.random.random() < failure_rate
            self.served_count += not is_failed
            job.on_done(500 if is_failed else 200)
        self.start_jobs()

    def cancel(self, job):
        """Takes a waiting job out of the queue, if `on_cancel` of the world's servers says so."""
        if not job.is_running and self.settings.on_cancel == "waiting":
            job.is_cancelled = True
            if job in self.queue:
                self.queue.remove(job)

    def start_handshake(self):
        """Puts the work of a new connection before all waiting jobs."""
        self.handshake_count += 1
        self.queue.appendleft(Job(self.settings.handshake_s, lambda status: None))
        self.start_jobs()

    def stop(self):
        """Ends the server's process: its jobs and connections are lost."""
        self.is_up, self.generation = False, self.generation + 1
        self.queue.clear()
        self.running_count = self.open_connections = 0

    def restart(self):
        """Starts the process anew; the server is in slow start."""
        self.is_up, self.started = True, self.clock.now
