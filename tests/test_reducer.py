"""Decisions of the reducer, driven on a simulated clock and compared with stored traces."""

import pytest

from cartdeal.agent import configuration
from cartdeal.agent.configuration import ServerEntry, ServerList
from cartdeal.agent.reducer import AttemptEndReason, AttemptResult, Progress, Reducer, Request
from cartdeal.balancer_types import Outcome, ServerState
from tests.scene import SETTINGS, agent_config, assert_matches_trace, config_file

SERVERS = [{"uid": f"s{n}", "endpoint": f"127.0.0.1:{n}", "az": "a"} for n in (1, 2)]


# The names of events and effects in the stored traces.
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


class ReducerHarness:
    """Passes events to a reducer on a simulated clock, and prints its effects as lines of a trace."""

    def __init__(self, folder, wall_offset=1000.0, **more):
        known = {"rev": 3, "all": True, "targets": SERVERS}
        self.lines, self.servers_by_attempt = [], {}
        self.reducer = Reducer(agent_config(folder, known=known, **more), 100.0, 100.0 + wall_offset)
        self.record_effects("start")

    def run_event(self, delay, event, *args):
        self.reducer.now += delay
        getattr(self.reducer, event)(*args)
        self.record_effects(event)

    def record_effects(self, event):
        self.lines.append(f"{self.reducer.now - 100:5.2f}  {TRACE_NAMES.get(event, event)}")
        for effect, *args in self.reducer.effects:
            if effect == "send_attempt":
                self.servers_by_attempt[tuple(args[:2])] = args[2]
            if effect not in ("log_note", "log", "request_accepted", "set_timer"):
                arguments = " ".join(self.describe(each) for each in args)
                self.lines.append(f"         {TRACE_NAMES.get(effect, effect)} {arguments}".rstrip())
        self.reducer.effects.clear()

    def describe(self, each):
        if isinstance(each, Request):
            return each.path.decode()
        if isinstance(each, float):
            return f"{each:.2f}" if each < 100 else f"@{each - 100:.2f}"
        return each.decode() if isinstance(each, bytes) else str(each)

    def send_request(self, request_class, non_idempotent=False, timeout=2.0):
        path = b"/%d" % (self.reducer.request_count + 1)
        request = Request(
            request_class, non_idempotent, 0, 7, timeout, False, b"GET", path, path, b"", b"", b""
        )
        self.run_event(0.1, "on_request", f"line {self.reducer.request_count + 1}", request)

    def end_attempt(
        self,
        number,
        attempt,
        reason=AttemptEndReason.ANSWERED,
        progress=Progress.COMPLETE,
        status=200,
        **more,
    ):
        result = AttemptResult(reason, progress, 0.05, status, body=b"found", **more)
        self.run_event(
            0.05, "on_attempt_ended", number, self.servers_by_attempt[number, attempt], attempt, result
        )


def test_request_gets_one_answer_whatever_follows(tmp_path):
    harness = ReducerHarness(tmp_path)
    harness.run_event(0.0, "on_server_list", ServerList(4, False, (ServerEntry("s1", "127.0.0.1:1", "a"),)))
    harness.send_request(0)
    harness.end_attempt(1, 0, status=500)
    harness.end_attempt(1, 1)
    harness.run_event(0.0, "on_client_disconnected", 1)
    harness.run_event(2.5, "on_deadline_passed", 1)
    harness.send_request(2)
    harness.end_attempt(2, 0, AttemptEndReason.CONNECTION_BROKEN, Progress.WRITTEN)
    harness.send_request(2)
    harness.run_event(0.0, "on_client_disconnected", 3)
    harness.end_attempt(3, 0)
    assert not harness.reducer.requests
    assert_matches_trace("answers", harness.lines)


def test_non_idempotent_variant_of_a_request_runs_at_most_once(tmp_path):
    harness = ReducerHarness(tmp_path)
    harness.send_request(0, non_idempotent=True)
    harness.end_attempt(1, 0, AttemptEndReason.CONNECTION_BROKEN, Progress.WRITTEN)
    harness.send_request(0, non_idempotent=True)
    harness.end_attempt(2, 0, AttemptEndReason.CONNECTION_BROKEN, Progress.PARTLY_WRITTEN)
    assert_matches_trace("non_idempotent", harness.lines)


