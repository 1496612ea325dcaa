"""Settings that no customer so far had: each value that a deployment may leave out or set to its least."""

import json

import gevent
import pytest

from cartdeal.agent.reducer import MAX_ZONES
from cartdeal.agent.start import accept_duration, shutdown_duration
from cartdeal.balancer_types import ServerState
from cartdeal.settings import decode
from tests.scene import SETTINGS, answered, worded

pytestmark = pytest.mark.usefixtures("bounded")


def workload(name="mark", **more):
    return {"name": name, "idempotency": "keyed", "group": "all", "goalTimeUs": 1000000} | more


BARE = {"workloads": [{"name": "any"}], "caps": {"maxShots": 3}}


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_class_of_which_nothing_is_said_runs_once(deploy, method):
    deployment = deploy(servers=2, settings=BARE)
    assert deployment.ask("/any/x?do=reset", method, Idempotency_Key="k") == (502, b"")
    assert len(deployment.seen()) == 1
    assert deployment.ask("/any/x?do=full", method) == (503, b"")
    assert len(deployment.seen()) == 3
    assert deployment.ask("/any/x", method)[0] == 200


@pytest.mark.parametrize("key, attempts", [(None, 1), ("k", 2)])
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_deduplicated_request_is_sent_again_only_with_the_key_that_tells_a_repeat(
    deploy, method, key, attempts
):
    deployment = deploy(servers=2)
    assert deployment.ask("/mark/x?do=reset", method, Idempotency_Key=key)[0] in (502, 503)
    assert len(deployment.seen()) == attempts


@pytest.mark.parametrize(
    "group, window, status, attempts",
    [
        ("all", None, 502, 1),
        ("all", 0, 502, 1),
        ("all", 1, 502, 1),
        ("all", 4000000, 503, 2),
        # Of a group that is not named, or not known, no server is known to drop a repeat of another cell's.
        (None, 4000000, 502, 1),
        ("rack", 4000000, 502, 1),
        ("zone", 4000000, 502, 1),
    ],
)
def test_window_that_is_missing_or_over_and_groups(deploy, group, window, status, attempts):
    settings = SETTINGS | {"workloads": [workload(group=group, repeatWindowUs=window)]}
    deployment = deploy(servers=2, settings=settings)
    zones = iter("ab")
    for place, line in enumerate(deployment.service.lines.values()):
        line |= {"az": next(zones), "pod_group": place}
    deployment.service.tell(*deployment.service.lines.values())
    while len({each.zone for each in deployment.agent.reducer.balancer.servers.values()}) < 2:
        gevent.sleep(0.002)
    assert deployment.ask("/mark/x?do=reset", "POST", Idempotency_Key="k") == (status, b"")
    assert len(deployment.seen()) == attempts


def test_tenants_without_a_quota_are_all_within_their_share():
    # None is known to send too much: to count all they send as beyond it would make all of little worth.
    quota = {"name": "x", "quotaPerS": 5}
    for tenants, known in (([{"name": "y"}, quota], 0), ([quota], 2), ([], 0)):
        text = json.dumps(BARE | {"tenants": tenants, "overageImportance": 0.1}).encode()
        assert len(decode(text).balancer_settings(1).tenants) == known


def test_connection_that_may_have_stood_too_long_is_used_no_more(deploy):
    caps = SETTINGS["caps"] | {"idleCloseUs": 100000}
    deployment = deploy(settings=SETTINGS | {"caps": caps})
    assert deployment.ask() == (200, b"s0 ")
    server, upstream = deployment.servers[0], deployment.agent.upstream
    kept = upstream.idle[0][0]
    kept.since -= 0.09  # no sweep has come by since; the server may have left it by now
    assert deployment.ask("/once/x", "POST") == (200, b"s0 ") and kept.closed
    assert kept not in upstream.idle.get(0, ()) and len(server.seen) == 2


def test_least_limits_still_serve(deploy):
    deployment = deploy(limits={"memory_mb": 24, "sockets": 64})
    idle, asked = [deployment.connect() for _ in range(40)], []
    for _ in range(10):
        asked.append(deployment.connect())
        asked[-1].sock.sendall(worded())  # what is silent as long as others are may be closed for them
    assert [answered(connection) for connection in asked] == [(200, b"s0 ")] * 10
    for connection in idle + asked:
        connection.close()


@pytest.mark.parametrize("millis", [20, 50])
def test_request_of_little_time_is_answered_when_its_server_is_silent(deploy, millis):
    settings = SETTINGS | {
        "workloads": [
            workload("read", idempotency="safe", goalTimeUs=millis * 500, timeLimitUs=millis * 1000)
        ]
    }
    deployment = deploy(settings=settings)
    assert deployment.ask("/read/x?do=silent", X_Timeout=f"{millis}m")[0] in (502, 503)
    assert deployment.ask("/read/x", X_Timeout=f"{millis}m")[0] == 200


