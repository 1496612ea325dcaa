import pytest

from cartdeal.agent import configuration
from cartdeal.agent.configuration import ServerEntry, ServerList
from cartdeal.agent.reducer import AttemptResult, FailureReason, Progress, Reducer, Request
from cartdeal.balancer_types import Outcome
from tests.scene import agent_config, config_file, kept

SERVERS = [{"uid": f"s{n}", "endpoint": f"127.0.0.1:{n}", "az": "a"} for n in (1, 2)]


# The names under which the kept traces list events and effects.
TRACE_NAMES = {
    "on_request": "taken",
    "on_server_list": "listed",
    "on_deadline_passed": "overdue",
    "on_shutdown": "ending",
    "on_attempt_ended": "attempt_ended",
    "on_client_disconnected": "client_disconnected",
    "on_watch_failed": "watch_failed",
    "on_watch_established": "watch_stands",
    "set_deadline_timer": "remind",
}


class Desk:
    """Plays events into a reducer on a clock of its own, and prints what it asks for."""

    def __init__(self, folder, boot=1000.0):
        known = {"rev": 3, "all": True, "targets": SERVERS}
        self.lines, self.at = [], {}
        self.reducer = Reducer(agent_config(folder, known=known), 100.0, 100.0 + boot)
        self.say("start")

    def play(self, after, event, *args):
        self.reducer.now += after
        getattr(self.reducer, event)(*args)
        self.say(event)

    def say(self, event):
        self.lines.append(f"{self.reducer.now - 100:5.2f}  {TRACE_NAMES.get(event, event)}")
        for verb, *args in self.reducer.effects:
            if verb == "send_attempt":
                self.at[tuple(args[:2])] = args[2]
            if verb not in ("log_note", "log", "request_accepted", "set_timer"):
                words = " ".join(self.show(each) for each in args)
                self.lines.append(f"         {TRACE_NAMES.get(verb, verb)} {words}".rstrip())
        self.reducer.effects.clear()

    def show(self, each):
        if isinstance(each, Request):
            return each.path.decode()
        if isinstance(each, float):
            return f"{each:.2f}" if each < 100 else f"@{each - 100:.2f}"
        return each.decode() if isinstance(each, bytes) else str(each)

    def take(self, request_class, non_idempotent=False, wait=2.0):
        path = b"/%d" % (self.reducer.request_count + 1)
        request = Request(request_class, non_idempotent, 0, 7, wait, False, b"GET", path, path, b"", b"", b"")
        self.play(0.1, "on_request", f"line {self.reducer.request_count + 1}", request)

    def end(
        self, number, attempt, reason=FailureReason.ANSWERED, progress=Progress.COMPLETE, status=200, **more
    ):
        result = AttemptResult(reason, progress, 0.05, status, body=b"found", **more)
        self.play(0.05, "on_attempt_ended", number, self.at[number, attempt], attempt, result)


def test_one_final_answer_whatever_comes_after_it(tmp_path):
    desk = Desk(tmp_path)
    desk.play(0.0, "on_server_list", ServerList(4, False, (ServerEntry("s1", "127.0.0.1:1", "a"),)))
    desk.take(0)
    desk.end(1, 0, status=500)
    desk.end(1, 1)
    desk.play(0.0, "on_client_disconnected", 1)
    desk.play(2.5, "on_deadline_passed", 1)
    desk.take(2)
    desk.end(2, 0, FailureReason.CONNECTION_BROKEN, Progress.WRITTEN)
    desk.take(2)
    desk.play(0.0, "on_client_disconnected", 3)
    desk.end(3, 0)
    assert not desk.reducer.requests
    kept("answers", desk.lines)


def test_request_whose_form_promises_less_runs_once_at_most(tmp_path):
    desk = Desk(tmp_path)
    desk.take(0, non_idempotent=True)
    desk.end(1, 0, FailureReason.CONNECTION_BROKEN, Progress.WRITTEN)
    desk.take(0, non_idempotent=True)
    desk.end(2, 0, FailureReason.CONNECTION_BROKEN, Progress.PARTLY_WRITTEN)
    kept("non_idempotent", desk.lines)


