"""Thin end-to-end over the in-memory fleet; the stories go further."""

from msgspec.structs import replace

from cartdeal.fleet.idempotency import AdmissionRequest
from cartdeal.fleet.node import Node
from cartdeal.fleet.quota.holder import LeaseHolder
from cartdeal.fleet.settings import FleetSettings, RateLimit
from cartdeal.fleet.simulation.in_memory_fleet import InMemoryFleet

SEEDS = {f"a{n}": f"10.0.0.1:{n + 1}" for n in range(3)}


def fleet(seed=1, agents=3, **changes):
    memory = InMemoryFleet(
        FleetSettings(
            fleet="f", name="", key=b"k" * 32, seeds=SEEDS, limits={"shop": RateLimit(50.0, 20.0)}, **changes
        ),
        seed,
    )
    for number in range(agents):
        memory.add(f"a{number}", zone=f"z{number % 3}")
    assert memory.run_until(memory.has_one_ring, 20.0) < 20.0
    memory.run(46.0)
    return memory


def non_idempotent_request(session="s1"):
    return AdmissionRequest(
        tenant="", session=session, key="close", repeat="u", limit_s=2.0, workload="close"
    )


def test_request_that_may_have_run_at_an_agent_that_died_does_not_run_again():
    memory = fleet()
    intent = memory.submit(non_idempotent_request(), ["a0", "a1", "a2"], tries=3, work_s=5.0)
    memory.run(0.1)
    assert len(memory.checker.executions[intent]) == 1
    memory.kill("a0")
    memory.run(5.0)
    assert memory.outcomes[intent] == ["broke off", "fail"]
    assert memory.checker.close() == []


def test_limit_holds_for_all_agents_together():
    memory = fleet()
    for turn in range(1500):
        memory.submit(AdmissionRequest(tenant="shop", workload="read"), [f"a{turn % 3}"])
        memory.run(0.002)
    assert memory.checker.close() == []
    assert len(memory.checker.admission_times["shop"]) >= 0.85 * (20 + 3.0 * 50)


def test_copies_of_all_owners_are_equal_in_the_end():
    memory = fleet()
    for turn in range(30):
        memory.submit(non_idempotent_request(f"s{turn}"), [f"a{turn % 3}"])
        memory.run(0.05)
    memory.run(5.0)
    memory.checker.check_equal(
        {name: node.replica.owned_digest() for name, node in memory.nodes().items()}, "all keys"
    )
    assert memory.checker.close() == [] and memory.nodes()["a0"].replica.all_records()


def test_file_read_again_moves_what_it_changes_in_a_running_fleet():
    memory = fleet(hold_version=1)
    nodes = memory.nodes()
    assert {node.ring.written_version for node in nodes.values()} == {1}
    for name, node in nodes.items():
        changes = {"hold_version": 0, "capacity": 4.0 if name == "a0" else 1.0, "damp_s": 0.5}
        memory.hosts[name].dispatch(node.apply_settings, replace(node.settings, **changes))
    memory.run(20.0)
    assert memory.has_one_ring()
    ring = nodes["a1"].ring
    assert ring.written_version == 2 and [seat.capacity for seat in ring.members] == [4.0, 1.0, 1.0]


def test_event_ends_though_each_answer_of_the_own_owner_leads_to_an_ask(monkeypatch):
    """Seen once: an agent that was its own lender asked itself for ever, and answered nothing any more."""
    memory = fleet(agents=3)

    def on_response(self, sender, incarnation, response, now):
        quota = before(self, sender, incarnation, response, now)
        if quota and sender == self.context.name:
            quota.exchanges[sender].may_have_more = True
        return quota

    before = LeaseHolder.on_response
    monkeypatch.setattr(LeaseHolder, "on_response", on_response)
    for _ in range(100):
        memory.submit(AdmissionRequest(tenant="shop", workload="read"), ["a0"])
    memory.run(1.0)
    assert memory.nodes()["a0"].metrics()["own requests deferred"]
    assert memory.checker.close() == []


def test_starts_that_learn_of_the_same_later_incarnation_never_take_the_same_one():
    incarnations = set()
    for seed in range(20):
        node = Node(FleetSettings(fleet="f", name="a0", key=b"k" * 32, seeds=SEEDS), seed, 0.0, 1000.0)
        node.membership.newer_incarnation = lambda: 5_000_000 << 16
        node.tick()
        assert node.incarnation > 5_000_000 << 16
        incarnations.add(node.incarnation)
    assert len(incarnations) == 20