def test_repeat_of_a_zones_group_stays_in_its_cell_where_no_areas_are_named(deploy):
    settings = SETTINGS | {"areas": [], "workloads": [workload(group="zone", repeatWindowUs=4000000)]}
    for cells, attempts in (((0, 1), 1), ((0, 0), 2)):
        deployment = deploy(servers=2, settings=settings)
        for line, zone, cell in zip(deployment.service.lines.values(), "ab", cells, strict=True):
            deployment.service.tell(line | {"az": zone, "pod_group": cell})
        balancer = deployment.agent.reducer.balancer
        while [each.cell for each in balancer.servers.values()] != list(cells):
            gevent.sleep(0.002)
        assert deployment.ask("/mark/x?do=reset", "POST", Idempotency_Key="k") == (502, b"")
        assert len(deployment.seen()) == attempts


@pytest.mark.parametrize("zones, attempts", [("xy", 1), ("xx", 2), ("ax", 1), ("ay", 1)])
def test_repeat_of_a_zones_group_stays_in_a_zone_that_the_settings_do_not_name(deploy, zones, attempts):
    settings = SETTINGS | {"areas": ["a", "b"], "workloads": [workload(group="zone", repeatWindowUs=4000000)]}
    deployment = deploy(servers=2, settings=settings)
    reducer = deployment.agent.reducer
    deployment.service.tell(
        *(
            line | {"az": zone}
            for line, zone in zip(list(deployment.service.lines.values()), zones, strict=True)
        )
    )
    while reducer.list_version < 2:
        gevent.sleep(0.002)
    assert deployment.ask("/mark/x?do=reset", "POST", Idempotency_Key="k")[0] == 502
    assert len(deployment.seen()) == attempts and deployment.ask("/mark/x", "POST")[0] == 200


def test_zones_that_a_list_makes_up_are_bounded(deploy):
    deployment = deploy()
    reducer, line = deployment.agent.reducer, deployment.servers[0].line()
    deployment.service.tell(*(line | {"uid": f"n{at}", "az": f"z{at}"} for at in range(2 * MAX_ZONES)))
    while reducer.list_version < 2:
        gevent.sleep(0.002)
    servers = reducer.balancer.servers.values()
    assert len(reducer.zone_indices) == MAX_ZONES and len(reducer.balancer.zones) == MAX_ZONES + 1
    assert (
        sum(each.state is ServerState.READY for each in servers) == MAX_ZONES - 1
    )  # s0 among them; no zone b
    assert deployment.ask()[0] == 200


@pytest.mark.parametrize("family", ["mesh", "proxy"])
def test_class_of_no_importance_is_served_and_leaves_nothing(deploy, family):
    settings = SETTINGS | {
        "family": family,
        "workloads": [workload("read", idempotency="safe", importance=0)],
    }
    deployment = deploy(settings=settings)
    for does in ("serve", "full", "reset", "serve"):
        assert deployment.ask(f"/read/x?do={does}")[0] == (200 if does == "serve" else 503)
    assert not deployment.agent.reducer.balancer.requests


def test_tenant_that_is_not_named_uses_up_no_other_ones_share(deploy):
    settings = SETTINGS | {"overageImportance": 0.1, "tenants": [{"name": "x", "quotaPerS": 5}]}
    deployment, values = deploy(settings=settings), {}
    balancer = deployment.agent.reducer.balancer
    route = balancer.route
    balancer.route = lambda request, now, **more: (
        values.setdefault(name, []).append(request.priority_weight),
        route(request, now, **more),
    )
    for name in ("y",) * 10 + ("x", None) * 3:  # one with no name counts as the first
        deployment.ask(X_Tenant_Id=name)
    assert values == {"y": [0.1] * 10, "x": [1.0] * 3, None: [1.0] * 3}


@pytest.mark.parametrize("millis", [50, 180, 300, 900, 6000])
def test_agent_ends_in_order_before_it_is_killed_however_short_its_deadlines(millis):
    settings = decode(json.dumps({"workloads": [{"name": "read", "timeLimitUs": millis * 1000}]}).encode())
    killed = min(3.0, millis / 1e3) + 0.7
    # Connections come for 0.4 s; what is taken on the last one has its time, and all are closed in order.
    assert 0.4 < accept_duration(settings) <= shutdown_duration(settings) - 0.2
    assert min(3.0, millis / 1e3) < shutdown_duration(settings) <= killed - 0.1
