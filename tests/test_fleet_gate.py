import time

import gevent
import pytest
from msgspec.structs import replace

from cartdeal.agent.configuration import Line, Roll
from cartdeal.agent.front import hashed
from cartdeal.agent.gate import digest
from cartdeal.agent.reducer import Cause, Ending, Progress, Query, Reducer
from cartdeal.fleet import papers
from cartdeal.fleet.desk import Pact
from cartdeal.fleet.verdict import Question
from tests.scene import GRANT, Deployment, answered, station, worded
from tests.test_reducer import Desk

WORKLOADS = GRANT["workloads"] + [
    {"name": name, "idempotency": "keyed", "group": group, "repeatWindowUs": 4000000, "goalTimeUs": 1000000,
     "timeLimitUs": 2000000} for name, group in (("zoned", "zone"), ("celled", "cell"))]
READ, MARK, ONCE, ZONED, CELLED = range(5)
SERVERS = [("a1", "a", 1), ("a2", "a", 2), ("b1", "b", 1), ("b2", "b", 2)]
LONGEST = (float("inf"), 26.0, 30.0, 26.0, 26.0)


class GateDesk(Desk):
    """The reducer's desk with a gate whose word the test gives."""

    def __init__(self, folder, servers=SERVERS):
        known = {"rev": 1, "all": True, "targets": [
            {"uid": name, "endpoint": f"127.0.0.1:{place + 1}", "az": zone, "pod_group": cell}
            for place, (name, zone, cell) in enumerate(servers)]}
        at = station(folder, known=known, settings=GRANT | {"workloads": WORKLOADS})
        self.lines, self.at, self.told = [], {}, []
        self.reducer = Reducer(at, 100.0, 1100.0, LONGEST)
        self.say("start")

    def say(self, event):
        """Carries out what is asked; a shot that is withheld ends by an event of its own."""
        for verb, *args in self.reducer.asked:
            if verb == "shoot":
                self.at[tuple(args[:2])] = args[2]
            if verb in ("admit", "went", "settled", "withhold", "answer", "shoot"):
                self.told.append((verb, *args))
        withheld = [args for verb, *args in self.reducer.asked if verb == "withhold"]
        self.reducer.asked.clear()
        for args in withheld:
            self.play(0.0, "shot_ended", *args)

    def of(self, verb):
        return [args for each, *args in self.told if each == verb]

    def statuses(self):
        return [args[1] for args in self.of("answer")]

    def heed(self, *places, group="zone", lasts=4.0):
        return tuple((zone, cell, group, self.reducer.now + lasts) for zone, cell in places)


@pytest.fixture
def desk(tmp_path):
    return GateDesk(tmp_path)


def test_no_shot_before_the_fleets_word_and_each_one_is_told(desk):
    desk.take(ONCE)
    assert not desk.of("shoot") and not desk.reducer.balancer.lookups and desk.of("admit")[0][0] == 1
    desk.play(0.01, "admitted", 1, ())
    kinds = [verb for verb, *_ in desk.told]
    assert kinds == ["admit", "went", "shoot"] and desk.of("went") == [[1, "a", desk.of("went")[0][2]]]
    desk.end(1, 0)
    assert desk.statuses() == [200] and desk.of("settled") == [[1, "answered"]]
    desk.play(0.0, "admitted", 1, ())
    assert len(desk.of("shoot")) == 1


@pytest.mark.parametrize("status", [429, 502, 503])
def test_declined_lookup_is_answered_and_never_shot(desk, status):
    desk.take(ONCE)
    desk.play(0.01, "declined", 1, status, 0.7)
    assert desk.of("answer") == [["line 1", status, b"", b"", 0.7]] and desk.of("settled") == [[1, "never"]]
    desk.play(0.01, "admitted", 1, ())
    desk.play(0.01, "declined", 1, 502, 0.0)
    assert len(desk.statuses()) == 1 and not desk.of("shoot") and not desk.reducer.lookups


