import time

import gevent
import pytest
from msgspec.structs import replace

from cartdeal.agent.admission import request_digest
from cartdeal.agent.configuration import ServerEntry, ServerList
from cartdeal.agent.front import hash_key
from cartdeal.agent.reducer import AttemptResult, FailureReason, Progress, Reducer, Request
from cartdeal.fleet import configuration
from cartdeal.fleet.effects import DeliverDecision
from cartdeal.fleet.idempotency import AdmissionDecision, AdmissionRequest
from cartdeal.fleet.settings import FleetSettings
from tests.scene import SETTINGS, Deployment, agent_config, answered, until, worded
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
LONGEST = (float("inf"), 26.0, 30.0, 26.0, 26.0)


class AdmissionHarness(ReducerHarness):
    """The reducer's context, with a fleet whose decisions the test gives."""

    def __init__(self, folder, servers=SERVERS):
        known = {
            "rev": 1,
            "all": True,
            "targets": [
                {"uid": name, "endpoint": f"127.0.0.1:{place + 1}", "az": zone, "pod_group": cell}
                for place, (name, zone, cell) in enumerate(servers)
            ],
        }
        at = agent_config(folder, known=known, settings=SETTINGS | {"workloads": WORKLOADS})
        self.lines, self.servers_by_attempt, self.effects_log = [], {}, []
        self.reducer = Reducer(at, 100.0, 1100.0, LONGEST)
        self.record_effects("start")

    def record_effects(self, event):
        """Carries out what is asked; an attempt that is withheld ends by an event of its own."""
        for verb, *args in self.reducer.effects:
            if verb == "send_attempt":
                self.servers_by_attempt[tuple(args[:2])] = args[2]
            if verb in (
                "admit",
                "attempt_sent",
                "request_ended",
                "suppress_attempt",
                "answer",
                "send_attempt",
            ):
                self.effects_log.append((verb, *args))
        withheld = [args for verb, *args in self.reducer.effects if verb == "suppress_attempt"]
        self.reducer.effects.clear()
        for args in withheld:
            self.run_event(0.0, "on_attempt_ended", *args)

    def of(self, verb):
        return [args for each, *args in self.effects_log if each == verb]

    def statuses(self):
        return [args[1] for args in self.of("answer")]

    def earlier_attempts(self, *places, group="zone", lasts=4.0):
        return tuple((zone, cell, group, self.reducer.now + lasts) for zone, cell in places)


@pytest.fixture
def context(tmp_path):
    return AdmissionHarness(tmp_path)


def test_no_attempt_is_sent_before_the_decision_and_each_one_is_reported(context):
    context.send_request(ONCE)
    assert (
        not context.of("send_attempt")
        and not context.reducer.balancer.requests
        and context.of("admit")[0][0] == 1
    )
    context.run_event(0.01, "on_admitted", 1, ())
    kinds = [verb for verb, *_ in context.effects_log]
    assert kinds == ["admit", "attempt_sent", "send_attempt"] and context.of("attempt_sent") == [
        [1, "a", context.of("attempt_sent")[0][2]]
    ]
    context.end_attempt(1, 0)
    assert context.statuses() == [200] and context.of("request_ended") == [[1, "answered"]]
    context.run_event(0.0, "on_admitted", 1, ())
    assert len(context.of("send_attempt")) == 1


@pytest.mark.parametrize("status", [429, 502, 503])
def test_declined_request_is_answered_and_never_attempted(context, status):
    context.send_request(ONCE)
    context.run_event(0.01, "on_declined", 1, status, 0.7)
    assert context.of("answer") == [["line 1", status, b"", b"", 0.7]] and context.of("request_ended") == [
        [1, "never"]
    ]
    context.run_event(0.01, "on_admitted", 1, ())
    context.run_event(0.01, "on_declined", 1, 502, 0.0)
    assert len(context.statuses()) == 1 and not context.of("send_attempt") and not context.reducer.requests


def test_decision_after_the_client_has_disconnected_is_dropped(context):
    context.send_request(MARK)
    context.run_event(0.01, "on_client_disconnected", 1)
    context.run_event(0.01, "on_admitted", 1, ())
    assert (
        context.of("request_ended") == [[1, "never"]]
        and not context.of("send_attempt")
        and not context.reducer.requests
    )


