"""The checks at run time find what they are for: each fault is planted, and has to be counted."""

import gevent
import pytest

from cartdeal.agent import front, upstream
from cartdeal.agent.invariants import Destination, Invariant, InvariantMonitor
from cartdeal.agent.metrics import Metrics
from cartdeal.balancer_types import DeduplicationScope, Idempotency, RequestClass
from tests.scene import Deployment, answered, until, worded

HERE, ZONE_MATE, AWAY = Destination(0, 0, True), Destination(0, 1, True), Destination(1, 2, True)
ONCE = RequestClass(Idempotency.NON_IDEMPOTENT, DeduplicationScope.CELL, 0.0, 1.0, 1.0)
READ = ONCE._replace(idempotency=Idempotency.IDEMPOTENT)


def deduplicated(group):
    return ONCE._replace(
        idempotency=Idempotency.DEDUPLICATED, deduplication_scope=group, deduplication_window=2.0
    )


class Checked:
    """A monitor with one request, 1, that is due at 105."""

    def __init__(self, request_class):
        self.found = []
        self.monitor = InvariantMonitor(lambda invariant, id, detail: self.found.append(invariant))
        self.monitor.on_request(1, b"id", request_class, 105.0)

    def send(self, attempt, place=HERE, now=100.0, told=1.0):
        self.monitor.on_attempt_started(1, attempt, place, told, now)


@pytest.mark.parametrize(
    "request_class, place, now, breaks",
    [
        (READ, AWAY, 104.0, False),
        (ONCE, HERE, 100.1, True),
        (deduplicated(DeduplicationScope.ALL), AWAY, 101.9, False),
        (deduplicated(DeduplicationScope.ALL), HERE, 102.1, True),
        (deduplicated(DeduplicationScope.ZONE), ZONE_MATE, 101.0, False),
        (deduplicated(DeduplicationScope.ZONE), AWAY, 101.0, True),
        (deduplicated(DeduplicationScope.CELL), HERE, 101.0, False),
        (deduplicated(DeduplicationScope.CELL), ZONE_MATE, 101.0, True),
    ],
)
@pytest.mark.parametrize("never_ran", [None, False, True])
def test_second_attempt_where_the_first_may_have_run(request_class, place, now, breaks, never_ran):
    checked = Checked(request_class)
    checked.send(0)
    if never_ran is not None:
        checked.monitor.on_attempt_ended(1, 0, never_ran)
    checked.send(1, place, now)
    assert checked.found == [Invariant.NO_SECOND_EFFECT] * (breaks and not never_ran)


@pytest.mark.parametrize(
    "request_class, now, breaks",
    [
        (READ, 104.0, False),
        (ONCE, 101.0, True),
        (deduplicated(DeduplicationScope.ALL), 101.0, False),
        (deduplicated(DeduplicationScope.ALL), 102.5, True),
        (deduplicated(DeduplicationScope.ZONE), 101.0, True),
    ],
)
@pytest.mark.parametrize("status", [429, 503, 502])
def test_rejection_where_an_attempt_may_have_run(request_class, now, breaks, status):
    checked = Checked(request_class)
    checked.send(0)
    checked.monitor.on_answer(1, status, now)
    assert checked.found == [Invariant.NO_UNSAFE_REJECTION] * (breaks and status != 502)


def test_answers_sends_and_times_that_are_wrong():
    checked = Checked(READ)
    checked.send(0, told=5.1)
    checked.send(1, told=5.2)
    checked.send(2, Destination(0, 0, False))
    checked.send(3, None)
    checked.monitor.on_answer(1, 200, 105.06)
    checked.monitor.on_answer(1, 200, 105.06)
    checked.send(4)
    checked.monitor.forget(1)
    checked.send(5)
    assert checked.found == [
        Invariant.TIMEOUT_WITHIN_DEADLINE,
        Invariant.NO_SEND_TO_DRAINING,
        Invariant.NO_SEND_TO_DRAINING,
        Invariant.ONE_ANSWER,
        Invariant.NO_SEND_WITHOUT_CLIENT,
        Invariant.NO_SEND_WITHOUT_CLIENT,
    ]
    late = Checked(READ)
    late.monitor.on_answer(1, 200, 105.08)
    gone = Checked(READ)
    gone.monitor.on_client_disconnected(1)
    gone.send(0)
    assert late.found == [Invariant.ANSWER_IN_TIME] and gone.found == [Invariant.NO_SEND_WITHOUT_CLIENT]


# In an agent


@pytest.fixture
def deployment(tmp_path, bounded):
    made = Deployment(tmp_path, servers=2)
    yield made
    made.stop()