def test_word_that_comes_after_the_client_has_gone_meets_nobody(desk):
    desk.take(MARK)
    desk.play(0.01, "abandoned", 1)
    desk.play(0.01, "admitted", 1, ())
    assert desk.of("settled") == [[1, "never"]] and not desk.of("shoot") and not desk.reducer.lookups


@pytest.mark.parametrize("workload, status", [(READ, 503), (ONCE, 502), (MARK, 502)])
def test_without_a_word_by_its_time_limit_only_a_harmless_one_may_come_again(desk, workload, status):
    desk.take(workload)
    desk.play(2.1, "overdue", 1)
    assert desk.statuses() == [status] and desk.of("settled") == [[1, "never"]]


@pytest.mark.parametrize("endings, ran", [
    ([(Cause.BROKEN, Progress.NOT_CONNECTED, 0)] * 3, "never"),
    ([(Cause.BROKEN, Progress.WRITTEN, 0)], "maybe"),
    ([(Cause.BROKEN, Progress.NOT_CONNECTED, 0), (Cause.ANSWERED, Progress.WHOLE, 500)], "maybe"),
    ([(Cause.BROKEN, Progress.NOT_CONNECTED, 0), (Cause.ANSWERED, Progress.WHOLE, 200)], "answered"),
])
def test_what_the_fleet_is_told_when_all_is_over(desk, endings, ran):
    desk.take(ONCE)
    desk.play(0.01, "admitted", 1, ())
    for shot, (cause, progress, status) in enumerate(endings):
        assert not desk.of("settled")
        desk.end(1, shot, cause, progress, status)
    assert desk.of("settled") == [[1, ran]] and not desk.reducer.lookups


def test_an_answer_that_comes_for_a_client_that_has_gone_is_no_answer(desk):
    desk.take(ONCE)
    desk.play(0.01, "admitted", 1, ())
    desk.play(0.01, "abandoned", 1)
    assert not desk.of("settled")
    desk.end(1, 0)
    assert desk.of("settled") == [[1, "maybe"]]


@pytest.mark.parametrize("workload, group, places, allowed", [
    (MARK, "all", [("", -1)], {0, 1, 2, 3}),
    (ZONED, "zone", [("b", 1)], {2, 3}), (ZONED, "zone", [("a", 1)], {0, 1}),
    (CELLED, "cell", [("b", 2)], {3}), (CELLED, "cell", [("a", 1)], {0}),
    (ZONED, "zone", [("a", 1), ("b", 1)], set()), (ZONED, "zone", [("elsewhere", 1)], set()),
    (ONCE, "all", [], {0, 1, 2, 3}),
])
def test_a_repeat_goes_only_where_the_earlier_one_allows_and_finds_the_way(
        tmp_path, workload, group, places, allowed):
    went = set()
    for key in range(8):
        desk = GateDesk(tmp_path)
        desk.take(workload)
        desk.reducer.lookups[1].query = desk.reducer.lookups[1].query._replace(key=key + 1)
        desk.play(0.01, "admitted", 1, desk.heed(*places, group=group))
        desk.play(2.0, "woken", 0)
        assert len(desk.of("shoot")) == len(desk.of("went")) <= 1
        went |= {args[2] for args in desk.of("shoot")}
        if allowed:
            assert desk.of("shoot"), "an allowed server was not found"
            desk.end(1, desk.of("shoot")[0][1])
            assert desk.statuses() == [200]
        else:
            assert desk.statuses() == [502] and desk.of("settled") == [[1, "never"]]
    assert went <= allowed


@pytest.mark.parametrize("lasts, group, status", [(4.0, "all", 503), (0.5, "all", 502), (4.0, "zone", 502)])
def test_turned_back_only_where_a_repeat_is_harmless_by_the_earlier_one_too(tmp_path, lasts, group, status):
    desk = GateDesk(tmp_path, servers=[])
    desk.take(MARK)
    desk.play(0.01, "admitted", 1, desk.heed(("a", 1), group=group, lasts=lasts))
    desk.play(1.0, "woken", 0)
    assert desk.statuses() == [status]


