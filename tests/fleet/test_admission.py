"""Admission control: the reducer's side with given decisions, and the agent's side with a fake node."""

import time

import gevent
import pytest
from msgspec.structs import replace

from cartdeal.agent.admission import request_digest
from cartdeal.agent.configuration import ServerEntry, ServerList
from cartdeal.agent.reducer import AttemptEndReason, AttemptResult, Progress, Reducer, Request
from cartdeal.agent.request_parser import hash_key
from cartdeal.fleet import configuration
from cartdeal.fleet.effects import DeliverDecision
from cartdeal.fleet.idempotency import AdmissionDecision, AdmissionRequest
from cartdeal.fleet.settings import FleetSettings
from tests.scene import SETTINGS, Deployment, agent_config, encode_request, read_answer, until
from tests.test_reducer import ReducerHarness

WORKLOADS = SETTINGS["workloads"] + [
    {
        "name": name,
        "idempotency": "keyed",
        "group": group,
        "repeatWindowUs": 4000000,
        "goalTimeUs": 1000000,
        "timeLimitUs": 2000000,
    }
    for name, group in (("zoned", "zone"), ("celled", "cell"))
]
READ, MARK, ONCE, ZONED, CELLED = range(5)
SERVERS = [("a1", "a", 1), ("a2", "a", 2), ("b1", "b", 1), ("b2", "b", 2)]
MAX_REQUEST_DURATIONS = (float("inf"), 26.0, 30.0, 26.0, 26.0)


class AdmissionHarness(ReducerHarness):
    """A reducer harness with admission control, whose decisions the test gives."""

    def __init__(self, folder, servers=SERVERS):
        known = {
            "rev": 1,
            "all": True,
            "targets": [
                {"uid": name, "endpoint": f"127.0.0.1:{index + 1}", "az": zone, "pod_group": cell}
                for index, (name, zone, cell) in enumerate(servers)
            ],
        }
        config = agent_config(folder, known=known, settings=SETTINGS | {"workloads": WORKLOADS})
        self.lines, self.servers_by_attempt, self.effects_log = [], {}, []
        self.reducer = Reducer(config, 100.0, 1100.0, MAX_REQUEST_DURATIONS)
        self.record_effects("start")

    def record_effects(self, event):
        """Record the effects; a suppressed attempt ends by an event of its own."""
        for effect, *args in self.reducer.effects:
            if effect == "send_attempt":
                self.servers_by_attempt[tuple(args[:2])] = args[2]
            if effect in (
                "admit",
                "attempt_sent",
                "request_ended",
                "suppress_attempt",
                "answer",
                "send_attempt",
            ):
                self.effects_log.append((effect, *args))
        suppressed = [args for effect, *args in self.reducer.effects if effect == "suppress_attempt"]
        self.reducer.effects.clear()
        for args in suppressed:
            self.run_event(0.0, "on_attempt_ended", *args)

    def effects_of(self, effect):
        return [args for each, *args in self.effects_log if each == effect]

    def statuses(self):
        return [args[1] for args in self.effects_of("answer")]

    def earlier_attempts(self, *locations, group="zone", duration=4.0):
        return tuple((zone, cell, group, self.reducer.now + duration) for zone, cell in locations)


@pytest.fixture
def harness(tmp_path):
    return AdmissionHarness(tmp_path)


def test_attempts_are_sent_and_reported_only_after_the_decision(harness):
    harness.send_request(ONCE)
    assert (
        not harness.effects_of("send_attempt")
        and not harness.reducer.balancer.requests
        and harness.effects_of("admit")[0][0] == 1
    )
    harness.run_event(0.01, "on_admitted", 1, ())
    effect_names = [effect for effect, *_ in harness.effects_log]
    assert effect_names == ["admit", "attempt_sent", "send_attempt"] and harness.effects_of(
        "attempt_sent"
    ) == [[1, "a", harness.effects_of("attempt_sent")[0][2]]]
    harness.end_attempt(1, 0)
    assert harness.statuses() == [200] and harness.effects_of("request_ended") == [[1, "answered"]]
    harness.run_event(0.0, "on_admitted", 1, ())
    assert len(harness.effects_of("send_attempt")) == 1


@pytest.mark.parametrize("status", [429, 502, 503])
def test_declined_request_is_answered_without_an_attempt(harness, status):
    harness.send_request(ONCE)
    harness.run_event(0.01, "on_declined", 1, status, 0.7)
    assert harness.effects_of("answer") == [["line 1", status, b"", b"", 0.7]] and harness.effects_of(
        "request_ended"
    ) == [[1, "never"]]
    harness.run_event(0.01, "on_admitted", 1, ())
    harness.run_event(0.01, "on_declined", 1, 502, 0.0)
    assert (
        len(harness.statuses()) == 1
        and not harness.effects_of("send_attempt")
        and not harness.reducer.requests
    )