@pytest.mark.parametrize("request_class, status", [(READ, 503), (ONCE, 502), (MARK, 502)])
def test_without_a_decision_by_the_deadline_only_a_harmless_one_may_be_retried(
    context, request_class, status
):
    context.send_request(request_class)
    context.run_event(2.1, "on_deadline_passed", 1)
    assert context.statuses() == [status] and context.of("request_ended") == [[1, "never"]]


@pytest.mark.parametrize(
    "endings, ran",
    [
        ([(FailureReason.CONNECTION_BROKEN, Progress.NOT_CONNECTED, 0)] * 3, "never"),
        ([(FailureReason.CONNECTION_BROKEN, Progress.WRITTEN, 0)], "maybe"),
        (
            [
                (FailureReason.CONNECTION_BROKEN, Progress.NOT_CONNECTED, 0),
                (FailureReason.ANSWERED, Progress.COMPLETE, 500),
            ],
            "maybe",
        ),
        (
            [
                (FailureReason.CONNECTION_BROKEN, Progress.NOT_CONNECTED, 0),
                (FailureReason.ANSWERED, Progress.COMPLETE, 200),
            ],
            "answered",
        ),
    ],
)
def test_outcome_that_is_reported_when_a_request_has_ended(context, endings, ran):
    context.send_request(ONCE)
    context.run_event(0.01, "on_admitted", 1, ())
    for attempt, (reason, progress, status) in enumerate(endings):
        assert not context.of("request_ended")
        context.end_attempt(1, attempt, reason, progress, status)
    assert context.of("request_ended") == [[1, ran]] and not context.reducer.requests


def test_an_answer_that_comes_for_a_client_that_has_gone_is_no_answer(context):
    context.send_request(ONCE)
    context.run_event(0.01, "on_admitted", 1, ())
    context.run_event(0.01, "on_client_disconnected", 1)
    assert not context.of("request_ended")
    context.end_attempt(1, 0)
    assert context.of("request_ended") == [[1, "maybe"]]