def test_server_list_follows_restarts_moves_and_complete_lists(tmp_path):
    harness = ReducerHarness(tmp_path, wall_offset=1000.0)
    harness.run_event(1.0, "on_server_list", ServerList(4, False, (ServerEntry("s1", "127.0.0.1:9", "a"),)))
    harness.run_event(
        1.0,
        "on_server_list",
        ServerList(5, False, (ServerEntry("s1", "127.0.0.1:9", "a", started_ms=1101500.0),)),
    )
    assert harness.reducer.balancer.servers[0].started_at == pytest.approx(101.5)
    harness.run_event(1.0, "on_server_list", ServerList(6, True, (ServerEntry("s2", "127.0.0.1:2", "a"),)))
    assert (
        harness.reducer.balancer.servers.keys() == {1}
        and harness.reducer.balancer.servers[1].started_at == 0.0
    )
    harness.run_event(1.0, "on_watch_failed")
    harness.run_event(0.0, "on_watch_established")
    assert harness.reducer.balancer.watch.is_active
    assert_matches_trace("list", harness.lines)


def ready_servers(harness):
    """The names of the servers to which attempts may go."""
    reducer = harness.reducer
    states = {index: each.state for index, each in reducer.balancer.servers.items()}
    return {name for name, index in reducer.server_indices.items() if states[index] is ServerState.READY}


def list_servers(harness, version, *entries, is_complete=False):
    listed = tuple(ServerEntry(name, f"127.0.0.1:{port}", "a", state=state) for name, port, state in entries)
    harness.run_event(1.0, "on_server_list", ServerList(version, is_complete, listed))


@pytest.mark.parametrize("is_complete", [False, True])
def test_server_whose_address_a_newer_one_has_gets_nothing_more(tmp_path, is_complete):
    """Guards against taking a new process for the one that had its address, has gone and is listed yet."""
    harness = ReducerHarness(tmp_path)
    rest = (("s1", 1, "active"), ("s2", 2, "active")) if is_complete else ()
    list_servers(harness, 4, *rest, ("n1", 1, "active"), is_complete=is_complete)
    assert ready_servers(harness) == {b"s2", b"n1"}
    list_servers(harness, 5, ("s1", 1, "active"))  # the old one's entry comes once more
    assert ready_servers(harness) == {b"s2", b"n1"}
    list_servers(harness, 6, ("s1", 5, "active"))  # it lives, at another address
    assert ready_servers(harness) == {b"s1", b"s2", b"n1"}
    list_servers(harness, 7, ("s1", 1, "active"), ("n1", 5, "active"))  # the two change places
    assert ready_servers(harness) == {b"s1", b"s2", b"n1"}
    list_servers(harness, 8, ("s1", 1, "left"), ("n1", 5, "left"), ("n2", 1, "active"))
    assert ready_servers(harness) == {b"s2", b"n2"}
    addresses = harness.reducer.addresses
    assert len(addresses.addresses) == len(addresses.owners) == 2 and not addresses.successors


def test_superseded_server_is_used_again_when_it_is_listed_without_the_newer_one(tmp_path):
    """Guards against leaving out a server for good after an entry that was wrong."""
    harness = ReducerHarness(tmp_path)
    list_servers(harness, 4, ("n1", 1, "active"))
    list_servers(harness, 5, ("n1", 1, "left"), ("s1", 1, "active"))
    assert ready_servers(harness) == {b"s1", b"s2"}
    list_servers(harness, 6, ("n2", 1, "active"))
    list_servers(harness, 7, ("n2", 1, "left"))
    assert ready_servers(harness) == {b"s2"}  # it is not known what runs at the address
    list_servers(harness, 8, ("s1", 1, "active"))
    assert ready_servers(harness) == {b"s1", b"s2"}


