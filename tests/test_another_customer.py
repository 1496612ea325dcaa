"""Unusual settings: each value that a deployment may leave out or set to its minimum."""

import json

import gevent
import pytest

from cartdeal.agent.reducer import MAX_ZONES
from cartdeal.agent.start import accept_duration, shutdown_duration
from cartdeal.balancer_types import ServerState
from cartdeal.settings import decode
from tests.scene import SETTINGS, encode_request, read_answer

pytestmark = pytest.mark.usefixtures("bounded")


def workload(name="mark", **more):
    """The settings of a deduplicated request class."""
    return {"name": name, "idempotency": "keyed", "group": "all", "goalTimeUs": 1000000} | more


MINIMAL_SETTINGS = {"workloads": [{"name": "any"}], "caps": {"maxShots": 3}}


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_request_class_without_settings_is_executed_once(deploy, method):
    deployment = deploy(servers=2, settings=MINIMAL_SETTINGS)
    assert deployment.ask("/any/x?do=reset", method, Idempotency_Key="k") == (502, b"")
    assert len(deployment.received_paths()) == 1
    assert deployment.ask("/any/x?do=full", method) == (503, b"")
    assert len(deployment.received_paths()) == 3
    assert deployment.ask("/any/x", method)[0] == 200


@pytest.mark.parametrize("key, attempts", [(None, 1), ("k", 2)])
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_deduplicated_request_is_retried_only_with_an_idempotency_key(deploy, method, key, attempts):
    deployment = deploy(servers=2)
    assert deployment.ask("/mark/x?do=reset", method, Idempotency_Key=key)[0] in (502, 503)
    assert len(deployment.received_paths()) == attempts


@pytest.mark.parametrize(
    "scope, window_us, status, attempts",
    [
        ("all", None, 502, 1),
        ("all", 0, 502, 1),
        ("all", 1, 502, 1),
        ("all", 4000000, 503, 2),
        # Without a known scope, no server is known to drop a repeat of an attempt in another cell.
        (None, 4000000, 502, 1),
        ("rack", 4000000, 502, 1),
        ("zone", 4000000, 502, 1),
    ],
)
def test_retries_by_deduplication_window_and_scope(deploy, scope, window_us, status, attempts):
    settings = SETTINGS | {"workloads": [workload(group=scope, repeatWindowUs=window_us)]}
    deployment = deploy(servers=2, settings=settings)
    zones = iter("ab")
    for index, line in enumerate(deployment.service.entries.values()):
        line |= {"az": next(zones), "pod_group": index}
    deployment.service.send_update(*deployment.service.entries.values())
    while len({each.zone for each in deployment.agent.reducer.balancer.servers.values()}) < 2:
        gevent.sleep(0.002)
    assert deployment.ask("/mark/x?do=reset", "POST", Idempotency_Key="k") == (status, b"")
    assert len(deployment.received_paths()) == attempts


def test_tenants_without_a_quota_never_exceed_their_share():
    # No tenant is known to exceed its share: otherwise all requests would get the overage factor.
    tenant = {"name": "x", "quotaPerS": 5}
    for tenants, quota_count in (([{"name": "y"}, tenant], 0), ([tenant], 2), ([], 0)):
        text = json.dumps(MINIMAL_SETTINGS | {"tenants": tenants, "overageImportance": 0.1}).encode()
        assert len(decode(text).balancer_settings(1).tenants) == quota_count


def test_connection_that_may_have_been_idle_too_long_is_not_reused(deploy):
    caps = SETTINGS["caps"] | {"idleCloseUs": 100000}
    deployment = deploy(settings=SETTINGS | {"caps": caps})
    assert deployment.ask() == (200, b"s0 ")
    server, upstream = deployment.servers[0], deployment.agent.upstream
    idle_connection = upstream.idle[0][0]
    idle_connection.last_active_at -= 0.09  # no sweep has run since; the server may have closed it
    assert deployment.ask("/once/x", "POST") == (200, b"s0 ") and idle_connection.closed
    assert idle_connection not in upstream.idle.get(0, ()) and len(server.received_requests) == 2


def test_lowest_limits_still_serve(deploy):
    deployment = deploy(limits={"memory_mb": 24, "sockets": 64})
    idle, busy = [deployment.connect() for _ in range(40)], []
    for _ in range(10):
        busy.append(deployment.connect())
        busy[-1].sock.sendall(encode_request())  # a connection idle as long as the others may be closed
    assert [read_answer(connection) for connection in busy] == [(200, b"s0 ")] * 10
    for connection in idle + busy:
        connection.close()