def violations(deployment):
    counts = deployment.agent.metrics.counts
    return {name.removeprefix("violations_"): n for name, n in counts.items() if "violations" in name}


def test_agent_that_keeps_the_rules_counts_none(deployment):
    for place, does in enumerate(["", "reset", "error", "full", "half", "silent"] * 3):
        for request_class, method in (("read", "GET"), ("mark", "POST"), ("once", "POST")):
            client = deployment.connect()
            deployment.ask(f"/{request_class}/{place}?do={does}", method, connection=client, X_Timeout="60m")
            client.sock.sendall(worded()[:30])
            client.close()
    until(lambda: not deployment.agent.front.clients)
    assert not violations(deployment)
    assert deployment.agent.metrics.counts["requests"] == 54


def test_further_attempt_of_a_non_idempotent_request_is_counted(deployment, monkeypatch):
    monkeypatch.setattr("cartdeal.balancer.Balancer.is_attempt_safe", lambda *about: True)
    deployment.ask("/once/x?do=reset", "POST")
    assert violations(deployment)["no_second_effect"] >= 1


def test_attempt_to_a_draining_server_is_counted(deployment, monkeypatch):
    monkeypatch.setattr("cartdeal.agent.reducer.Reducer.may_send", lambda *about: True)
    connect = upstream.UpstreamPool.connect

    def drained_meanwhile(pool, *about):
        for server in deployment.agent.reducer.balancer.servers.values():
            server.state = None
        return connect(pool, *about)

    monkeypatch.setattr(upstream.UpstreamPool, "connect", drained_meanwhile)
    deployment.ask()
    assert violations(deployment)["no_send_to_draining"] >= 1


def test_close_over_a_request_that_was_read_is_counted(deployment, monkeypatch):
    client = deployment.connect()
    client.sock.sendall(worded()[:30])
    until(lambda: any(each.mid_message for each in deployment.agent.front.clients))
    (theirs,) = deployment.agent.front.clients
    theirs.close()
    assert violations(deployment) == {"answer_before_close": 1}


def test_client_that_is_gone_or_answered_is_no_violation(deployment):
    client = deployment.connect()
    client.sock.sendall(worded()[:30])
    until(lambda: any(each.mid_message for each in deployment.agent.front.clients))
    (theirs,) = deployment.agent.front.clients
    deployment.agent.front.end_connection(theirs, front.EndReason.CAPACITY, front.NO_CAPACITY_ERROR)
    assert answered(client)[0] == 503 and answered(client) is None
    client.close()
    until(lambda: not deployment.agent.front.lingering)
    assert not violations(deployment)
    assert deployment.agent.metrics.counts["clients_closed_for_room"] == 1


def test_client_that_went_while_its_requests_waited_is_no_violation(deployment):
    client = deployment.connect()
    client.sock.sendall(worded("/read/x?do=wait") + worded() + worded())
    until(deployment.seen)
    agent = deployment.agent
    (theirs,) = agent.front.clients
    until(lambda: len(theirs.messages) == 2)
    client.close()
    assert not agent.may_send(theirs.request_number, 0, 0)
    assert not violations(deployment) and agent.metrics.counts["clients_gone"] == 1


def test_log_tells_what_became_of_a_request_and_of_circuits(deployment, caplog):
    caplog.set_level("INFO")
    deployment.ask("/read/x?do=error", X_Request_ID="lost")
    for number in range(12):
        deployment.ask(f"/read/{number}?do=reset", X_Request_ID=f"reset-{number}")
    lines = [(each.message, vars(each)) for each in caplog.records]
    retried = [fields for message, fields in lines if message == "request retried"]
    assert retried[0]["request"] == "lost" and retried[0]["after"] == "error"
    ended = [fields for message, fields in lines if message == "request not served"]
    assert ended[0]["request"] == "lost" and ended[0]["attempts"] >= 2 and ended[0]["status"] in (502, 503)
    opened = [fields for message, fields in lines if message == "circuit opened"]
    assert opened and {each["server"] for each in opened} <= {each.address for each in deployment.servers}


def test_metrics_are_told_once_where_nothing_changes(deployment, caplog):
    caplog.set_level("INFO")
    assert deployment.ask()[0] == 200
    deployment.agent.log_metrics()
    deployment.agent.log_metrics()
    (told,) = [each for each in caplog.records if each.message == "metrics"]
    assert told.requests == told.attempts == told.answers_200 == 1
    metrics = Metrics()
    assert metrics.report() == {}
    metrics.count("b", 2)
    metrics.count("a")
    assert list(metrics.report().items()) == [("a", 1), ("b", 2)] and metrics.report() == {}
    gevent.sleep(0)