def test_servers_listed_with_one_address_at_once_are_all_used(tmp_path):
    """Guards against leaving out servers that share an address, as behind a relay."""
    harness = ReducerHarness(tmp_path)
    list_servers(harness, 4, ("n1", 7, "active"), ("n2", 7, "active"))
    list_servers(harness, 5, ("n1", 7, "active"), ("n2", 7, "active"))
    assert ready_servers(harness) == {b"s1", b"s2", b"n1", b"n2"}


def test_repeat_does_not_go_to_a_new_process_at_the_address_of_one_in_the_group(tmp_path):
    """Guards against a second execution by a process of another group at the address of a listed server."""
    classes = [*SETTINGS["workloads"], SETTINGS["workloads"][1] | {"name": "by-cell", "group": "cell"}]
    harness = ReducerHarness(tmp_path, settings=SETTINGS | {"workloads": classes})
    harness.send_request(3)
    first = harness.servers_by_attempt[1, 0]
    other_port = 2 if first == 0 else 1
    new_entry = ServerEntry("n1", f"127.0.0.1:{other_port}", "a", cell=1)
    harness.run_event(0.1, "on_server_list", ServerList(4, False, (new_entry,)))
    harness.end_attempt(1, 0, AttemptEndReason.CONNECTION_BROKEN, Progress.WRITTEN)
    assert (1, 1) not in harness.servers_by_attempt


def test_state_stays_bounded_with_many_new_servers_ids_and_requests(tmp_path):
    harness = ReducerHarness(tmp_path)
    reducer, balancer = harness.reducer, harness.reducer.balancer
    for cycle in range(300):
        new_entry = ServerEntry(f"n{cycle}", "127.0.0.1:3", "a")  # at the address of the one before it
        harness.run_event(0.1, "on_server_list", ServerList(cycle, cycle % 7 == 0, (new_entry,)))
        harness.send_request(cycle % 3)
        number, server = reducer.request_count, harness.servers_by_attempt[reducer.request_count, 0]
        harness.run_event(
            0.1, "on_server_list", ServerList(cycle, False, (ServerEntry(new_entry.name, state="left"),))
        )
        assert server in balancer.servers or server not in reducer.servers
        harness.end_attempt(number, 0)
    assert not reducer.requests and not balancer.requests and not balancer.queued_requests
    assert len(reducer.servers) == len(reducer.server_indices) == len(balancer.servers) <= 2
    ids = reducer.request_ids
    assert reducer.next_server_index > 300 and len(ids.recent) + len(ids.previous) < 200 and not ids.open


def test_attempt_at_a_removed_server_still_ends_its_request(tmp_path):
    harness = ReducerHarness(tmp_path)
    harness.send_request(2)
    server = harness.servers_by_attempt[1, 0]
    harness.run_event(0.0, "on_server_list", ServerList(4, True, ()))
    harness.end_attempt(1, 0, AttemptEndReason.CONNECTION_BROKEN, Progress.WRITTEN)
    assert not harness.reducer.pending_count and server not in harness.reducer.balancer.servers


def test_open_requests_are_failed_before_the_shutdown_deadline(tmp_path):
    harness = ReducerHarness(tmp_path)
    harness.send_request(2, timeout=6.0)
    harness.run_event(0.0, "on_shutdown", harness.reducer.now + 3.0)
    harness.send_request(0, timeout=6.0)
    harness.run_event(2.9, "on_deadline_passed", 1)
    assert_matches_trace("ending", harness.lines)


def test_overdue_request_that_was_never_sent_is_rejected(tmp_path):
    harness = ReducerHarness(tmp_path)
    harness.run_event(0.0, "on_server_list", ServerList(4, True, ()))
    harness.send_request(2, timeout=6.0)
    harness.run_event(0.05, "on_deadline_passed", 1)
    assert "answer line 1 503   0.00" in harness.lines[-1] and not harness.reducer.requests