def test_decision_after_the_client_disconnected_is_ignored(harness):
    harness.send_request(MARK)
    harness.run_event(0.01, "on_client_disconnected", 1)
    harness.run_event(0.01, "on_admitted", 1, ())
    assert (
        harness.effects_of("request_ended") == [[1, "never"]]
        and not harness.effects_of("send_attempt")
        and not harness.reducer.requests
    )


@pytest.mark.parametrize("request_class, status", [(READ, 503), (ONCE, 502), (MARK, 502)])
def test_request_without_a_decision_is_rejected_only_if_it_is_idempotent(harness, request_class, status):
    harness.send_request(request_class)
    harness.run_event(2.1, "on_deadline_passed", 1)
    assert harness.statuses() == [status] and harness.effects_of("request_ended") == [[1, "never"]]


@pytest.mark.parametrize(
    "results, ran",
    [
        ([(AttemptEndReason.CONNECTION_BROKEN, Progress.NOT_CONNECTED, 0)] * 3, "never"),
        ([(AttemptEndReason.CONNECTION_BROKEN, Progress.WRITTEN, 0)], "maybe"),
        (
            [
                (AttemptEndReason.CONNECTION_BROKEN, Progress.NOT_CONNECTED, 0),
                (AttemptEndReason.ANSWERED, Progress.COMPLETE, 500),
            ],
            "maybe",
        ),
        (
            [
                (AttemptEndReason.CONNECTION_BROKEN, Progress.NOT_CONNECTED, 0),
                (AttemptEndReason.ANSWERED, Progress.COMPLETE, 200),
            ],
            "answered",
        ),
    ],
)
def test_reported_outcome_of_an_ended_request(harness, results, ran):
    harness.send_request(ONCE)
    harness.run_event(0.01, "on_admitted", 1, ())
    for attempt, (reason, progress, status) in enumerate(results):
        assert not harness.effects_of("request_ended")
        harness.end_attempt(1, attempt, reason, progress, status)
    assert harness.effects_of("request_ended") == [[1, ran]] and not harness.reducer.requests


def test_answer_for_a_disconnected_client_is_reported_as_maybe_run(harness):
    harness.send_request(ONCE)
    harness.run_event(0.01, "on_admitted", 1, ())
    harness.run_event(0.01, "on_client_disconnected", 1)
    assert not harness.effects_of("request_ended")
    harness.end_attempt(1, 0)
    assert harness.effects_of("request_ended") == [[1, "maybe"]]


@pytest.mark.parametrize(
    "request_class, group, locations, allowed",
    [
        (MARK, "all", [("", -1)], {0, 1, 2, 3}),
        (ZONED, "zone", [("b", 1)], {2, 3}),
        (ZONED, "zone", [("a", 1)], {0, 1}),
        (CELLED, "cell", [("b", 2)], {3}),
        (CELLED, "cell", [("a", 1)], {0}),
        (ZONED, "zone", [("a", 1), ("b", 1)], set()),
        (ZONED, "zone", [("elsewhere", 1)], set()),
        (ONCE, "all", [], {0, 1, 2, 3}),
    ],
)
def test_repeat_is_sent_only_to_servers_that_the_earlier_attempt_allows(
    tmp_path, request_class, group, locations, allowed
):
    reached = set()
    for key in range(8):
        harness = AdmissionHarness(tmp_path)
        harness.send_request(request_class)
        harness.reducer.requests[1].request = harness.reducer.requests[1].request._replace(
            session_hash=key + 1
        )
        harness.run_event(0.01, "on_admitted", 1, harness.earlier_attempts(*locations, group=group))
        harness.run_event(2.0, "on_timer", 0)
        assert len(harness.effects_of("send_attempt")) == len(harness.effects_of("attempt_sent")) <= 1
        reached |= {args[2] for args in harness.effects_of("send_attempt")}
        if allowed:
            assert harness.effects_of("send_attempt"), "an allowed server was not found"
            harness.end_attempt(1, harness.effects_of("send_attempt")[0][1])
            assert harness.statuses() == [200]
        else:
            assert harness.statuses() == [502] and harness.effects_of("request_ended") == [[1, "never"]]
    assert reached <= allowed


