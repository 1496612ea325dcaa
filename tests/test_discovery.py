"""The watch on a clock of the test's own: sockets that deliver what a script says, and no waiting."""

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

TOLD = 6.0  # what a silent watch misses counts as told so long after it fell silent
NEVER_UP = [(1e9, None)]  # not even the connection comes up
REFUSED, WORDLESS = [(0.0, ConnectionRefusedError(111, "refused"))], [(0.0, ConnectionResetError())]


def told(version, *lines, whole=False, indent=None):
    text = json.dumps({"rev": version, "all": whole, "targets": lines}, indent=indent)
    return chunk(text.encode() + b"\n")


def server(name, **more):
    return {"uid": name, "endpoint": "127.0.0.1:1", "az": "a"} | more


BEAT, LIST = chunk(b"\n"), HEAD + told(4, server("s1"), whole=True)


class Sock:
    """Brings each piece of its script so long after the call; where nothing is due, the wait passes."""

    def __init__(self, world):
        self.world, self.wait, self.begun = world, None, world.now
        self.script = list(world.scripts.pop(0) if world.scripts else world.service(world.now))

    def settimeout(self, wait):
        self.wait = wait

    def connect(self, address):
        if self.script == NEVER_UP:
            self.pass_by(self.begun + 1e9)
        if self.script in (REFUSED, WORDLESS):
            raise self.script[0][1]

    def fileno(self):
        return self.world.sink

    def pass_by(self, at):
        if at > self.world.now + self.wait:
            self.world.now += self.wait
            raise TimeoutError if self.wait else BlockingIOError
        self.world.now = max(self.world.now, at)

    def recv_into(self, view):
        self.pass_by(self.begun + self.script[0][0] if self.script else 1e9)
        text = self.script.pop(0)[1]
        if callable(text):
            return text(self.world)
        view[: len(text)] = text
        return len(text)

    def close(self):
        pass