def test_server_list_is_kept_across_restarts_moves_and_whole_lists(tmp_path):
    desk = Desk(tmp_path, boot=1000.0)
    desk.play(1.0, "on_server_list", ServerList(4, False, (ServerEntry("s1", "127.0.0.1:9", "a"),)))
    desk.play(
        1.0,
        "on_server_list",
        ServerList(5, False, (ServerEntry("s1", "127.0.0.1:9", "a", started_ms=1101500.0),)),
    )
    assert desk.reducer.balancer.servers[0].started_at == pytest.approx(101.5)
    desk.play(1.0, "on_server_list", ServerList(6, True, (ServerEntry("s2", "127.0.0.1:2", "a"),)))
    assert desk.reducer.balancer.servers.keys() == {1} and desk.reducer.balancer.servers[1].started_at == 0.0
    desk.play(1.0, "on_watch_failed")
    desk.play(0.0, "on_watch_established")
    assert desk.reducer.balancer.watch.is_active
    kept("list", desk.lines)


def test_a_long_day_of_new_servers_ids_and_requests_leaves_nothing_behind(tmp_path):
    desk = Desk(tmp_path)
    reducer, balancer = desk.reducer, desk.reducer.balancer
    for day in range(300):
        new = ServerEntry(f"n{day}", "127.0.0.1:3", "a")  # at the address of the one before it
        desk.play(0.1, "on_server_list", ServerList(day, day % 7 == 0, (new,)))
        desk.take(day % 3)
        number, server = reducer.request_count, desk.at[reducer.request_count, 0]
        desk.play(0.1, "on_server_list", ServerList(day, False, (ServerEntry(new.name, state="left"),)))
        assert server in balancer.servers or server not in reducer.servers
        desk.end(number, 0)
    assert not reducer.requests and not balancer.requests and not balancer.queued_requests
    assert len(reducer.servers) == len(reducer.server_indices) == len(balancer.servers) <= 2
    assert reducer.next_server_index > 300 and len(reducer.recent_ids) + len(reducer.previous_ids) < 200


def test_attempt_at_a_server_that_has_gone_still_ends_its_request(tmp_path):
    desk = Desk(tmp_path)
    desk.take(2)
    server = desk.at[1, 0]
    desk.play(0.0, "on_server_list", ServerList(4, True, ()))
    desk.end(1, 0, FailureReason.CONNECTION_BROKEN, Progress.WRITTEN)
    assert not desk.reducer.pending_count and server not in desk.reducer.balancer.servers


def test_what_is_owed_at_the_end_is_failed_in_time(tmp_path):
    desk = Desk(tmp_path)
    desk.take(2, wait=6.0)
    desk.play(0.0, "on_shutdown", desk.reducer.now + 3.0)
    desk.take(0, wait=6.0)
    desk.play(2.9, "on_deadline_passed", 1)
    kept("ending", desk.lines)


def test_overdue_request_that_never_went_out_is_rejected(tmp_path):
    desk = Desk(tmp_path)
    desk.play(0.0, "on_server_list", ServerList(4, True, ()))
    desk.take(2, wait=6.0)
    desk.play(0.05, "on_deadline_passed", 1)
    assert "answer line 1 503   0.00" in desk.lines[-1] and not desk.reducer.requests


@pytest.mark.parametrize("progress, status", [(Progress.PARTLY_WRITTEN, 503), (Progress.WRITTEN, 502)])
def test_overdue_request_is_rejected_if_all_that_was_let_out_never_ran(tmp_path, progress, status):
    desk = Desk(tmp_path)
    desk.reducer.balancer.retry_or_give_up = lambda request, now: None  # it forgets the request
    desk.take(2)
    desk.end(1, 0, FailureReason.CONNECTION_BROKEN, progress)
    desk.play(2.0, "on_deadline_passed", 1)
    assert f"answer line 1 {status}   0.00" in desk.lines[-1] and not desk.reducer.requests


def test_a_broken_decision_still_gets_its_request_answered(tmp_path):
    desk = Desk(tmp_path)
    desk.reducer.balancer.select_server = None
    with pytest.raises(TypeError):
        desk.take(0)
    desk.play(2.1, "on_deadline_passed", 1)
    assert desk.lines[-1].split()[:3] == ["answer", "line", "1"] and not desk.reducer.pending_count