@pytest.mark.parametrize(
    "duration, group, status", [(4.0, "all", 503), (0.5, "all", 502), (4.0, "zone", 502)]
)
def test_request_is_rejected_only_if_a_repeat_is_safe_by_the_earlier_attempt(
    tmp_path, duration, group, status
):
    harness = AdmissionHarness(tmp_path, servers=[])
    harness.send_request(MARK)
    harness.run_event(
        0.01, "on_admitted", 1, harness.earlier_attempts(("a", 1), group=group, duration=duration)
    )
    harness.run_event(1.0, "on_timer", 0)
    assert harness.statuses() == [status]


def test_no_further_attempt_after_the_window_of_the_earlier_attempt(harness):
    harness.send_request(MARK)
    harness.run_event(0.01, "on_admitted", 1, harness.earlier_attempts(("", -1), group="all", duration=0.2))
    assert len(harness.effects_of("send_attempt")) == 1
    harness.run_event(
        0.3,
        "on_attempt_ended",
        1,
        harness.servers_by_attempt[1, 0],
        0,
        AttemptResult(AttemptEndReason.CONNECTION_BROKEN, Progress.NOT_CONNECTED, 0.1),
    )
    assert len(harness.effects_of("send_attempt")) == 1 and harness.statuses() == [502]


def test_request_lasts_no_longer_than_its_idempotency_record(harness):
    for request_class, duration in ((READ, 60.0), (MARK, 26.0), (ONCE, 30.0)):
        harness.send_request(request_class, timeout=60.0)
        _, _, deadline = harness.effects_of("admit")[-1]
        assert deadline == pytest.approx(harness.reducer.now + duration)


def test_state_stays_bounded_with_admission_control(harness):
    for cycle in range(200):
        entry = ServerEntry(f"n{cycle}", "127.0.0.1:9", "b", cell=cycle % 3)
        harness.run_event(0.1, "on_server_list", ServerList(cycle + 2, False, (entry,)))
        harness.send_request(cycle % 5)
        number = harness.reducer.request_count
        harness.run_event(
            0.01,
            "on_admitted",
            number,
            harness.earlier_attempts(("b", 1), group="zone") if cycle % 5 > 2 else (),
        )
        if (number, 0) in harness.servers_by_attempt:
            harness.end_attempt(number, 0)
        harness.run_event(1.0, "on_timer", 0)
        for attempt in range(1, 3):
            if number in harness.reducer.requests and (number, attempt) in harness.servers_by_attempt:
                harness.end_attempt(number, attempt)
        harness.run_event(1.0, "on_deadline_passed", number)
    assert not harness.reducer.requests and not harness.reducer.balancer.requests
    assert len(harness.effects_of("request_ended")) == 200


# Admission control itself, with a fake node


class FakeNode:
    """Gives the decisions that a test sets by request class, and no decision for other classes."""

    def __init__(self, fleet_settings, seed, now, wall):
        self.name, self.address, self.incarnation, self.is_handed_over = (
            fleet_settings.name,
            fleet_settings.address,
            1,
            True,
        )
        self.effects, self.now, self.wall, self.decisions, self.calls = [], now, wall, {}, []

    def request_admission(self, ticket, request):
        self.calls.append(("request_admission", ticket, request))
        if decision := self.decisions.get(request.workload):
            self.deliver(ticket, *decision)

    def deliver(self, ticket, decision, retry_after_s=0.0, earlier_attempts=()):
        self.effects.append(
            DeliverDecision(ticket, AdmissionDecision(decision), retry_after_s, earlier_attempts)
        )

    def __getattr__(self, event):
        if event not in (
            "on_attempt_sent",
            "on_request_ended",
            "begin_shutdown",
            "finish_shutdown",
            "apply_settings",
            "on_message",
        ):
            raise AttributeError(event)
        return lambda *args: self.calls.append((event, *args))

    def tick(self):
        pass

    def metrics(self):
        return {}


FLEET_SETTINGS = FleetSettings(fleet="f", name="n0", key=b"k" * 16, seeds={"n1": "127.0.0.1:9"}, wait_s=0.05)
SETTINGS = SETTINGS | {"workloads": WORKLOADS, "tenants": [{"name": "x"}, {"name": "y"}]}


@pytest.fixture
def deploy(tmp_path, monkeypatch):
    monkeypatch.setattr("cartdeal.agent.admission.Node", FakeNode)
    created = []

    def create(fleet_settings=FLEET_SETTINGS, **more):
        fleet = configuration.FleetConfiguration(fleet_settings, ("127.0.0.1", 0))
        created.append(Deployment(tmp_path, fleet=fleet, settings=SETTINGS, **more))
        node = created[-1].agent.admission.transport.node
        node.decisions |= {kind["name"]: ("admit",) for kind in WORKLOADS}
        return created[-1], node

    with gevent.Timeout(20):
        yield create
    for deployment in created:
        deployment.stop()


