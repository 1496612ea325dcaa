"""The discovery client on a simulated clock, with sockets that deliver the bytes of a script."""

import json
import os
from heapq import heappop, heappush
from types import SimpleNamespace

import gevent
import pytest

from cartdeal.agent import discovery
from cartdeal.agent.configuration import ServerEntry, ServerList
from cartdeal.agent.reducer import Reducer, Request
from examples.toy import DiscoveryService, answer
from tests.discovery_fleet import HEAD, chunk
from tests.scene import SETTINGS, Deployment, agent_config, until

INFORMED_AFTER_S = 6.0  # from the start of a silence until the agent counts as informed of a change
NEVER_CONNECTED = [(1e9, None)]  # the connection is never established
REFUSED, RESET = [(0.0, ConnectionRefusedError(111, "refused"))], [(0.0, ConnectionResetError())]


def list_chunk(version, *lines, is_complete=False, indent=None):
    text = json.dumps({"rev": version, "all": is_complete, "targets": lines}, indent=indent)
    return chunk(text.encode() + b"\n")


def server(name, **more):
    return {"uid": name, "endpoint": "127.0.0.1:1", "az": "a"} | more


EMPTY_LINE, FIRST_LIST = chunk(b"\n"), HEAD + list_chunk(4, server("s1"), is_complete=True)


class ScriptedSocket:
    """Delivers each piece of its script at its time after the call; a wait for more advances the clock."""

    def __init__(self, agent):
        self.agent, self.timeout, self.called_at = agent, None, agent.now
        self.script = list(agent.scripts.pop(0) if agent.scripts else agent.service(agent.now))

    def settimeout(self, timeout):
        self.timeout = timeout

    def connect(self, address):
        if self.script == NEVER_CONNECTED:
            self.wait_until(self.called_at + 1e9)
        if self.script in (REFUSED, RESET):
            # Without this the shared error would keep the frames of every call that it has ended.
            raise self.script[0][1].with_traceback(None)

    def fileno(self):
        return self.agent.sink

    def wait_until(self, at):
        if at > self.agent.now + self.timeout:
            self.agent.now += self.timeout
            raise TimeoutError if self.timeout else BlockingIOError
        self.agent.now = max(self.agent.now, at)

    def recv_into(self, view):
        self.wait_until(self.called_at + self.script[0][0] if self.script else 1e9)
        text = self.script.pop(0)[1]
        if callable(text):
            return text(self.agent)
        view[: len(text)] = text
        return len(text)

    def close(self):
        pass


class ScriptedAgent:
    """A real discovery client, reducer and balancer. `calls` holds the time and path of each call.

    The first calls are answered by `scripts`, later ones by `service`, which gets the time of the call.
    """

    def __init__(
        self,
        folder,
        monkeypatch,
        *scripts,
        chance=None,
        seed="7",
        known=({},),
        service=lambda now: [],
        **settings,
    ):
        self.now, self.scripts, self.timers, self.timer_sequence = 100.0, list(scripts), [], 0
        self.calls, self.failed, self.attempts, self.received_lists = [], [], [], []
        self.service = service
        self.sink = os.open(os.devnull, os.O_WRONLY)
        monkeypatch.setattr(discovery, "monotonic", lambda: self.now)
        monkeypatch.setattr(
            discovery,
            "socket",
            SimpleNamespace(socket=lambda *kind: ScriptedSocket(self), AF_INET=0, SOCK_STREAM=0),
        )
        known = {"rev": 3, "all": True, "targets": [server("s0") | each for each in known]}
        settings = SETTINGS | {"discovery": "pushed"} | settings
        config = agent_config(folder, seed=seed, known=known, settings=settings)
        self.reducer = Reducer(config, self.now, 2000.0)
        if chance is not None:
            self.reducer.balancer.random_fraction = lambda: chance
        self.discovery = discovery.DiscoveryClient(config, self.dispatch, lambda: self.reducer.list_version)
        call = self.discovery.call
        self.discovery.call = lambda path, *rest: (self.calls.append((self.now, path)), call(path, *rest))[1]
        self.run_effects()

    def dispatch(self, event, *args):
        if event == "on_watch_failed":
            self.failed.append(self.now)
        elif event == "on_server_list":
            self.received_lists.append((self.now, args[0].version))
        self.reducer.now = self.now
        getattr(self.reducer, event)(*args)
        self.run_effects()

    def run_effects(self):
        effects, self.reducer.effects = self.reducer.effects, []
        for effect, *args in effects:
            if effect == "set_timer":
                self.timer_sequence += 1
                heappush(self.timers, (args[1], self.timer_sequence))
            elif effect == "watch":
                self.discovery.watch(*args)
            elif effect == "send_attempt":
                self.attempts.append(args[2])

    def play(self, until):
        """Run watches and timers until about that time."""
        while self.now < until:
            if self.discovery.current_watch:
                self.discovery.current_watch.join()
            elif self.timers and self.timers[0][0] <= self.now:
                heappop(self.timers)
                self.dispatch("on_timer", 0)
            else:
                self.now = self.timers[0][0]

    def take(self, number):
        path = b"/%d" % number
        self.dispatch(
            "on_request", number, Request(0, False, 0, number, 2.0, False, b"GET", path, path, b"", b"", b"")
        )