class World:
    """One agent's list: its real roster, reducer and balancer. `calls` has when and what each call asked.

    The calls are answered by `scripts`, and those after them by `service`, which is given the time.
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
        self.now, self.scripts, self.due, self.order = 100.0, list(scripts), [], 0
        self.calls, self.failed, self.attempts, self.heard = [], [], [], []
        self.service = service
        self.sink = os.open(os.devnull, os.O_WRONLY)
        monkeypatch.setattr(discovery, "monotonic", lambda: self.now)
        monkeypatch.setattr(
            discovery, "socket", SimpleNamespace(socket=lambda *kind: Sock(self), AF_INET=0, SOCK_STREAM=0)
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
            self.heard.append((self.now, args[0].version))
        self.reducer.now = self.now
        getattr(self.reducer, event)(*args)
        self.run_effects()

    def run_effects(self):
        effects, self.reducer.effects = self.reducer.effects, []
        for verb, *args in effects:
            if verb == "set_timer":
                self.order += 1
                heappush(self.due, (args[1], self.order))
            elif verb == "watch":
                self.discovery.watch(*args)
            elif verb == "send_attempt":
                self.attempts.append(args[2])

    def play(self, until):
        """Plays watches and timers up to about that time."""
        while self.now < until:
            if self.discovery.current_watch:
                self.discovery.current_watch.join()
            elif self.due and self.due[0][0] <= self.now:
                heappop(self.due)
                self.dispatch("on_timer", 0)
            else:
                self.now = self.due[0][0]

    def take(self, number):
        path = b"/%d" % number
        self.dispatch(
            "on_request", number, Request(0, False, 0, number, 2.0, False, b"GET", path, path, b"", b"", b"")
        )


@pytest.fixture
def world(tmp_path, monkeypatch):
    made = []

    def make(*scripts, **more):
        made.append(World(tmp_path, monkeypatch, *scripts, **more))
        return made[-1]

    yield make
    for each in made:
        os.close(each.sink)
        if each.discovery.current_watch:
            each.discovery.current_watch.kill()


STOOD = [(0.0, LIST), (2.0, BEAT), (4.0, BEAT)]  # and falls silent
LAST = 104.0


@pytest.mark.parametrize(
    "first",
    [[], NEVER_UP, [(0.1, HEAD[:20]), (0.9, HEAD[20:40])]],
    ids=["accepted", "never up", "half a head"],
)
@pytest.mark.parametrize("chance", [0.0, 0.999999])
def test_two_calls_fit_in_after_a_silent_watch_the_first_one_never_answered(world, first, chance):
    new = [(0.0, HEAD + told(9, server("s1", state="leaving")))]
    played = world(STOOD, first, new, chance=chance)
    played.play(LAST + TOLD)
    (_, one), (_, two), (at, three) = played.calls[:3]
    assert at - LAST <= 5.5 and played.reducer.list_version == 9
    assert one.endswith("after=3") and two.endswith("after=4") and two == three  # all that was missed
    played.take(1)
    assert not played.attempts


def test_only_the_call_after_silence_is_short_and_its_pauses_grow(world):
    played = world(STOOD, *[[]] * 20, chance=0.5)
    played.play(150.0)
    begun = [at for at, _ in played.calls[1:]]
    took = [failed - at for failed, at in zip(played.failed[1:], begun, strict=False)]
    pauses = [at - failed for failed, at in zip(played.failed, begun, strict=False)]
    assert took[:3] == pytest.approx(
        [discovery.SHORT_CALL_TIMEOUT_S, discovery.CALL_TIMEOUT_S, discovery.CALL_TIMEOUT_S]
    )
    assert pauses[:5] == pytest.approx([0.5, 0.5, 1.0, 4 / 3, 4 / 3]) and len(begun) < 12


def test_pauses_after_calls_that_fail_at_once_grow_to_a_third_of_the_time_for_asking(world):
    played = world(STOOD, chance=0.5, service=lambda now: REFUSED)
    played.play(150.0)
    pauses = [at - failed for failed, (at, _) in zip(played.failed, played.calls[1:], strict=False)]
    assert pauses[:5] == pytest.approx([0.5, 0.5, 1.0, 2.0, 10 / 3]) and set(map(round, pauses[5:])) == {3}


OUTAGES = {
    "accepted": [],
    "never up": NEVER_UP,
    "refused": REFUSED,
    "no words": WORDLESS,
    "half a head": [(0.1, HEAD[:20])],
    "turned away": [(0.2, b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")],
    "head alone": [(0.1, HEAD)],
    "answered late": [(2.9, b"HTTP/1.1 503 Down\r\n")],
}
BACK = HEAD + told(9, server("s1"))


@pytest.mark.parametrize("outage", OUTAGES.values(), ids=OUTAGES)
@pytest.mark.parametrize(
    "settings",
    [{}, {"discovery": "on_request"}, {"rules": SETTINGS["rules"] | {"askEveryUs": 60_000_000}}],
    ids=["pushed", "asked for", "asked for seldom"],
)
def test_change_is_had_6_s_after_discovery_is_back_whatever_failed_before(world, outage, settings):
    for place in range(30):
        back = LAST + 3.0 + 1.3 * place
        for chance in (0.0, 0.5, 0.999999):
            # A call that began before it was back goes on as it did then; the next has its answer late.
            played = world(
                STOOD,
                chance=chance,
                **settings,
                service=lambda now, back=back: outage if now < back else [(0.9, BACK)],
            )
            played.play(back + TOLD)
            assert any(at <= back + TOLD and version == 9 for at, version in played.heard), (back, chance)


def test_hundreds_come_apart_and_in_time_when_discovery_is_back_and_call_seldom_before(world):
    for outage, most in ((REFUSED, 16), ([], 11)):
        calls = []
        for seed in range(200):
            played = world(
                STOOD,
                seed=f"{seed * 0x9E3779B97F4A7C15 % 2**64:x}",
                service=lambda now, outage=outage: outage if now < 150 else [(0.9, BACK)],
            )
            played.play(150 + TOLD)
            assert any(at <= 150 + TOLD and version == 9 for at, version in played.heard)
            calls.append([at for at, _ in played.calls])
        firsts = [next(at for at in each if at >= 150) for each in calls]
        assert max(sum(at <= each < at + 0.05 for each in firsts) for at in firsts) < 20
        assert sum(at < 150 for each in calls for at in each[1:]) <= 200 * most


@pytest.mark.parametrize("end", [[(0.0, b"")], [(0.0, b"0\r\n\r\n")]], ids=["closed", "ended"])
def test_watch_that_ends_after_its_first_list_again_and_again_is_asked_for_ever_more_seldom(world, end):
    played = world(service=lambda now: [(0.0, LIST), *end])
    played.play(140.0)
    begun = [at for at, _ in played.calls]
    pauses = [two - one for one, two in zip(begun, begun[1:], strict=False)]
    assert len(begun) < 18 and 0.2 < min(pauses) and 1.5 < min(pauses[4:]) and max(pauses) <= 5.0


def test_refused_calls_do_not_put_off_the_call_after_a_watch_that_ended_early(world):
    """Refusals for 4 s, a watch that stands for 1.6 s and ends in place of telling: the next call is soon."""

    def service(now):
        return OUTAGES["turned away"] if now < 108 else [(0.0, LIST), (1.6, b"")]

    played = world(chance=0.999999, service=service)
    played.play(120.0)
    ended = played.heard[0][0] + 1.6
    assert played.failed.count(ended) == 1
    assert min(at for at, _ in played.calls if at > ended) <= ended + 0.75


@pytest.mark.parametrize("ahead", [b"", told(5, server("s2"))], ids=["its first list", "a change"])
@pytest.mark.parametrize("rest", [b"", chunk(b'{"rev": 9')], ids=["whole", "half a line behind"])
def test_list_that_comes_together_with_the_end_of_its_watch_counts(world, ahead, rest):
    first, last = (HEAD + ahead, 6) if ahead else (HEAD, 4)
    line = told(last, server("s1", state="leaving"), whole=True)
    played = world([(0.0, first), (0.5, line + rest + b"0\r\n\r\n")], [])
    played.discovery.current_watch.join()
    assert [version for _, version in played.heard][-1:] == [last] and len(played.failed) == 1


def test_list_of_an_answer_with_a_length_counts(world):
    text = json.dumps({"rev": 6, "all": True, "targets": [server("s1")]}).encode() + b"\n"
    played = world([(0.0, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)], [])
    played.discovery.current_watch.join()
    assert [version for _, version in played.heard] == [6] and len(played.failed) == 1


@pytest.mark.parametrize("status", [b"204 None", b"302 There", b"500 Odd", b"503 Full"])
def test_watch_refused_on_a_connection_that_stays_open_has_failed_at_once(world, status):
    played = world([(0.1, b"HTTP/1.1 %b\r\nTransfer-Encoding: chunked\r\n\r\n" % status), (0.2, BEAT)])
    played.discovery.current_watch.join()
    assert played.failed == [pytest.approx(100.1)] and not played.heard


def test_agent_that_knows_no_server_asks_again_soon(world):
    played = world(chance=0.999999, known=(), service=lambda now: REFUSED if now < 108 else [(0.1, BACK)])
    played.play(112.0)
    begun = [at for at, _ in played.calls]
    assert played.reducer.is_ready and max(map(float.__sub__, begun[1:], begun)) < 1.51 and len(begun) < 12


@pytest.mark.parametrize(
    "first, until, answer",
    [(REFUSED, 8.0, 0.9), ([], 5.0, 0.9), (OUTAGES["turned away"], 7.5, 0.9), ([], 0.0, 2.9)],
    ids=["down", "deaf", "full", "slow"],
)
def test_nine_in_ten_agents_that_know_no_server_are_ready_within_10_s(world, first, until, answer):
    late = 0
    for seed in range(200):
        played = world(
            seed=f"{seed * 0x9E3779B97F4A7C15 % 2**64:x}",
            known=(),
            service=lambda now: first if now < 100 + until else [(answer, BACK)],
        )
        played.play(111.0)
        late += not any(at <= 110.0 for at, _ in played.heard)
    assert late <= 20


@pytest.mark.parametrize(
    "script, fails",
    [
        ([], discovery.CALL_TIMEOUT_S),
        ([(n / 2, HEAD[n : n + 1]) for n in range(60)], discovery.CALL_TIMEOUT_S),
        ([(0.5, HEAD), (0.6, told(5)[:20])], 0.5 + discovery.SILENCE_TIMEOUT_S),
        ([(0.0, LIST)] + [(n / 2, chunk(b"x")) for n in range(2, 60)], discovery.SILENCE_TIMEOUT_S),
        ([(0.0, LIST)] + [(n / 2, chunk(b"[\n")) for n in range(2, 60)], discovery.SILENCE_TIMEOUT_S),
        ([(0.0, LIST), (2.0, BEAT), (3.0, told(5)[:20])], 2.0 + discovery.SILENCE_TIMEOUT_S),
    ],
    ids=["no answer", "head by bytes", "half a line", "line by bytes", "list by lines", "half a change"],
)
def test_watch_without_whole_lines_is_broken_however_much_it_trickles(world, script, fails):
    played = world(script, [(0.0, HEAD + BEAT)])
    played.play(100.0 + fails + 2.0)
    assert played.failed[0] - 100 == pytest.approx(fails) and len(played.calls) > 1


def late(by):
    """The whole agent stands still while its lines come."""

    def stall(world):
        world.now += by
        raise TimeoutError

    return stall


@pytest.mark.parametrize(
    "script",
    [
        [(0.0, LIST)] + [(2.9 * n, BEAT) for n in range(1, 21)],
        [(0.0, LIST), (1.0, late(20.0)), (2.0, BEAT), (22.0, BEAT)]
        + [(2.0 * n, BEAT) for n in range(12, 31)],
        [(0.0, LIST), (1.0, late(0.0)), (1.5, late(0.0))] + [(2.0 * n, BEAT) for n in range(1, 31)],
    ],
    ids=["lines late", "agent late", "timers early"],
)
def test_watch_that_is_only_late_is_not_opened_anew(world, script):
    played = world(script)
    played.play(155.0)
    assert len(played.calls) == 1


def test_hundreds_whose_watches_fall_silent_at_once_call_apart_and_seldom(world):
    firsts, all_ = [], 0
    for seed in range(200):
        played = world(STOOD, *[[]] * 20, seed=f"{seed * 0x9E3779B97F4A7C15 % 2**64:x}")
        played.play(LAST + 20.0)
        firsts.append(played.calls[1][0])
        all_ += sum(at < LAST + 20.0 for at, _ in played.calls[1:])
    # Spread over half a second, where in a fleet the beats of its watches are spread over two more.
    assert max(sum(at <= each < at + 0.05 for each in firsts) for at in firsts) < 40
    assert all_ <= 200 * 5  # five each: from one call to the next it must not be over 5 s


def test_list_that_the_agent_has_counts_from_its_first_moment_and_right_after_an_outage(world):
    changed = HEAD + told(5, server("s0", state="leaving"), server("s2"))
    played = world([], [(0.0, changed)], known=(server("s0"), server("s1", state="leaving")))
    played.take(1)
    played.play(100.1)  # the first call is not answered, the second one is
    played.take(2)
    played.play(104.0)
    played.take(3)
    assert played.attempts == [0, 0, 2]


def test_service_moved_to_is_asked_at_once_and_again_in_time_for_all_it_has(world):
    played = world([(0.0, LIST)], [], [(0.0, HEAD + told(2, server("s2"), whole=True))], chance=0.999999)
    played.discovery.current_watch.join()  # the old one fell silent, and a pause is on
    moved = played.now
    played.discovery.move(("127.0.0.1", 2))
    played.dispatch("on_discovery_moved")
    played.play(moved + 4.0)  # what changed counts by then
    assert [path[-7:] for _, path in played.calls[1:3]] == ["after=0"] * 2 and played.calls[1][0] == moved
    assert played.calls[2][0] < moved + 3.8 and played.reducer.list_version == 2


def test_lists_may_come_indented(world):
    text = HEAD + told(8, server("s1", state="leaving"), server("s2{"), whole=True, indent=2)
    played = world([(0.0, text[:90]), (0.1, text[90:]), (2.0, BEAT + told(9, server("s2{", cell=1)))])
    played.play(100.2)
    assert len(played.calls) == 1 and played.reducer.list_version == 9


@pytest.mark.parametrize(
    "script", [[], NEVER_UP, [(n / 2, b"HTTP/1.1 200 OK"[n : n + 1]) for n in range(15)]]
)
def test_whole_list_is_had_in_time_or_not_at_all(world, script):
    played = world(script)
    played.discovery.current_watch.kill()  # before its call: the script is the list's
    gevent.spawn(played.discovery.run_fetch).join()
    assert played.failed and played.failed[0] - 100 == pytest.approx(discovery.CALL_TIMEOUT_S)


def test_a_list_is_one_of_known_form():
    assert discovery.decode_list(b'{"rev": 2, "targets": []}') == ServerList(2)
    with pytest.raises(discovery.ConfigurationError):
        discovery.decode_list(json.dumps({"targets": [server("s", endpoint="x")]}).encode())
    (line,) = discovery.decode_list(json.dumps({"targets": [server("s")]}).encode()).entries
    assert line == ServerEntry("s", "127.0.0.1:1", "a")


# Two watches during a move, on sockets: stand-in services that say each thing when the test lets them.


@pytest.fixture
def moved(tmp_path):
    """A deployment whose watch stands; `move` gives it another service, which says nothing by itself."""
    made, deployment = [], Deployment(tmp_path)
    old, agent = deployment.service, deployment.agent

    def move(down=False):
        service = DiscoveryService()
        service.lines, service.mute = dict(old.lines), True
        made.append(service)
        if down:
            service.stop()
        agent.discovery.move(("127.0.0.1", int(service.address.split(":")[1])))
        agent.dispatch("on_discovery_moved")
        if not down:
            until(lambda: service.watches)
        return service

    with gevent.Timeout(20):
        until(lambda: agent.reducer.balancer.watch.is_active and old.watches)
        yield SimpleNamespace(move=move, old=old, reducer=agent.reducer, discovery=agent.discovery)
    deployment.stop()
    for each in made:
        each.stop()


def test_change_from_the_service_that_was_left_does_not_stand_for_the_new_one(moved):
    there = moved.move(down=True)
    until(lambda: not moved.discovery.current_watch)  # refused, and a pause is on
    moved.old.tell(server("s7", state="active"))
    until(lambda: b"s7" in moved.reducer.server_indices)
    assert not moved.reducer.balancer.watch.is_active
    back = DiscoveryService(int(there.address.split(":")[1]))
    until(lambda: back.calls and moved.reducer.balancer.watch.is_active and not moved.old.open)
    back.stop()


@pytest.mark.parametrize("first", ["old", "new"])
def test_no_change_of_the_service_that_was_left_comes_on_top_of_the_new_ones_list(moved, first):
    there = moved.move()
    whole = there.server_list(list(there.lines.values()), True) + b"\n"
    both = [
        lambda: moved.old.tell(server("s7", state="active")),
        lambda: there.write(there.watches[0], whole),
    ]
    for say in both if first == "old" else both[::-1]:  # both lie there before the agent reads either
        say()
    until(lambda: not moved.old.open)
    assert b"s7" not in moved.reducer.server_indices and moved.reducer.list_version == 1


def test_of_two_moves_in_a_row_the_watch_that_has_a_list_goes_on(moved):
    second, third = moved.move(), moved.move()
    until(lambda: not second.open)
    moved.old.tell(server("s7", state="active"))
    until(lambda: b"s7" in moved.reducer.server_indices)
    third.tell()
    until(lambda: not moved.old.open)


def test_empty_line_of_the_new_service_does_not_end_the_watch_before_it(moved):
    there = moved.move()
    there.write(there.watches[0], b"\n")
    until(lambda: moved.reducer.balancer.watch.is_active)
    moved.old.tell(server("s7", state="active"))
    until(lambda: b"s7" in moved.reducer.server_indices)
    there.tell()
    until(lambda: not moved.old.open)


@pytest.mark.parametrize("newer", ["a change", "a move"])
def test_list_that_was_asked_for_before_does_not_take_back_what_is_newer(moved, newer):
    held = []
    moved.old.play = lambda connection, message: held.append(connection)
    moved.discovery.fetch_servers()
    until(lambda: held)
    if newer == "a change":
        moved.old.tell(server("s7", state="active"))
    else:
        moved.move().tell(server("s7", state="active"))
    until(lambda: b"s7" in moved.reducer.server_indices)
    text = json.dumps({"rev": 1, "all": True, "targets": [server("s1")]}).encode()
    held[0].write(answer(200, text))
    until(lambda: held[0] not in moved.old.open)
    assert b"s7" in moved.reducer.server_indices and moved.reducer.list_version == 2


def test_list_that_is_not_had_is_no_failure_of_the_watch_that_stands(moved):
    moved.old.down = True
    moved.discovery.fetch_servers()
    until(lambda: "/registry/instances" in moved.old.calls and len(moved.old.open) == 1)
    assert moved.reducer.balancer.watch.is_active and moved.discovery.current_watch