def test_no_further_shot_once_the_earlier_ones_window_is_over(desk):
    desk.take(MARK)
    desk.play(0.01, "admitted", 1, desk.heed(("", -1), group="all", lasts=0.2))
    assert len(desk.of("shoot")) == 1
    desk.play(0.3, "shot_ended", 1, desk.at[1, 0], 0, Ending(Cause.BROKEN, Progress.NOT_CONNECTED, 0.1))
    assert len(desk.of("shoot")) == 1 and desk.statuses() == [502]


def test_a_lookup_lasts_no_longer_than_its_mark(desk):
    for workload, lasts in ((READ, 60.0), (MARK, 26.0), (ONCE, 30.0)):
        desk.take(workload, wait=60.0)
        _, _, limit_at = desk.of("admit")[-1]
        assert limit_at == pytest.approx(desk.reducer.now + lasts)


def test_a_long_day_with_a_gate_leaves_nothing_behind(desk):
    for day in range(200):
        desk.play(0.1, "listed", Roll(day + 2, False, (Line(f"n{day}", "127.0.0.1:9", "b", cell=day % 3),)))
        desk.take(day % 5)
        number = desk.reducer.count
        desk.play(0.01, "admitted", number, desk.heed(("b", 1), group="zone") if day % 5 > 2 else ())
        if (number, 0) in desk.at:
            desk.end(number, 0)
        desk.play(1.0, "woken", 0)
        for shot in range(1, 3):
            if number in desk.reducer.lookups and (number, shot) in desk.at:
                desk.end(number, shot)
        desk.play(1.0, "overdue", number)
    assert not desk.reducer.lookups and not desk.reducer.balancer.lookups
    assert len(desk.of("settled")) == 200


# The gate itself, over a scripted node

class Scripted:
    """Gives the words that a test lays down, by workload; with none, it is silent."""

    def __init__(self, pact, seed, now, wall):
        self.name, self.address, self.life, self.gone = pact.name, pact.address, 1, True
        self.asked, self.now, self.wall, self.words, self.got = [], now, wall, {}, []

    def ask(self, ticket, question):
        self.got.append(("ask", ticket, question))
        if word := self.words.get(question.workload):
            self.word(ticket, *word)

    def word(self, ticket, verdict, wait=0.0, heed=()):
        self.asked.append(("decided", ticket, verdict, wait, heed))

    def __getattr__(self, event):
        if event.startswith("_") or event not in ("went", "ended", "leaving", "parting", "reread", "heard"):
            raise AttributeError(event)
        return lambda *args: self.got.append((event, *args))

    def tick(self):
        pass

    def figures(self):
        return {}


PACT = Pact(fleet="f", name="n0", key=b"k" * 16, seeds={"n1": "127.0.0.1:9"}, wait_s=0.05)
SETTINGS = GRANT | {"workloads": WORKLOADS, "tenants": [{"name": "x"}, {"name": "y"}]}


@pytest.fixture
def deploy(tmp_path, monkeypatch):
    monkeypatch.setattr("cartdeal.agent.gate.Node", Scripted)
    made = []

    def make(pact=PACT, **more):
        fleet = papers.Papers(pact, ("127.0.0.1", 0))
        made.append(Deployment(tmp_path, fleet=fleet, settings=SETTINGS, **more))
        node = made[-1].agent.gate.host.node
        node.words |= {kind["name"]: ("pass",) for kind in WORKLOADS}
        return made[-1], node

    with gevent.Timeout(20):
        yield make
    for deployment in made:
        deployment.stop()


def until(true):
    while not true():
        gevent.sleep(0.002)