@pytest.fixture
def make_agent(tmp_path, monkeypatch):
    created = []

    def create(*scripts, **more):
        created.append(ScriptedAgent(tmp_path, monkeypatch, *scripts, **more))
        return created[-1]

    yield create
    for each in created:
        os.close(each.sink)
        if each.discovery.current_watch:
            each.discovery.current_watch.kill()


SILENT_WATCH = [
    (0.0, FIRST_LIST),
    (2.0, EMPTY_LINE),
    (4.0, EMPTY_LINE),
]  # a watch that falls silent after 4 s
SILENT_SINCE = 104.0


@pytest.mark.parametrize(
    "first",
    [[], NEVER_CONNECTED, [(0.1, HEAD[:20]), (0.9, HEAD[20:40])]],
    ids=["accepted", "never up", "half a head"],
)
@pytest.mark.parametrize("chance", [0.0, 0.999999])
def test_two_calls_fit_after_a_silent_watch_if_the_first_is_not_answered(make_agent, first, chance):
    new = [(0.0, HEAD + list_chunk(9, server("s1", state="leaving")))]
    agent = make_agent(SILENT_WATCH, first, new, chance=chance)
    agent.play(SILENT_SINCE + INFORMED_AFTER_S)
    (_, one), (_, two), (at, three) = agent.calls[:3]
    assert at - SILENT_SINCE <= 5.5 and agent.reducer.list_version == 9
    assert (
        one.endswith("after=3") and two.endswith("after=4") and two == three
    )  # both ask for every missed change
    agent.take(1)
    assert not agent.attempts


def test_only_the_first_call_after_silence_is_short_and_pauses_grow(make_agent):
    agent = make_agent(SILENT_WATCH, *[[]] * 20, chance=0.5)
    agent.play(150.0)
    call_times = [at for at, _ in agent.calls[1:]]
    call_durations = [failed - at for failed, at in zip(agent.failed[1:], call_times, strict=False)]
    pauses = [at - failed for failed, at in zip(agent.failed, call_times, strict=False)]
    assert call_durations[:3] == pytest.approx(
        [discovery.SHORT_CALL_TIMEOUT_S, discovery.CALL_TIMEOUT_S, discovery.CALL_TIMEOUT_S]
    )
    assert pauses[:5] == pytest.approx([0.5, 0.5, 1.0, 4 / 3, 4 / 3]) and len(call_times) < 12


def test_pauses_after_immediate_failures_grow_to_a_third_of_the_poll_interval(make_agent):
    agent = make_agent(SILENT_WATCH, chance=0.5, service=lambda now: REFUSED)
    agent.play(150.0)
    pauses = [at - failed for failed, (at, _) in zip(agent.failed, agent.calls[1:], strict=False)]
    assert pauses[:5] == pytest.approx([0.5, 0.5, 1.0, 2.0, 10 / 3]) and set(map(round, pauses[5:])) == {3}


