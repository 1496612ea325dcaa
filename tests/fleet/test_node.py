"""End-to-end tests of nodes in an in-memory fleet. The stories cover more cases."""

from msgspec.structs import replace

from cartdeal.fleet.idempotency import AdmissionRequest
from cartdeal.fleet.node import Node
from cartdeal.fleet.quota.holder import LeaseHolder
from cartdeal.fleet.settings import FleetSettings, RateLimit
from cartdeal.fleet.simulation.in_memory_fleet import InMemoryFleet

SEEDS = {f"a{n}": f"10.0.0.1:{n + 1}" for n in range(3)}


def make_fleet(seed=1, agents=3, **changes):
    fleet = InMemoryFleet(
        FleetSettings(
            fleet="f", name="", key=b"k" * 32, seeds=SEEDS, limits={"shop": RateLimit(50.0, 20.0)}, **changes
        ),
        seed,
    )
    for index in range(agents):
        fleet.add(f"a{index}", zone=f"z{index % 3}")
    assert fleet.run_until(fleet.has_one_ring, 20.0) < 20.0
    fleet.run(46.0)
    return fleet


def non_idempotent_request(session="s1"):
    return AdmissionRequest(
        tenant="", session=session, key="close", repeat="u", limit_s=2.0, workload="close"
    )


def test_request_that_may_have_run_at_a_dead_agent_does_not_run_again():
    fleet = make_fleet()
    intent = fleet.submit(non_idempotent_request(), ["a0", "a1", "a2"], tries=3, work_s=5.0)
    fleet.run(0.1)
    assert len(fleet.checker.executions[intent]) == 1
    fleet.kill("a0")
    fleet.run(5.0)
    assert fleet.outcomes[intent] == ["broke off", "fail"]
    assert fleet.checker.close() == []


def test_limit_holds_for_all_agents_together():
    fleet = make_fleet()
    for index in range(1500):
        fleet.submit(AdmissionRequest(tenant="shop", workload="read"), [f"a{index % 3}"])
        fleet.run(0.002)
    assert fleet.checker.close() == []
    assert len(fleet.checker.admission_times["shop"]) >= 0.85 * (20 + 3.0 * 50)


def test_copies_of_all_owners_become_equal():
    fleet = make_fleet()
    for index in range(30):
        fleet.submit(non_idempotent_request(f"s{index}"), [f"a{index % 3}"])
        fleet.run(0.05)
    fleet.run(5.0)
    fleet.checker.check_equal(
        {name: node.replica.owned_digest() for name, node in fleet.nodes().items()}, "all keys"
    )
    assert fleet.checker.close() == [] and fleet.nodes()["a0"].replica.all_records()


def test_reloaded_settings_take_effect_in_a_running_fleet():
    fleet = make_fleet(hold_version=1)
    nodes = fleet.nodes()
    assert {node.ring.written_version for node in nodes.values()} == {1}
    for name, node in nodes.items():
        changed_settings = {"hold_version": 0, "capacity": 4.0 if name == "a0" else 1.0, "damp_s": 0.5}
        fleet.hosts[name].dispatch(node.apply_settings, replace(node.settings, **changed_settings))
    fleet.run(20.0)
    assert fleet.has_one_ring()
    ring = nodes["a1"].ring
    assert ring.written_version == 2 and [member.capacity for member in ring.members] == [4.0, 1.0, 1.0]


def test_event_ends_when_each_response_of_its_own_owner_causes_a_request(monkeypatch):
    """An agent that owned a limit requested from itself forever and answered nothing else."""
    fleet = make_fleet(agents=3)

    def on_response(self, sender, incarnation, response, now):
        quota = original_on_response(self, sender, incarnation, response, now)
        if quota and sender == self.context.name:
            quota.exchanges[sender].may_have_more = True
        return quota

    original_on_response = LeaseHolder.on_response
    monkeypatch.setattr(LeaseHolder, "on_response", on_response)
    for _ in range(100):
        fleet.submit(AdmissionRequest(tenant="shop", workload="read"), ["a0"])
    fleet.run(1.0)
    assert fleet.nodes()["a0"].metrics()["own requests deferred"]
    assert fleet.checker.close() == []


def test_starts_that_learn_of_the_same_incarnation_take_different_ones():
    incarnations = set()
    for seed in range(20):
        node = Node(FleetSettings(fleet="f", name="a0", key=b"k" * 32, seeds=SEEDS), seed, 0.0, 1000.0)
        node.membership.newer_incarnation = lambda: 5_000_000 << 16
        node.tick()
        assert node.incarnation > 5_000_000 << 16
        incarnations.add(node.incarnation)
    assert len(incarnations) == 20