def asked(deployment, *args, **headers):
    """Status, and the pause that is asked for."""
    connection = deployment.connect()
    connection.sock.sendall(worded(*args, **headers))
    while not connection.whole:
        assert connection.receive(5.0)
    return connection.whole[0].status, connection.whole[0].headers.get(b"retry-after")


def test_what_the_fleet_is_asked_of_a_lookup(deploy):
    deployment, node = deploy()
    body = b"sheet"
    deployment.ask("/mark/1", "POST", body, Idempotency_Key="k1", Cookie="sid=7f", X_Tenant_Id="y",
                   X_Retried="1", X_Timeout="1500m")
    for _ in "ab":
        deployment.ask("/once/1", "POST", body, Cookie="sid=7f")
    deployment.ask("/mark/1", "POST", body)     # without its key it promises nothing
    deployment.ask("/read/1")
    mark, once, again, bare, read = [each[2] for each in node.got if each[0] == "ask"]
    assert mark == Question(tenant="y", session=f"{hashed(b'7f'):016x}", key="k1", repeat="d", group="all",
                            window_s=4.0, limit_s=mark.limit_s, workload="mark", retried=True)
    assert 1.3 < mark.limit_s <= 1.5
    assert (once.repeat, once.tenant, once.key, once.session) == ("u", "", again.key, mark.session)
    assert (bare.repeat, bare.window_s, len(bare.key)) == ("u", 0.0, 32) and bare.key != once.key
    assert (read.repeat, read.key, read.session) == ("i", "", "")
    ended = [each[1:] for each in node.got if each[0] == "ended"]
    assert ended == [(number, "answered") for number in range(1, 6)]
    assert [each[1:] for each in node.got if each[0] == "went"][0] == (1, "a", 0)


@pytest.mark.parametrize("word, status, pause", [
    (("limited", 0.7), 429, b"0.700"), (("turn_back", 0.5), 503, b"0.500"), (("terminate",), 502, None)])
def test_the_fleets_no_reaches_the_client_and_no_server(deploy, word, status, pause):
    deployment, node = deploy()
    node.words["once"] = word
    assert asked(deployment, "/once/1", "POST") == (status, pause) and not deployment.seen()
    assert asked(deployment, "/read/1") == (200, None)


@pytest.mark.parametrize("pact, path, headers, status", [
    (PACT, "/read/1", {}, 503), (PACT, "/once/1", {}, 503),
    (replace(PACT, clients_mark=True), "/once/1", {"Cookie": "sid=a"}, 503),
    (replace(PACT, clients_mark=True), "/once/1", {"Cookie": "sid=a", "X_Retried": "1"}, 502),
    (replace(PACT, clients_mark=True, on_doubt="terminate"), "/once/1", {"Cookie": "sid=a"}, 502),
])
@pytest.mark.parametrize("broken", [False, True])
def test_a_fleet_without_a_word_costs_a_lookup_a_bounded_wait(deploy, pact, path, headers, status, broken):
    deployment, node = deploy(pact)
    node.words.clear()
    if broken:
        node.ask = None     # an error in the middle of the event
    assert asked(deployment, path, "POST" if "once" in path else "GET", **headers)[0] == status
    assert not deployment.seen() and not deployment.agent.gate.open and deployment.agent.reducer.now
    deployment.agent.gate.host.feed("word", 1, "pass")
    gevent.sleep(0)
    assert not deployment.seen()


def test_word_that_comes_by_a_message_lets_the_lookup_go_on(deploy):
    deployment, node = deploy(servers=2)
    node.words.clear()
    waiting = deployment.connect()
    waiting.sock.sendall(worded("/mark/1", "POST", Idempotency_Key="k"))
    until(lambda: node.got)
    deployment.agent.gate.host.feed("word", 1, "pass", 0.0, (("", -1, "all", int(node.wall * 1e3) + 900),))
    heed, = deployment.agent.reducer.lookups[1].heed
    assert heed.until == pytest.approx(deployment.agent.reducer.now + 0.9, abs=0.05)
    assert answered(waiting) == (200, b"s0 ")
    until(lambda: node.got[-1] == ("ended", 1, "answered"))