OUTAGES = {
    "accepted": [],
    "never up": NEVER_CONNECTED,
    "refused": REFUSED,
    "reset": RESET,
    "half a head": [(0.1, HEAD[:20])],
    "rejected": [(0.2, b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")],
    "head alone": [(0.1, HEAD)],
    "answered late": [(2.9, b"HTTP/1.1 503 Down\r\n")],
}
RECOVERY_LIST = HEAD + list_chunk(9, server("s1"))


@pytest.mark.parametrize("outage", OUTAGES.values(), ids=OUTAGES)
@pytest.mark.parametrize(
    "settings",
    [{}, {"discovery": "on_request"}, {"rules": SETTINGS["rules"] | {"askEveryUs": 60_000_000}}],
    ids=["pushed", "polled", "polled rarely"],
)
def test_change_arrives_within_6_s_of_recovery_after_any_kind_of_outage(make_agent, outage, settings):
    for step in range(30):
        recovery_at = SILENT_SINCE + 3.0 + 1.3 * step
        for chance in (0.0, 0.5, 0.999999):
            # A call made before the recovery still fails as before; the next one is answered late.
            agent = make_agent(
                SILENT_WATCH,
                chance=chance,
                **settings,
                service=lambda now, recovery_at=recovery_at: outage
                if now < recovery_at
                else [(0.9, RECOVERY_LIST)],
            )
            agent.play(recovery_at + INFORMED_AFTER_S)
            assert any(
                at <= recovery_at + INFORMED_AFTER_S and version == 9 for at, version in agent.received_lists
            ), (recovery_at, chance)


def test_200_agents_spread_their_calls_after_recovery_and_call_seldom_before_it(make_agent):
    for outage, max_calls in ((REFUSED, 16), ([], 11)):
        calls = []
        for seed in range(200):
            agent = make_agent(
                SILENT_WATCH,
                seed=f"{seed * 0x9E3779B97F4A7C15 % 2**64:x}",
                service=lambda now, outage=outage: outage if now < 150 else [(0.9, RECOVERY_LIST)],
            )
            agent.play(150 + INFORMED_AFTER_S)
            assert any(at <= 150 + INFORMED_AFTER_S and version == 9 for at, version in agent.received_lists)
            calls.append([at for at, _ in agent.calls])
        firsts = [next(at for at in each if at >= 150) for each in calls]
        assert max(sum(at <= each < at + 0.05 for each in firsts) for at in firsts) < 20
        assert sum(at < 150 for each in calls for at in each[1:]) <= 200 * max_calls


@pytest.mark.parametrize("end", [[(0.0, b"")], [(0.0, b"0\r\n\r\n")]], ids=["closed", "ended"])
def test_pauses_grow_if_the_watch_repeatedly_ends_after_its_first_list(make_agent, end):
    agent = make_agent(service=lambda now: [(0.0, FIRST_LIST), *end])
    agent.play(140.0)
    call_times = [at for at, _ in agent.calls]
    pauses = [two - one for one, two in zip(call_times, call_times[1:], strict=False)]
    assert len(call_times) < 18 and 0.2 < min(pauses) and 1.5 < min(pauses[4:]) and max(pauses) <= 5.0


def test_refused_calls_do_not_delay_the_call_after_a_watch_that_ended_early(make_agent):
    """After refusals for 4 s, a watch of 1.6 s ends instead of sending a change: the next call is soon."""

    def service(now):
        return OUTAGES["rejected"] if now < 108 else [(0.0, FIRST_LIST), (1.6, b"")]

    agent = make_agent(chance=0.999999, service=service)
    agent.play(120.0)
    ended = agent.received_lists[0][0] + 1.6
    assert agent.failed.count(ended) == 1
    assert min(at for at, _ in agent.calls if at > ended) <= ended + 0.75


@pytest.mark.parametrize("ahead", [b"", list_chunk(5, server("s2"))], ids=["its first list", "a change"])
@pytest.mark.parametrize("rest", [b"", chunk(b'{"rev": 9')], ids=["whole", "half a line behind"])
def test_list_that_arrives_with_the_end_of_its_watch_is_applied(make_agent, ahead, rest):
    first, last = (HEAD + ahead, 6) if ahead else (HEAD, 4)
    line = list_chunk(last, server("s1", state="leaving"), is_complete=True)
    agent = make_agent([(0.0, first), (0.5, line + rest + b"0\r\n\r\n")], [])
    agent.discovery.current_watch.join()
    assert [version for _, version in agent.received_lists][-1:] == [last] and len(agent.failed) == 1


def test_list_in_a_response_with_content_length_is_applied(make_agent):
    text = json.dumps({"rev": 6, "all": True, "targets": [server("s1")]}).encode() + b"\n"
    agent = make_agent([(0.0, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)], [])
    agent.discovery.current_watch.join()
    assert [version for _, version in agent.received_lists] == [6] and len(agent.failed) == 1


@pytest.mark.parametrize("status", [b"204 None", b"302 There", b"500 Odd", b"503 Full"])
def test_watch_with_an_error_status_fails_at_once_on_an_open_connection(make_agent, status):
    agent = make_agent(
        [(0.1, b"HTTP/1.1 %b\r\nTransfer-Encoding: chunked\r\n\r\n" % status), (0.2, EMPTY_LINE)]
    )
    agent.discovery.current_watch.join()
    assert agent.failed == [pytest.approx(100.1)] and not agent.received_lists


def test_agent_without_servers_calls_again_soon(make_agent):
    agent = make_agent(
        chance=0.999999, known=(), service=lambda now: REFUSED if now < 108 else [(0.1, RECOVERY_LIST)]
    )
    agent.play(112.0)
    call_times = [at for at, _ in agent.calls]
    assert (
        agent.reducer.is_ready
        and max(map(float.__sub__, call_times[1:], call_times)) < 1.51
        and len(call_times) < 12
    )


@pytest.mark.parametrize(
    "outage, outage_s, answer_delay",
    [(REFUSED, 8.0, 0.9), ([], 5.0, 0.9), (OUTAGES["rejected"], 7.5, 0.9), ([], 0.0, 2.9)],
    ids=["down", "deaf", "full", "slow"],
)
def test_nine_in_ten_agents_without_servers_are_ready_within_10_s(make_agent, outage, outage_s, answer_delay):
    late_count = 0
    for seed in range(200):
        agent = make_agent(
            seed=f"{seed * 0x9E3779B97F4A7C15 % 2**64:x}",
            known=(),
            service=lambda now: outage if now < 100 + outage_s else [(answer_delay, RECOVERY_LIST)],
        )
        agent.play(111.0)
        late_count += not any(at <= 110.0 for at, _ in agent.received_lists)
    assert late_count <= 20


@pytest.mark.parametrize(
    "script, expected_failure",
    [
        ([], discovery.CALL_TIMEOUT_S),
        ([(n / 2, HEAD[n : n + 1]) for n in range(60)], discovery.CALL_TIMEOUT_S),
        ([(0.5, HEAD), (0.6, list_chunk(5)[:20])], 0.5 + discovery.SILENCE_TIMEOUT_S),
        ([(0.0, FIRST_LIST)] + [(n / 2, chunk(b"x")) for n in range(2, 60)], discovery.SILENCE_TIMEOUT_S),
        ([(0.0, FIRST_LIST)] + [(n / 2, chunk(b"[\n")) for n in range(2, 60)], discovery.SILENCE_TIMEOUT_S),
        (
            [(0.0, FIRST_LIST), (2.0, EMPTY_LINE), (3.0, list_chunk(5)[:20])],
            2.0 + discovery.SILENCE_TIMEOUT_S,
        ),
    ],
    ids=["no answer", "head by bytes", "half a line", "line by bytes", "list by lines", "half a change"],
)
def test_watch_without_complete_lines_fails_though_bytes_keep_arriving(make_agent, script, expected_failure):
    agent = make_agent(script, [(0.0, HEAD + EMPTY_LINE)])
    agent.play(100.0 + expected_failure + 2.0)
    assert agent.failed[0] - 100 == pytest.approx(expected_failure) and len(agent.calls) > 1


def stall(duration):
    """Returns a script piece that stalls the agent while its lines arrive."""

    def advance_clock(agent):
        agent.now += duration
        raise TimeoutError

    return advance_clock


@pytest.mark.parametrize(
    "script",
    [
        [(0.0, FIRST_LIST)] + [(2.9 * n, EMPTY_LINE) for n in range(1, 21)],
        [(0.0, FIRST_LIST), (1.0, stall(20.0)), (2.0, EMPTY_LINE), (22.0, EMPTY_LINE)]
        + [(2.0 * n, EMPTY_LINE) for n in range(12, 31)],
        [(0.0, FIRST_LIST), (1.0, stall(0.0)), (1.5, stall(0.0))]
        + [(2.0 * n, EMPTY_LINE) for n in range(1, 31)],
    ],
    ids=["lines late", "agent late", "timers early"],
)
def test_late_watch_is_not_opened_again(make_agent, script):
    agent = make_agent(script)
    agent.play(155.0)
    assert len(agent.calls) == 1


def test_200_agents_with_silent_watches_spread_their_calls_and_call_seldom(make_agent):
    firsts, call_count = [], 0
    for seed in range(200):
        agent = make_agent(SILENT_WATCH, *[[]] * 20, seed=f"{seed * 0x9E3779B97F4A7C15 % 2**64:x}")
        agent.play(SILENT_SINCE + 20.0)
        firsts.append(agent.calls[1][0])
        call_count += sum(at < SILENT_SINCE + 20.0 for at, _ in agent.calls[1:])
    # The calls spread over half a second; in a real fleet the lines of the watches spread over 2 s more.
    assert max(sum(at <= each < at + 0.05 for each in firsts) for at in firsts) < 40
    assert call_count <= 200 * 5  # five each: the pause between two calls must not exceed 5 s


def test_known_list_is_used_at_start_and_right_after_an_outage(make_agent):
    changed = HEAD + list_chunk(5, server("s0", state="leaving"), server("s2"))
    agent = make_agent([], [(0.0, changed)], known=(server("s0"), server("s1", state="leaving")))
    agent.take(1)
    agent.play(100.1)  # the first call is not answered, the second is
    agent.take(2)
    agent.play(104.0)
    agent.take(3)
    assert agent.attempts == [0, 0, 2]


def test_new_service_is_called_at_once_and_again_in_time_for_its_complete_list(make_agent):
    agent = make_agent(
        [(0.0, FIRST_LIST)],
        [],
        [(0.0, HEAD + list_chunk(2, server("s2"), is_complete=True))],
        chance=0.999999,
    )
    agent.discovery.current_watch.join()  # the old watch fell silent, and a pause is running
    moved_at = agent.now
    agent.discovery.move(("127.0.0.1", 2))
    agent.dispatch("on_discovery_moved")
    agent.play(moved_at + 4.0)  # by then a change counts as known
    assert [path[-7:] for _, path in agent.calls[1:3]] == ["after=0"] * 2 and agent.calls[1][0] == moved_at
    assert agent.calls[2][0] < moved_at + 3.8 and agent.reducer.list_version == 2


def test_indented_lists_are_applied(make_agent):
    text = HEAD + list_chunk(8, server("s1", state="leaving"), server("s2{"), is_complete=True, indent=2)
    agent = make_agent(
        [(0.0, text[:90]), (0.1, text[90:]), (2.0, EMPTY_LINE + list_chunk(9, server("s2{", cell=1)))]
    )
    agent.play(100.2)
    assert len(agent.calls) == 1 and agent.reducer.list_version == 9


@pytest.mark.parametrize(
    "script", [[], NEVER_CONNECTED, [(n / 2, b"HTTP/1.1 200 OK"[n : n + 1]) for n in range(15)]]
)
def test_fetch_of_a_complete_list_fails_after_the_call_timeout(make_agent, script):
    agent = make_agent(script)
    agent.discovery.current_watch.kill()  # before it calls: the script is for the fetch
    gevent.spawn(agent.discovery.run_fetch).join()
    assert agent.failed and agent.failed[0] - 100 == pytest.approx(discovery.CALL_TIMEOUT_S)


def test_decode_list_accepts_only_valid_entries():
    assert discovery.decode_list(b'{"rev": 2, "targets": []}') == ServerList(2)
    with pytest.raises(discovery.ConfigurationError):
        discovery.decode_list(json.dumps({"targets": [server("s", endpoint="x")]}).encode())
    (line,) = discovery.decode_list(json.dumps({"targets": [server("s")]}).encode()).entries
    assert line == ServerEntry("s", "127.0.0.1:1", "a")


# Two watches during a move, on sockets, with toy services that send what the test tells them to.


@pytest.fixture
def relocation(tmp_path):
    """A deployment with an established watch; `move` gives it another service, silent until told to send."""
    created, deployment = [], Deployment(tmp_path)
    old_service, agent = deployment.service, deployment.agent

    def move(down=False):
        service = DiscoveryService()
        service.entries, service.is_mute = dict(old_service.entries), True
        created.append(service)
        if down:
            service.stop()
        agent.discovery.move(("127.0.0.1", int(service.address.split(":")[1])))
        agent.dispatch("on_discovery_moved")
        if not down:
            until(lambda: service.watches)
        return service

    with gevent.Timeout(20):
        until(lambda: agent.reducer.balancer.watch.is_active and old_service.watches)
        yield SimpleNamespace(
            move=move, old_service=old_service, reducer=agent.reducer, discovery=agent.discovery
        )
    deployment.stop()
    for each in created:
        each.stop()


def test_change_from_the_old_service_does_not_establish_the_new_watch(relocation):
    new_service = relocation.move(down=True)
    until(lambda: not relocation.discovery.current_watch)  # refused, and a pause is running
    relocation.old_service.send_update(server("s7", state="active"))
    until(lambda: b"s7" in relocation.reducer.server_indices)
    assert not relocation.reducer.balancer.watch.is_active
    recovery_at = DiscoveryService(int(new_service.address.split(":")[1]))
    until(
        lambda: recovery_at.calls
        and relocation.reducer.balancer.watch.is_active
        and not relocation.old_service.connections
    )
    recovery_at.stop()


@pytest.mark.parametrize("first", ["old", "new"])
def test_change_from_the_old_service_is_not_applied_to_the_new_list(relocation, first):
    new_service = relocation.move()
    full_list = new_service.server_list(list(new_service.entries.values()), True) + b"\n"
    sends = [
        lambda: relocation.old_service.send_update(server("s7", state="active")),
        lambda: new_service.write(new_service.watches[0], full_list),
    ]
    for send in sends if first == "old" else sends[::-1]:  # both are sent before the agent reads either
        send()
    until(lambda: not relocation.old_service.connections)
    assert b"s7" not in relocation.reducer.server_indices and relocation.reducer.list_version == 1


def test_watch_that_has_a_list_continues_through_two_moves(relocation):
    second, third = relocation.move(), relocation.move()
    until(lambda: not second.connections)
    relocation.old_service.send_update(server("s7", state="active"))
    until(lambda: b"s7" in relocation.reducer.server_indices)
    third.send_update()
    until(lambda: not relocation.old_service.connections)


def test_empty_line_of_the_new_service_does_not_end_the_old_watch(relocation):
    new_service = relocation.move()
    new_service.write(new_service.watches[0], b"\n")
    until(lambda: relocation.reducer.balancer.watch.is_active)
    relocation.old_service.send_update(server("s7", state="active"))
    until(lambda: b"s7" in relocation.reducer.server_indices)
    new_service.send_update()
    until(lambda: not relocation.old_service.connections)


@pytest.mark.parametrize("newer", ["a change", "a move"])
def test_fetched_list_does_not_revert_a_newer_change(relocation, newer):
    open_fetches = []
    relocation.old_service.handle_request = lambda connection, message: open_fetches.append(connection)
    relocation.discovery.fetch_servers()
    until(lambda: open_fetches)
    if newer == "a change":
        relocation.old_service.send_update(server("s7", state="active"))
    else:
        relocation.move().send_update(server("s7", state="active"))
    until(lambda: b"s7" in relocation.reducer.server_indices)
    text = json.dumps({"rev": 1, "all": True, "targets": [server("s1")]}).encode()
    open_fetches[0].write(answer(200, text))
    until(lambda: open_fetches[0] not in relocation.old_service.connections)
    assert b"s7" in relocation.reducer.server_indices and relocation.reducer.list_version == 2


def test_failed_fetch_is_no_failure_of_an_established_watch(relocation):
    relocation.old_service.is_down = True
    relocation.discovery.fetch_servers()
    until(
        lambda: "/registry/instances" in relocation.old_service.calls
        and len(relocation.old_service.connections) == 1
    )
    assert relocation.reducer.balancer.watch.is_active and relocation.discovery.current_watch