@pytest.mark.parametrize(
    "request_class, group, places, allowed",
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
def test_a_repeat_goes_only_where_the_earlier_one_allows_and_finds_the_way(
    tmp_path, request_class, group, places, allowed
):
    went = set()
    for key in range(8):
        context = AdmissionHarness(tmp_path)
        context.send_request(request_class)
        context.reducer.requests[1].request = context.reducer.requests[1].request._replace(
            session_hash=key + 1
        )
        context.run_event(0.01, "on_admitted", 1, context.earlier_attempts(*places, group=group))
        context.run_event(2.0, "on_timer", 0)
        assert len(context.of("send_attempt")) == len(context.of("attempt_sent")) <= 1
        went |= {args[2] for args in context.of("send_attempt")}
        if allowed:
            assert context.of("send_attempt"), "an allowed server was not found"
            context.end_attempt(1, context.of("send_attempt")[0][1])
            assert context.statuses() == [200]
        else:
            assert context.statuses() == [502] and context.of("request_ended") == [[1, "never"]]
    assert went <= allowed


@pytest.mark.parametrize("lasts, group, status", [(4.0, "all", 503), (0.5, "all", 502), (4.0, "zone", 502)])
def test_rejected_only_where_a_repeat_is_harmless_by_the_earlier_one_too(tmp_path, lasts, group, status):
    context = AdmissionHarness(tmp_path, servers=[])
    context.send_request(MARK)
    context.run_event(0.01, "on_admitted", 1, context.earlier_attempts(("a", 1), group=group, lasts=lasts))
    context.run_event(1.0, "on_timer", 0)
    assert context.statuses() == [status]


def test_no_further_attempt_once_the_earlier_ones_window_is_over(context):
    context.send_request(MARK)
    context.run_event(0.01, "on_admitted", 1, context.earlier_attempts(("", -1), group="all", lasts=0.2))
    assert len(context.of("send_attempt")) == 1
    context.run_event(
        0.3,
        "on_attempt_ended",
        1,
        context.servers_by_attempt[1, 0],
        0,
        AttemptResult(FailureReason.CONNECTION_BROKEN, Progress.NOT_CONNECTED, 0.1),
    )
    assert len(context.of("send_attempt")) == 1 and context.statuses() == [502]


def test_a_request_lasts_no_longer_than_its_mark(context):
    for request_class, lasts in ((READ, 60.0), (MARK, 26.0), (ONCE, 30.0)):
        context.send_request(request_class, timeout=60.0)
        _, _, deadline = context.of("admit")[-1]
        assert deadline == pytest.approx(context.reducer.now + lasts)


def test_a_long_day_with_admission_control_leaves_nothing_behind(context):
    for day in range(200):
        entry = ServerEntry(f"n{day}", "127.0.0.1:9", "b", cell=day % 3)
        context.run_event(0.1, "on_server_list", ServerList(day + 2, False, (entry,)))
        context.send_request(day % 5)
        number = context.reducer.request_count
        context.run_event(
            0.01,
            "on_admitted",
            number,
            context.earlier_attempts(("b", 1), group="zone") if day % 5 > 2 else (),
        )
        if (number, 0) in context.servers_by_attempt:
            context.end_attempt(number, 0)
        context.run_event(1.0, "on_timer", 0)
        for attempt in range(1, 3):
            if number in context.reducer.requests and (number, attempt) in context.servers_by_attempt:
                context.end_attempt(number, attempt)
        context.run_event(1.0, "on_deadline_passed", number)
    assert not context.reducer.requests and not context.reducer.balancer.requests
    assert len(context.of("request_ended")) == 200


# Admission control itself, over a fake node


class FakeNode:
    """Gives the decisions that a test lays down, by request class; with none, it is silent."""

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

    def deliver(self, ticket, decision, wait=0.0, earlier_attempts=()):
        self.effects.append(DeliverDecision(ticket, AdmissionDecision(decision), wait, earlier_attempts))

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
    made = []

    def make(fleet_settings=FLEET_SETTINGS, **more):
        fleet = configuration.FleetConfiguration(fleet_settings, ("127.0.0.1", 0))
        made.append(Deployment(tmp_path, fleet=fleet, settings=SETTINGS, **more))
        node = made[-1].agent.admission.transport.node
        node.decisions |= {kind["name"]: ("admit",) for kind in WORKLOADS}
        return made[-1], node

    with gevent.Timeout(20):
        yield make
    for deployment in made:
        deployment.stop()


def send_and_receive(deployment, *args, **headers):
    """Status and Retry-After."""
    connection = deployment.connect()
    connection.sock.sendall(worded(*args, **headers))
    while not connection.messages:
        assert connection.receive(5.0)
    return connection.messages[0].status, connection.messages[0].headers.get(b"retry-after")


def test_admission_request_that_the_fleet_gets(deploy):
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
    deployment.ask("/mark/1", "POST", body)  # without its key it promises nothing
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
    assert send_and_receive(deployment, "/once/1", "POST") == (status, pause) and not deployment.seen()
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
@pytest.mark.parametrize("broken", [False, True])
def test_fleet_without_a_decision_costs_a_request_a_bounded_wait(
    deploy, fleet_settings, path, headers, status, broken
):
    deployment, node = deploy(fleet_settings)
    node.decisions.clear()
    if broken:
        node.request_admission = None  # an error in the middle of the event
    assert send_and_receive(deployment, path, "POST" if "once" in path else "GET", **headers)[0] == status
    assert not deployment.seen() and not deployment.agent.admission.pending and deployment.agent.reducer.now
    deployment.agent.admission.transport.dispatch("deliver", 1, "admit")
    gevent.sleep(0)
    assert not deployment.seen()


def test_decision_that_comes_by_a_message_lets_the_request_go_on(deploy):
    deployment, node = deploy(servers=2)
    node.decisions.clear()
    waiting = deployment.connect()
    waiting.sock.sendall(worded("/mark/1", "POST", Idempotency_Key="k"))
    until(lambda: node.calls)
    deployment.agent.admission.transport.dispatch(
        "deliver", 1, "admit", 0.0, (("", -1, "all", int(node.wall * 1e3) + 900),)
    )
    (earlier_attempts,) = deployment.agent.reducer.requests[1].earlier_attempts
    assert earlier_attempts.repeat_until == pytest.approx(deployment.agent.reducer.now + 0.9, abs=0.05)
    assert answered(waiting) == (200, b"s0 ")
    until(lambda: node.calls[-1] == ("on_request_ended", 1, "answered"))


def test_client_that_disconnects_before_the_decision(deploy):
    deployment, node = deploy()
    node.decisions.clear()
    waiting = deployment.connect()
    waiting.sock.sendall(worded("/once/1", "POST"))
    until(lambda: node.calls)
    waiting.close()
    until(lambda: node.calls[-1] == ("on_request_ended", 1, "never"))
    assert not deployment.agent.admission.pending
    deployment.agent.admission.transport.dispatch("deliver", 1, "admit")
    assert not deployment.agent.reducer.requests and not deployment.seen()


def test_event_that_comes_of_an_effect_is_played_after_the_others(deploy):
    agent, said = deploy()[0].agent, []
    agent.effect_handlers["log_note"] = lambda text: (
        said.append(text),
        text == "1" and agent.queue_event("log_note", "4"),
    )
    agent.reducer.effects = [("log_note", "1"), ("log_note", "2")]
    agent.dispatch("log_note", "3")
    assert said == ["1", "2", "3", "4"] and not agent.is_handling_event


def test_a_withheld_attempt_ends_by_an_event_and_the_request_is_failed(deploy):
    deployment, node = deploy(servers=2)
    node.decisions["zoned"] = ("admit", 0.0, (("b", 1, "zone", int(time.time() * 1e3) + 3000),))
    assert send_and_receive(deployment, "/zoned/1", "POST", Idempotency_Key="k")[0] == 502
    assert not deployment.seen() and ("on_request_ended", 1, "never") in node.calls


def test_file_that_is_read_again(deploy, tmp_path, monkeypatch, caplog):
    caplog.set_level("INFO")
    deployment, node = deploy(replace(FLEET_SETTINGS, seeds={"n1": "127.0.0.1:9"}))
    file = tmp_path / "fleet.toml"
    monkeypatch.setenv("PROXY_FLEET", str(file))
    monkeypatch.setenv("PROXY_CONFIG", str(tmp_path / "config.json"))
    good = 'fleet = "f"\nname = "n0"\nkey = "' + "k" * 16 + '"\nlisten = "127.0.0.1:0"\n%s[seeds]\n'
    for text, said in (("[", "fleet file refused"), (good % "wait_s = 9.0\n", "fleet file refused")):
        file.write_text(text)
        deployment.agent.reload()
        assert caplog.messages[-2] == said and not [
            each for each in node.calls if each[0] == "apply_settings"
        ]
    file.write_text(good % "copies = 2\nwrite_by = 2\nwait_s = 0.2\n" + 'n1 = "127.0.0.1:8"\n')
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


def test_agent_that_shuts_down_hands_over_and_leaves_the_fleet(deploy):
    deployment, node = deploy()
    node.is_handed_over = False
    deployment.agent.begin_handover()
    gone = gevent.spawn_later(0.05, setattr, node, "gone", True)
    deployment.agent.leave_fleet(time.monotonic() + 10)
    assert gone.ready() and [each[0] for each in node.calls] == ["begin_shutdown", "finish_shutdown"]
    node.is_handed_over = False
    deployment.agent.leave_fleet(time.monotonic() + 0.05)  # others do not take it over: it ends
    assert node.calls[-1] == ("finish_shutdown",)


def test_digest_tells_apart_where_one_part_ends_and_the_next_begins():
    base = Request(0, True, 0, 0, 1.0, False, b"POST", b"/a", b"", b"", b"", b"b")
    others = [
        base,
        base._replace(path=b"/ab", body=b""),
        base._replace(path=b"/", body=b"ab"),
        base._replace(method=b"POS", path=b"T/a"),
    ]
    assert len({request_digest(each) for each in others}) == 4
    assert request_digest(base) == request_digest(base._replace(id=b"7", is_retry=True))