def send_and_receive(deployment, *args, **headers):
    """Send a request, and return the status and the Retry-After header of its answer."""
    connection = deployment.connect()
    connection.sock.sendall(encode_request(*args, **headers))
    while not connection.messages:
        assert connection.receive(5.0)
    return connection.messages[0].status, connection.messages[0].headers.get(b"retry-after")


def test_contents_of_the_admission_request(deploy):
    deployment, node = deploy()
    body = b"sheet"
    deployment.ask(
        "/mark/1",
        "POST",
        body,
        Idempotency_Key="k1",
        Cookie="sid=7f",
        X_Tenant_Id="y",
        X_Retried="1",
        X_Timeout="1500m",
    )
    for _ in "ab":
        deployment.ask("/once/1", "POST", body, Cookie="sid=7f")
    deployment.ask("/mark/1", "POST", body)  # without a key it is not deduplicated
    deployment.ask("/read/1")
    mark, once, again, bare, read = [each[2] for each in node.calls if each[0] == "request_admission"]
    assert mark == AdmissionRequest(
        tenant="y",
        session=f"{hash_key(b'7f'):016x}",
        key="k1",
        repeat="d",
        group="all",
        window_s=4.0,
        limit_s=mark.limit_s,
        workload="mark",
        retried=True,
    )
    assert 1.3 < mark.limit_s <= 1.5
    assert (once.repeat, once.tenant, once.key, once.session) == ("u", "", again.key, mark.session)
    assert (bare.repeat, bare.window_s, len(bare.key)) == ("u", 0.0, 32) and bare.key != once.key
    assert (read.repeat, read.key, read.session) == ("i", "", "")
    ended = [each[1:] for each in node.calls if each[0] == "on_request_ended"]
    assert ended == [(number, "answered") for number in range(1, 6)]
    assert [each[1:] for each in node.calls if each[0] == "on_attempt_sent"][0] == (1, "a", 0)


@pytest.mark.parametrize(
    "decision, status, pause",
    [(("rate limited", 0.7), 429, b"0.700"), (("reject", 0.5), 503, b"0.500"), (("fail",), 502, None)],
)
def test_declined_request_reaches_no_server(deploy, decision, status, pause):
    deployment, node = deploy()
    node.decisions["once"] = decision
    assert (
        send_and_receive(deployment, "/once/1", "POST") == (status, pause) and not deployment.received_paths()
    )
    assert send_and_receive(deployment, "/read/1") == (200, None)


@pytest.mark.parametrize(
    "fleet_settings, path, headers, status",
    [
        (FLEET_SETTINGS, "/read/1", {}, 503),
        (FLEET_SETTINGS, "/once/1", {}, 503),
        (replace(FLEET_SETTINGS, clients_mark=True), "/once/1", {"Cookie": "sid=a"}, 503),
        (replace(FLEET_SETTINGS, clients_mark=True), "/once/1", {"Cookie": "sid=a", "X_Retried": "1"}, 502),
        (
            replace(FLEET_SETTINGS, clients_mark=True, on_doubt="terminate"),
            "/once/1",
            {"Cookie": "sid=a"},
            502,
        ),
    ],
)
@pytest.mark.parametrize("has_error", [False, True])
def test_request_waits_for_a_bounded_time_if_the_fleet_makes_no_decision(
    deploy, fleet_settings, path, headers, status, has_error
):
    deployment, node = deploy(fleet_settings)
    node.decisions.clear()
    if has_error:
        node.request_admission = None  # the event raises an error
    assert send_and_receive(deployment, path, "POST" if "once" in path else "GET", **headers)[0] == status
    assert (
        not deployment.received_paths()
        and not deployment.agent.admission.pending
        and deployment.agent.reducer.now
    )
    deployment.agent.admission.transport.dispatch("deliver", 1, "admit")
    gevent.sleep(0)
    assert not deployment.received_paths()


def test_request_continues_after_a_later_decision(deploy):
    deployment, node = deploy(servers=2)
    node.decisions.clear()
    connection = deployment.connect()
    connection.sock.sendall(encode_request("/mark/1", "POST", Idempotency_Key="k"))
    until(lambda: node.calls)
    deployment.agent.admission.transport.dispatch(
        "deliver", 1, "admit", 0.0, (("", -1, "all", int(node.wall * 1e3) + 900),)
    )
    (earlier_attempts,) = deployment.agent.reducer.requests[1].earlier_attempts
    assert earlier_attempts.repeat_until == pytest.approx(deployment.agent.reducer.now + 0.9, abs=0.05)
    assert read_answer(connection) == (200, b"s0 ")
    until(lambda: node.calls[-1] == ("on_request_ended", 1, "answered"))