@pytest.mark.parametrize(
    "reason, progress, status, not_processed, outcome",
    [
        (FailureReason.ANSWERED, Progress.COMPLETE, 200, False, Outcome.COMPLETED),
        (FailureReason.ANSWERED, Progress.COMPLETE, 500, False, Outcome.ERROR),
        (FailureReason.ANSWERED, Progress.COMPLETE, 302, False, Outcome.ERROR),
        (FailureReason.ANSWERED, Progress.COMPLETE, 503, True, Outcome.FULL),
        (FailureReason.ANSWERED, Progress.COMPLETE, 504, True, Outcome.FULL),
        (FailureReason.ANSWERED, Progress.COMPLETE, 503, False, Outcome.ERROR),
        (FailureReason.ANSWERED, Progress.COMPLETE, 500, True, Outcome.ERROR),
        (FailureReason.CONNECTION_BROKEN, Progress.NOT_CONNECTED, 0, False, Outcome.NOT_CONNECTED),
        (FailureReason.CONNECTION_BROKEN, Progress.PARTLY_WRITTEN, 0, False, Outcome.NOT_CONNECTED),
        (FailureReason.CONNECTION_BROKEN, Progress.WRITTEN, 0, False, Outcome.RESET),
        (FailureReason.CONNECTION_BROKEN, Progress.HEAD_RECEIVED, 0, False, Outcome.RESET),
        (FailureReason.TIMED_OUT, Progress.NOT_CONNECTED, 0, False, Outcome.NOT_CONNECTED),
        (FailureReason.TIMED_OUT, Progress.PARTLY_WRITTEN, 0, False, Outcome.NOT_CONNECTED),
        (FailureReason.TIMED_OUT, Progress.HEAD_RECEIVED, 0, False, Outcome.TIMED_OUT),
        (FailureReason.CANCELLED, Progress.PARTLY_WRITTEN, 0, False, Outcome.NEVER_SENT),
        (FailureReason.CANCELLED, Progress.WRITTEN, 0, False, Outcome.CANCELLED),
    ],
)
def test_how_far_an_attempt_had_come_tells_what_it_was(reason, progress, status, not_processed, outcome):
    result = AttemptResult(reason, progress, 0.1, status, not_processed)
    assert result.outcome() is outcome
    if reason is not FailureReason.ANSWERED:
        assert outcome.never_ran == (progress < Progress.WRITTEN)


@pytest.mark.parametrize(
    "more, words",
    [
        ({"listen": "8080"}, "listen: found '8080', wanted an address"),
        ({"discovery": None}, "discovery: found None, wanted an address"),
        ({"peers": ["127.0.0.1:x"]}, "peers: found '127.0.0.1:x'"),
        ({"seed": "xyz"}, "seed: found 'xyz', wanted a number"),
        ({"limits": {"sockets": "many"}}, "Expected `int`, got `str` - at `$.limits.sockets`"),
        ({"limits": {"sockets": 8}}, "limits.sockets: found 8, wanted 64 or more"),
        ({"limits": {"memory_mb": 20}}, "limits.memory_mb: found 20.0, wanted 24 or more"),
        ({"settings": None}, "settings: found nothing"),
        ({"settings": {"workloads": []}}, "settings.workloads: found 0, wanted at least one"),
        ({"settings": {"workloads": [{"name": "a"}], "az": 3}}, "settings.az: found 3"),
        (
            {"settings": {"workloads": [{"name": "a"}, {"name": "a"}]}},
            "settings.workloads[1].name: found 'a'",
        ),
        (
            {"settings": {"workloads": [{"name": "a", "timeLimitUs": -1}]}},
            "settings.workloads[0].timeLimitUs",
        ),
        ({"known": {"targets": [{"uid": "s", "endpoint": "?"}]}}, "known.targets[].endpoint: found '?'"),
    ],
)
def test_configuration_faults_name_the_key(tmp_path, more, words):
    with pytest.raises(configuration.ConfigurationError) as fault:
        agent_config(tmp_path, **more)
    assert words in str(fault.value)


def test_configuration_missing_unread_and_with_unknown_keys(tmp_path):
    for environment in ({}, {"PROXY_CONFIG": str(tmp_path / "none")}, {"PROXY_CONFIG": __file__}):
        with pytest.raises(configuration.ConfigurationError, match="PROXY_CONFIG: "):
            configuration.read(environment)
    assert agent_config(tmp_path, novel={"x": 1}).name == config_file()["name"]
