"""Random client traffic over an in-memory fleet: requests of many kinds, and of one overloaded tenant."""

from random import Random

from cartdeal.fleet.idempotency import AdmissionRequest
from cartdeal.fleet.settings import RateLimit
from cartdeal.fleet.simulation.clients import COMPLETED
from cartdeal.fleet.simulation.in_memory_fleet import InMemoryFleet

TENANT_LIMITS = {
    "shop": RateLimit(60.0, 60.0),  # high enough that its rate is leased in shares
    "deli": RateLimit(1.5, 2.0),  # so low that single tokens are leased
}
SHOP_REQUEST = AdmissionRequest(tenant="shop", workload="w")
OVERLOAD_FACTOR = 1.4  # request rate of the tenant shop, as a multiple of its limit
SESSION_COUNT = 40  # few, so that many clients' attempt records are in one session
PAUSED_REQUEST_RATE = 1e-9  # requests per second; no request comes within a simulation
IMPATIENT_CLIENT_SHARE = 0.2  # share of clients that retry before the server can answer
RETRY_OVERHEAD_S = 0.8  # duration of a retry in addition to the client's patience


class ClientTraffic:
    """Submits requests at a rate per second; all random draws come from `random`."""

    def __init__(self, fleet: InMemoryFleet, random: Random, request_rate: float):
        self.fleet = fleet
        self.random = random
        self.configured_rate = request_rate
        self.request_rate = request_rate
        self.shop_rate = OVERLOAD_FACTOR * TENANT_LIMITS["shop"].rate
        self.patient_intents: list[str] = []  # intents of clients that wait for their answers

    def pause(self) -> None:
        """Stops the traffic; the requests already scheduled still come."""
        self.request_rate = PAUSED_REQUEST_RATE
        self.shop_rate = PAUSED_REQUEST_RATE

    def resume(self) -> None:
        """Resumes the traffic at the rates from before the pause."""
        self.request_rate = self.configured_rate
        self.shop_rate = OVERLOAD_FACTOR * TENANT_LIMITS["shop"].rate
        self.submit_random()
        self.submit_shop()

    def submit_random(self) -> None:
        """Submits a request of a random kind, and schedules the next one."""
        random, fleet = self.random, self.fleet
        number = fleet.clients.submitted
        tenant = random.choices(["", "shop", "deli"], [8, 1, 1])[0]
        repeat = random.choice(["i", "d", "u"])
        group = random.choice(["all", "zone", "cell"]) if repeat == "d" else "all"
        window_s = random.uniform(0.5, 8.0) if repeat == "d" else 0.0
        work_s, patience_s = self._draw_times(f"i{number + 1}")
        # A client retries only until its deadline, since no attempt record is kept longer.
        limit_s = fleet.settings.longest_mark_s - window_s
        tries = min(random.randrange(1, 5), int(limit_s / (patience_s + RETRY_OVERHEAD_S)))
        request = AdmissionRequest(
            tenant=tenant,
            session=f"{random.randrange(SESSION_COUNT):02}",
            key=f"k{number}",
            repeat=repeat,
            group=group,
            window_s=window_s,
            limit_s=limit_s,
            workload="w",
        )
        agents = list(fleet.hosts)
        fleet.submit(request, random.sample(agents, len(agents)), tries, work_s, patience_s)
        fleet.clock.after(random.expovariate(self.request_rate), self.submit_random)

    def _draw_times(self, intent: str) -> tuple[float, float]:
        """Draws how long the server works and how long the client waits, in seconds."""
        random = self.random
        work_s = random.choice([0.02, 0.05, 0.5, 1.5])
        if random.random() < IMPATIENT_CLIENT_SHARE:
            work_s = random.choice([0.02, 1.0, 8.0])
            return work_s, work_s * random.uniform(0.3, 0.7)
        self.patient_intents.append(intent)
        return work_s, work_s + random.choice([0.3, 1.0])

    def submit_shop(self) -> None:
        """Submits a request of the overloaded tenant, and schedules the next one."""
        self.fleet.submit(SHOP_REQUEST, [self.random.choice(list(self.fleet.hosts))])
        self.fleet.clock.after(self.random.expovariate(self.shop_rate), self.submit_shop)

    def completed_share(self, intents: list[str]) -> float:
        """The share of these intents that completed, below 1 since tenants exceed their limits."""
        completed = sum(COMPLETED in self.fleet.outcomes[intent] for intent in intents)
        return round(completed / len(intents), 4)