@pytest.mark.parametrize("millis", [20, 50])
def test_request_with_a_short_deadline_is_answered_if_its_server_is_silent(deploy, millis):
    settings = SETTINGS | {
        "workloads": [
            workload("read", idempotency="safe", goalTimeUs=millis * 500, timeLimitUs=millis * 1000)
        ]
    }
    deployment = deploy(settings=settings)
    assert deployment.ask("/read/x?do=silent", X_Timeout=f"{millis}m")[0] in (502, 503)
    assert deployment.ask("/read/x", X_Timeout=f"{millis}m")[0] == 200


def test_zone_scope_is_limited_to_the_cell_if_the_settings_name_no_zones(deploy):
    settings = SETTINGS | {"areas": [], "workloads": [workload(group="zone", repeatWindowUs=4000000)]}
    for cells, attempts in (((0, 1), 1), ((0, 0), 2)):
        deployment = deploy(servers=2, settings=settings)
        for line, zone, cell in zip(deployment.service.entries.values(), "ab", cells, strict=True):
            deployment.service.send_update(line | {"az": zone, "pod_group": cell})
        balancer = deployment.agent.reducer.balancer
        while [each.cell for each in balancer.servers.values()] != list(cells):
            gevent.sleep(0.002)
        assert deployment.ask("/mark/x?do=reset", "POST", Idempotency_Key="k") == (502, b"")
        assert len(deployment.received_paths()) == attempts


@pytest.mark.parametrize("zones, attempts", [("xy", 1), ("xx", 2), ("ax", 1), ("ay", 1)])
def test_zone_scope_holds_for_zones_that_the_settings_do_not_name(deploy, zones, attempts):
    settings = SETTINGS | {"areas": ["a", "b"], "workloads": [workload(group="zone", repeatWindowUs=4000000)]}
    deployment = deploy(servers=2, settings=settings)
    reducer = deployment.agent.reducer
    deployment.service.send_update(
        *(
            line | {"az": zone}
            for line, zone in zip(list(deployment.service.entries.values()), zones, strict=True)
        )
    )
    while reducer.list_version < 2:
        gevent.sleep(0.002)
    assert deployment.ask("/mark/x?do=reset", "POST", Idempotency_Key="k")[0] == 502
    assert len(deployment.received_paths()) == attempts and deployment.ask("/mark/x", "POST")[0] == 200


def test_number_of_zones_named_by_a_list_is_bounded(deploy):
    deployment = deploy()
    reducer, line = deployment.agent.reducer, deployment.servers[0].list_entry()
    deployment.service.send_update(
        *(line | {"uid": f"n{index}", "az": f"z{index}"} for index in range(2 * MAX_ZONES))
    )
    while reducer.list_version < 2:
        gevent.sleep(0.002)
    servers = reducer.balancer.servers.values()
    assert len(reducer.zone_indices) == MAX_ZONES and len(reducer.balancer.zones) == MAX_ZONES + 1
    # Zones a and b have no ready server: s0 is superseded by the newer servers at its address.
    assert sum(each.state is ServerState.READY for each in servers) == MAX_ZONES - 2
    assert deployment.ask()[0] == 200


@pytest.mark.parametrize("family", ["mesh", "proxy"])
def test_request_class_of_no_importance_is_served_and_forgotten(deploy, family):
    settings = SETTINGS | {
        "family": family,
        "workloads": [workload("read", idempotency="safe", importance=0)],
    }
    deployment = deploy(settings=settings)
    for behaviour in ("serve", "full", "reset", "serve"):
        assert deployment.ask(f"/read/x?do={behaviour}")[0] == (200 if behaviour == "serve" else 503)
    assert not deployment.agent.reducer.balancer.requests


def test_unnamed_tenant_uses_up_no_share_of_the_others(deploy):
    settings = SETTINGS | {"overageImportance": 0.1, "tenants": [{"name": "x", "quotaPerS": 5}]}
    deployment, weights = deploy(settings=settings), {}
    balancer = deployment.agent.reducer.balancer
    route = balancer.route
    balancer.route = lambda request, now, **more: (
        weights.setdefault(name, []).append(request.priority_weight),
        route(request, now, **more),
    )
    for name in ("y",) * 10 + ("x", None) * 3:  # a request without a tenant counts for the first one
        deployment.ask(X_Tenant_Id=name)
    assert weights == {"y": [0.1] * 10, "x": [1.0] * 3, None: [1.0] * 3}


@pytest.mark.parametrize("millis", [50, 180, 300, 900, 6000])
def test_agent_shuts_down_before_it_is_killed_for_any_deadline(millis):
    settings = decode(json.dumps({"workloads": [{"name": "read", "timeLimitUs": millis * 1000}]}).encode())
    kill_delay = min(3.0, millis / 1e3) + 0.7
    # Connections arrive for 0.4 s; a request on the last one has its full time, and all are closed in order.
    assert 0.4 < accept_duration(settings) <= shutdown_duration(settings) - 0.2
    assert min(3.0, millis / 1e3) < shutdown_duration(settings) <= kill_delay - 0.1