def test_client_that_leaves_while_the_fleet_thinks(deploy):
    deployment, node = deploy()
    node.words.clear()
    waiting = deployment.connect()
    waiting.sock.sendall(worded("/once/1", "POST"))
    until(lambda: node.got)
    waiting.close()
    until(lambda: node.got[-1] == ("ended", 1, "never"))
    assert not deployment.agent.gate.open
    deployment.agent.gate.host.feed("word", 1, "pass")
    assert not deployment.agent.reducer.lookups and not deployment.seen()


def test_event_that_comes_of_an_effect_is_played_after_the_others(deploy):
    agent, said = deploy()[0].agent, []
    agent.verbs["note"] = lambda text: (said.append(text), text == "1" and agent.after("note", "4"))
    agent.reducer.asked = [("note", "1"), ("note", "2")]
    agent.feed("note", "3")
    assert said == ["1", "2", "3", "4"] and not agent.playing


def test_a_withheld_shot_ends_by_an_event_and_the_lookup_is_terminated(deploy):
    deployment, node = deploy(servers=2)
    node.words["zoned"] = ("pass", 0.0, (("b", 1, "zone", int(time.time() * 1e3) + 3000),))
    assert asked(deployment, "/zoned/1", "POST", Idempotency_Key="k")[0] == 502
    assert not deployment.seen() and ("ended", 1, "never") in node.got


def test_file_that_is_read_again(deploy, tmp_path, monkeypatch, caplog):
    caplog.set_level("INFO")
    deployment, node = deploy(replace(PACT, seeds={"n1": "127.0.0.1:9"}))
    file = tmp_path / "fleet.toml"
    monkeypatch.setenv("PROXY_FLEET", str(file))
    monkeypatch.setenv("PROXY_CONFIG", str(tmp_path / "config.json"))
    good = 'fleet = "f"\nname = "n0"\nkey = "' + "k" * 16 + '"\nlisten = "127.0.0.1:0"\n%s[seeds]\n'
    for text, said in (("[", "fleet file refused"), (good % "wait_s = 9.0\n", "fleet file refused")):
        file.write_text(text)
        deployment.agent.reread()
        assert caplog.messages[-2] == said and not [each for each in node.got if each[0] == "reread"]
    file.write_text(good % "copies = 2\nwrite_by = 2\nwait_s = 0.2\n" + 'n1 = "127.0.0.1:8"\n')
    deployment.agent.reread()
    (_, pact), = [each for each in node.got if each[0] == "reread"]
    assert (pact.wait_s, pact.copies, pact.seeds) == (0.2, 3, {"n1": "127.0.0.1:8"})
    assert caplog.records[-2].needs_restart == "zone copies" and deployment.agent.gate.host.pact == pact


def test_an_agent_that_ends_hands_over_and_says_its_last_words(deploy):
    deployment, node = deploy()
    node.gone = False
    deployment.agent.leave()
    gone = gevent.spawn_later(0.05, setattr, node, "gone", True)
    deployment.agent.part(time.monotonic() + 10)
    assert gone.ready() and [each[0] for each in node.got] == ["leaving", "parting"]
    node.gone = False
    deployment.agent.part(time.monotonic() + 0.05)      # others do not take it over: it ends all the same
    assert node.got[-1] == ("parting",)


def test_digest_tells_apart_where_one_part_ends_and_the_next_begins():
    base = Query(0, True, 0, 0, 1.0, False, b"POST", b"/a", b"", b"", b"", b"b")
    others = [base, base._replace(path=b"/ab", body=b""), base._replace(path=b"/", body=b"ab"),
              base._replace(method=b"POS", path=b"T/a")]
    assert len({digest(each) for each in others}) == 4
    assert digest(base) == digest(base._replace(id=b"7", repeat=True))
