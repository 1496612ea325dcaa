"""Each runtime check must detect and count the fault that it is for."""

import gevent
import pytest

from cartdeal.agent import front, upstream
from cartdeal.agent.client_connection import EndReason
from cartdeal.agent.invariants import Destination, Invariant, InvariantMonitor
from cartdeal.agent.metrics import Metrics
from cartdeal.balancer_types import DeduplicationScope, Idempotency, RequestClass
from tests.scene import Deployment, encode_request, read_answer, until

SAME_CELL, SAME_ZONE, OTHER_ZONE = Destination(0, 0, True), Destination(0, 1, True), Destination(1, 2, True)
ONCE = RequestClass(Idempotency.NON_IDEMPOTENT, DeduplicationScope.CELL, 0.0, 1.0, 1.0)
READ = ONCE._replace(idempotency=Idempotency.IDEMPOTENT)


def deduplicated(group):
    return ONCE._replace(
        idempotency=Idempotency.DEDUPLICATED, deduplication_scope=group, deduplication_window=2.0
    )


class MonitoredRequest:
    """A monitor with one open request, number 1, whose deadline is 105."""

    def __init__(self, request_class):
        self.violations = []
        self.monitor = InvariantMonitor(lambda invariant, id, detail: self.violations.append(invariant))
        self.monitor.on_request(1, b"id", request_class, 105.0)

    def send(self, attempt, destination=SAME_CELL, now=100.0, timeout_sent=1.0):
        self.monitor.on_attempt_started(1, attempt, destination, timeout_sent, now)


@pytest.mark.parametrize(
    "request_class, destination, now, is_violation",
    [
        (READ, OTHER_ZONE, 104.0, False),
        (ONCE, SAME_CELL, 100.1, True),
        (deduplicated(DeduplicationScope.ALL), OTHER_ZONE, 101.9, False),
        (deduplicated(DeduplicationScope.ALL), SAME_CELL, 102.1, True),
        (deduplicated(DeduplicationScope.ZONE), SAME_ZONE, 101.0, False),
        (deduplicated(DeduplicationScope.ZONE), OTHER_ZONE, 101.0, True),
        (deduplicated(DeduplicationScope.CELL), SAME_CELL, 101.0, False),
        (deduplicated(DeduplicationScope.CELL), SAME_ZONE, 101.0, True),
    ],
)
@pytest.mark.parametrize("never_ran", [None, False, True])
def test_second_attempt_after_one_that_may_have_run_is_reported(
    request_class, destination, now, is_violation, never_ran
):
    monitored = MonitoredRequest(request_class)
    monitored.send(0)
    if never_ran is not None:
        monitored.monitor.on_attempt_ended(1, 0, never_ran)
    monitored.send(1, destination, now)
    assert monitored.violations == [Invariant.NO_SECOND_EFFECT] * (is_violation and not never_ran)


@pytest.mark.parametrize(
    "request_class, now, is_violation",
    [
        (READ, 104.0, False),
        (ONCE, 101.0, True),
        (deduplicated(DeduplicationScope.ALL), 101.0, False),
        (deduplicated(DeduplicationScope.ALL), 102.5, True),
        (deduplicated(DeduplicationScope.ZONE), 101.0, True),
    ],
)
@pytest.mark.parametrize("status", [429, 503, 502])
def test_rejection_after_an_attempt_that_may_have_run_is_reported(request_class, now, is_violation, status):
    monitored = MonitoredRequest(request_class)
    monitored.send(0)
    monitored.monitor.on_answer(1, status, now)
    assert monitored.violations == [Invariant.NO_UNSAFE_REJECTION] * (is_violation and status != 502)


def test_invalid_answers_sends_and_timeouts_are_reported():
    monitored = MonitoredRequest(READ)
    monitored.send(0, timeout_sent=5.1)
    monitored.send(1, timeout_sent=5.2)
    monitored.send(2, Destination(0, 0, False))
    monitored.send(3, None)
    monitored.monitor.on_answer(1, 200, 105.06)
    monitored.monitor.on_answer(1, 200, 105.06)
    monitored.send(4)
    monitored.monitor.forget(1)
    monitored.send(5)
    assert monitored.violations == [
        Invariant.TIMEOUT_WITHIN_DEADLINE,
        Invariant.NO_SEND_TO_DRAINING,
        Invariant.NO_SEND_TO_DRAINING,
        Invariant.ONE_ANSWER,
        Invariant.NO_SEND_WITHOUT_CLIENT,
        Invariant.NO_SEND_WITHOUT_CLIENT,
    ]
    late = MonitoredRequest(READ)
    late.monitor.on_answer(1, 200, 105.08)
    disconnected = MonitoredRequest(READ)
    disconnected.monitor.on_client_disconnected(1)
    disconnected.send(0)
    assert late.violations == [Invariant.ANSWER_IN_TIME] and disconnected.violations == [
        Invariant.NO_SEND_WITHOUT_CLIENT
    ]