@pytest.mark.parametrize("progress, status", [(Progress.PARTLY_WRITTEN, 503), (Progress.WRITTEN, 502)])
def test_overdue_request_is_rejected_if_no_sent_attempt_ran(tmp_path, progress, status):
    harness = ReducerHarness(tmp_path)
    harness.reducer.balancer.retry_or_give_up = lambda request, now: None  # the balancer forgets the request
    harness.send_request(2)
    harness.end_attempt(1, 0, AttemptEndReason.CONNECTION_BROKEN, progress)
    harness.run_event(2.0, "on_deadline_passed", 1)
    assert f"answer line 1 {status}   0.00" in harness.lines[-1] and not harness.reducer.requests


def test_request_is_answered_after_an_error_in_a_decision(tmp_path):
    harness = ReducerHarness(tmp_path)
    harness.reducer.balancer.select_server = None
    with pytest.raises(TypeError):
        harness.send_request(0)
    harness.run_event(2.1, "on_deadline_passed", 1)
    assert harness.lines[-1].split()[:3] == ["answer", "line", "1"] and not harness.reducer.pending_count


@pytest.mark.parametrize(
    "reason, progress, status, not_processed, outcome",
    [
        (AttemptEndReason.ANSWERED, Progress.COMPLETE, 200, False, Outcome.COMPLETED),
        (AttemptEndReason.ANSWERED, Progress.COMPLETE, 500, False, Outcome.ERROR),
        (AttemptEndReason.ANSWERED, Progress.COMPLETE, 302, False, Outcome.ERROR),
        (AttemptEndReason.ANSWERED, Progress.COMPLETE, 503, True, Outcome.FULL),
        (AttemptEndReason.ANSWERED, Progress.COMPLETE, 504, True, Outcome.FULL),
        (AttemptEndReason.ANSWERED, Progress.COMPLETE, 503, False, Outcome.ERROR),
        (AttemptEndReason.ANSWERED, Progress.COMPLETE, 500, True, Outcome.ERROR),
        (AttemptEndReason.CONNECTION_BROKEN, Progress.NOT_CONNECTED, 0, False, Outcome.NOT_CONNECTED),
        (AttemptEndReason.CONNECTION_BROKEN, Progress.PARTLY_WRITTEN, 0, False, Outcome.NOT_CONNECTED),
        (AttemptEndReason.CONNECTION_BROKEN, Progress.WRITTEN, 0, False, Outcome.RESET),
        (AttemptEndReason.CONNECTION_BROKEN, Progress.HEAD_RECEIVED, 0, False, Outcome.RESET),
        (AttemptEndReason.TIMED_OUT, Progress.NOT_CONNECTED, 0, False, Outcome.NOT_CONNECTED),
        (AttemptEndReason.TIMED_OUT, Progress.PARTLY_WRITTEN, 0, False, Outcome.NOT_CONNECTED),
        (AttemptEndReason.TIMED_OUT, Progress.HEAD_RECEIVED, 0, False, Outcome.TIMED_OUT),
        (AttemptEndReason.CANCELLED, Progress.PARTLY_WRITTEN, 0, False, Outcome.NEVER_SENT),
        (AttemptEndReason.CANCELLED, Progress.WRITTEN, 0, False, Outcome.CANCELLED),
    ],
)
def test_outcome_of_an_attempt_by_its_reason_and_progress(reason, progress, status, not_processed, outcome):
    result = AttemptResult(reason, progress, 0.1, status, not_processed)
    assert result.outcome() is outcome
    if reason is not AttemptEndReason.ANSWERED:
        assert outcome.never_ran == (progress < Progress.WRITTEN)


@pytest.mark.parametrize(
    "more, message",
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
def test_configuration_errors_name_the_key(tmp_path, more, message):
    with pytest.raises(configuration.ConfigurationError) as raised:
        agent_config(tmp_path, **more)
    assert message in str(raised.value)


def test_configuration_missing_unreadable_or_with_unknown_keys(tmp_path):
    for environment in ({}, {"PROXY_CONFIG": str(tmp_path / "none")}, {"PROXY_CONFIG": __file__}):
        with pytest.raises(configuration.ConfigurationError, match="PROXY_CONFIG: "):
            configuration.read(environment)
    assert agent_config(tmp_path, novel={"x": 1}).name == config_file()["name"]