def test_client_disconnects_before_the_decision(deploy):
    deployment, node = deploy()
    node.decisions.clear()
    connection = deployment.connect()
    connection.sock.sendall(encode_request("/once/1", "POST"))
    until(lambda: node.calls)
    connection.close()
    until(lambda: node.calls[-1] == ("on_request_ended", 1, "never"))
    assert not deployment.agent.admission.pending
    deployment.agent.admission.transport.dispatch("deliver", 1, "admit")
    assert not deployment.agent.reducer.requests and not deployment.received_paths()


def test_event_caused_by_an_effect_is_handled_after_the_current_event(deploy):
    agent, messages = deploy()[0].agent, []
    agent.effect_handlers["log_note"] = lambda text: (
        messages.append(text),
        text == "1" and agent.queue_event("log_note", "4"),
    )
    agent.reducer.effects = [("log_note", "1"), ("log_note", "2")]
    agent.dispatch("log_note", "3")
    assert messages == ["1", "2", "3", "4"] and not agent.is_handling_event


def test_suppressed_attempt_ends_by_an_event_and_its_request_is_failed(deploy):
    deployment, node = deploy(servers=2)
    node.decisions["zoned"] = ("admit", 0.0, (("b", 1, "zone", int(time.time() * 1e3) + 3000),))
    assert send_and_receive(deployment, "/zoned/1", "POST", Idempotency_Key="k")[0] == 502
    assert not deployment.received_paths() and ("on_request_ended", 1, "never") in node.calls


def test_reload_of_the_fleet_file(deploy, tmp_path, monkeypatch, caplog):
    caplog.set_level("INFO")
    deployment, node = deploy(replace(FLEET_SETTINGS, seeds={"n1": "127.0.0.1:9"}))
    fleet_file = tmp_path / "fleet.toml"
    monkeypatch.setenv("PROXY_FLEET", str(fleet_file))
    monkeypatch.setenv("PROXY_CONFIG", str(tmp_path / "config.json"))
    template = 'fleet = "f"\nname = "n0"\nkey = "' + "k" * 16 + '"\nlisten = "127.0.0.1:0"\n%s[seeds]\n'
    for text, message in (("[", "fleet file refused"), (template % "wait_s = 9.0\n", "fleet file refused")):
        fleet_file.write_text(text)
        deployment.agent.reload()
        assert caplog.messages[-2] == message and not [
            each for each in node.calls if each[0] == "apply_settings"
        ]
    fleet_file.write_text(template % "copies = 2\nwrite_by = 2\nwait_s = 0.2\n" + 'n1 = "127.0.0.1:8"\n')
    deployment.agent.reload()
    ((_, fleet_settings),) = [each for each in node.calls if each[0] == "apply_settings"]
    assert (fleet_settings.wait_s, fleet_settings.copies, fleet_settings.seeds) == (
        0.2,
        3,
        {"n1": "127.0.0.1:8"},
    )
    assert (
        caplog.records[-2].needs_restart == "zone copies"
        and deployment.agent.admission.transport.settings == fleet_settings
    )


def test_agent_hands_over_at_shutdown_and_leaves_the_fleet(deploy):
    deployment, node = deploy()
    node.is_handed_over = False
    deployment.agent.begin_handover()
    handover = gevent.spawn_later(0.05, setattr, node, "gone", True)
    deployment.agent.leave_fleet(time.monotonic() + 10)
    assert handover.ready() and [each[0] for each in node.calls] == ["begin_shutdown", "finish_shutdown"]
    node.is_handed_over = False
    # No peer takes over: the agent leaves at the deadline.
    deployment.agent.leave_fleet(time.monotonic() + 0.05)
    assert node.calls[-1] == ("finish_shutdown",)


def test_digest_depends_on_the_boundaries_between_its_parts():
    base = Request(0, True, 0, 0, 1.0, False, b"POST", b"/a", b"", b"", b"", b"b")
    others = [
        base,
        base._replace(path=b"/ab", body=b""),
        base._replace(path=b"/", body=b"ab"),
        base._replace(method=b"POS", path=b"T/a"),
    ]
    assert len({request_digest(each) for each in others}) == 4
    assert request_digest(base) == request_digest(base._replace(id=b"7", is_retry=True))