# In a running agent


@pytest.fixture
def deployment(tmp_path, bounded):
    created = Deployment(tmp_path, servers=2)
    yield created
    created.stop()


def violations(deployment):
    counts = deployment.agent.metrics.counts
    return {name.removeprefix("violations_"): n for name, n in counts.items() if "violations" in name}


def test_agent_that_keeps_the_rules_counts_no_violation(deployment):
    for index, server_behaviour in enumerate(["", "reset", "error", "full", "half", "silent"] * 3):
        for request_class, method in (("read", "GET"), ("mark", "POST"), ("once", "POST")):
            client = deployment.connect()
            deployment.ask(
                f"/{request_class}/{index}?do={server_behaviour}",
                method,
                connection=client,
                X_Timeout="60m",
            )
            client.sock.sendall(encode_request()[:30])
            client.close()
    until(lambda: not deployment.agent.front.clients)
    assert not violations(deployment)
    assert deployment.agent.metrics.counts["requests"] == 54


def test_second_attempt_of_a_non_idempotent_request_is_counted(deployment, monkeypatch):
    monkeypatch.setattr("cartdeal.balancer.Balancer.is_attempt_safe", lambda *args: True)
    deployment.ask("/once/x?do=reset", "POST")
    assert violations(deployment)["no_second_effect"] >= 1


def test_attempt_to_a_draining_server_is_counted(deployment, monkeypatch):
    monkeypatch.setattr("cartdeal.agent.reducer.Reducer.may_send", lambda *args: True)
    connect = upstream.UpstreamPool.connect

    def connect_after_drain(pool, *args):
        for server in deployment.agent.reducer.balancer.servers.values():
            server.state = None
        return connect(pool, *args)

    monkeypatch.setattr(upstream.UpstreamPool, "connect", connect_after_drain)
    deployment.ask()
    assert violations(deployment)["no_send_to_draining"] >= 1


def test_close_with_a_partly_read_request_is_counted(deployment, monkeypatch):
    client = deployment.connect()
    client.sock.sendall(encode_request()[:30])
    until(lambda: any(each.mid_message for each in deployment.agent.front.clients))
    (connection,) = deployment.agent.front.clients
    connection.close()
    assert violations(deployment) == {"answer_before_close": 1}


def test_client_that_is_answered_before_the_close_is_no_violation(deployment):
    client = deployment.connect()
    client.sock.sendall(encode_request()[:30])
    until(lambda: any(each.mid_message for each in deployment.agent.front.clients))
    (connection,) = deployment.agent.front.clients
    deployment.agent.front.end_connection(connection, EndReason.CAPACITY, front.NO_CAPACITY_ANSWER)
    assert read_answer(client)[0] == 503 and read_answer(client) is None
    client.close()
    until(lambda: not deployment.agent.front.lingering)
    assert not violations(deployment)
    assert deployment.agent.metrics.counts["clients_closed_for_room"] == 1


def test_client_that_disconnects_with_waiting_requests_is_no_violation(deployment):
    client = deployment.connect()
    client.sock.sendall(encode_request("/read/x?do=wait") + encode_request() + encode_request())
    until(deployment.received_paths)
    agent = deployment.agent
    (connection,) = agent.front.clients
    until(lambda: len(connection.messages) == 2)
    client.close()
    assert not agent.may_send(connection.request_number, 0, 0)
    assert not violations(deployment) and agent.metrics.counts["clients_gone"] == 1


def test_log_contains_failed_requests_and_opened_circuits(deployment, caplog):
    caplog.set_level("INFO")
    deployment.ask("/read/x?do=error", X_Request_ID="lost")
    for number in range(12):
        deployment.ask(f"/read/{number}?do=reset", X_Request_ID=f"reset-{number}")
    log_records = [(each.message, vars(each)) for each in caplog.records]
    retried = [fields for message, fields in log_records if message == "request retried"]
    assert retried[0]["request"] == "lost" and retried[0]["after"] == "error"
    not_served = [fields for message, fields in log_records if message == "request not served"]
    assert (
        not_served[0]["request"] == "lost"
        and not_served[0]["attempts"] >= 2
        and not_served[0]["status"] in (502, 503)
    )
    opened = [fields for message, fields in log_records if message == "circuit opened"]
    assert opened and {each["server"] for each in opened} <= {each.address for each in deployment.servers}


def test_unchanged_metrics_are_logged_once(deployment, caplog):
    caplog.set_level("INFO")
    assert deployment.ask()[0] == 200
    deployment.agent.log_metrics()
    deployment.agent.log_metrics()
    (record,) = [each for each in caplog.records if each.message == "metrics"]
    assert record.requests == record.attempts == record.answers_200 == 1
    metrics = Metrics()
    assert metrics.report() == {}
    metrics.count("b", 2)
    metrics.count("a")
    assert list(metrics.report().items()) == [("a", 1), ("b", 2)] and metrics.report() == {}
    gevent.sleep(0)
