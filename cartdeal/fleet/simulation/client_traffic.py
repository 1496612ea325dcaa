"""Random client traffic over an in-memory fleet: requests of many kinds, and those of one busy tenant."""

from random import Random

from cartdeal.fleet.idempotency import AdmissionRequest
from cartdeal.fleet.settings import RateLimit
from cartdeal.fleet.simulation.clients import COMPLETED
from cartdeal.fleet.simulation.in_memory_fleet import InMemoryFleet

LIMITS = {
    "shop": RateLimit(60.0, 60.0),  # lent by rates
    "deli": RateLimit(1.5, 2.0),  # lent by single tokens
}
SHOP_REQUEST = AdmissionRequest(tenant="shop", workload="w")
OVERLOAD_FACTOR = 1.4  # requests of the shop's clients, in shares of its limit
SESSIONS = 40  # that clients share, so that their attempt records stand side by side
PAUSED_RATE = 1e-9  # requests per second: none within a simulation
IMPATIENT_SHARE = 0.2  # of clients, which retry before their answer can come
RETRY_ALLOWANCE_S = 0.8  # for what a retry takes beside the client's patience


class ClientTraffic:
    """Submits requests at a rate per second, by their own source of random draws."""

    def __init__(self, fleet: InMemoryFleet, random: Random, request_rate: float):
        self.fleet = fleet
        self.random = random
        self.configured_rate = request_rate
        self.request_rate = request_rate
        self.shop_rate = OVERLOAD_FACTOR * LIMITS["shop"].rate
        self.patient_intents: list[str] = []  # whose clients wait for their answers

    def pause(self) -> None:
        """Has no more requests come once the next ones have."""
        self.request_rate = PAUSED_RATE
        self.shop_rate = PAUSED_RATE

    def resume(self) -> None:
        """Has requests come as before the pause, from now on."""
        self.request_rate = self.configured_rate
        self.shop_rate = OVERLOAD_FACTOR * LIMITS["shop"].rate
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
        # A client retries until its deadline only: no attempt record lasts longer.
        limit_s = fleet.settings.longest_mark_s - window_s
        tries = min(random.randrange(1, 5), int(limit_s / (patience_s + RETRY_ALLOWANCE_S)))
        request = AdmissionRequest(
            tenant=tenant,
            session=f"{random.randrange(SESSIONS):02}",
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
        if random.random() < IMPATIENT_SHARE:
            work_s = random.choice([0.02, 1.0, 8.0])
            return work_s, work_s * random.uniform(0.3, 0.7)
        self.patient_intents.append(intent)
        return work_s, work_s + random.choice([0.3, 1.0])

    def submit_shop(self) -> None:
        """Submits a request of the overloaded tenant, and schedules the next one."""
        self.fleet.submit(SHOP_REQUEST, [self.random.choice(list(self.fleet.hosts))])
        self.fleet.clock.after(self.random.expovariate(self.shop_rate), self.submit_shop)

    def completed_share(self, intents: list[str]) -> float:
        """The share of these that completed; tenants ask for more than their limits."""
        completed = sum(COMPLETED in self.fleet.outcomes[intent] for intent in intents)
        return round(completed / len(intents), 4)
