from types import SimpleNamespace

import pytest

from cartdeal.balancer_types import Outcome, ServerState
from tests.scene import Scene


def test_failover_failback_and_no_zone_passes():
    scene = Scene()
    broken = dict.fromkeys("ab", Outcome.ERROR)
    scene.serve(range(1, 8), broken)
    scene.say("own zone's circuits are open; probes answer")
    scene.wait(2)
    for server in "ab":
        scene.balancer.on_probe_ended(ord(server), Outcome.COMPLETED, 0.01, None)
    scene.serve(range(8, 10))
    scene.wait(10)
    scene.say("past the failback check")
    scene.serve(range(10, 14))
    scene.say("now every server fails")
    scene.quiet = True
    scene.serve(range(20, 60), dict.fromkeys("abcd", Outcome.NOT_CONNECTED))
    scene.quiet = False
    scene.serve(range(60, 62))
    scene.kept("zones")


def test_circuit_opens_and_regains_trust():
    scene = Scene("a0 b0 e0")
    scene.serve(range(1, 9), {"a": Outcome.RESET})
    scene.say("a's circuit is open")
    scene.serve(range(9, 13))
    scene.wait(1)
    scene.balancer.on_probe_ended(ord("a"), Outcome.COMPLETED, 0.01, None)
    scene.say("the probe was answered: one trial request at a time")
    for request in range(13, 20):
        scene.take(request)
    scene.kept("circuit")


def test_silent_server_is_left_before_its_attempts_end():
    scene = Scene("a0 b0 e0")
    scene.serve(range(1, 9))
    scene.say("a goes silent with requests of two kinds")
    first = next(n for n in range(10, 99) if scene.take(n) == "a")
    second = next(n for n in range(100, 199) if scene.take(n, 1) == "a")
    scene.quiet = True
    for number in [n for n in scene.balancer.requests if n not in (first, second)]:
        scene.wait(0.01)
        scene.end(number)
    scene.quiet = False
    scene.wait(0.6)
    scene.end(first, Outcome.CANCELLED)
    scene.wait(2)
    scene.end(second, Outcome.TIMED_OUT)
    scene.kept("silent")


def test_server_that_fails_with_one_class_alone_is_passed_by_for_that_one_only():
    scene = Scene("a0 b0")
    scene.quiet = True
    scene.serve(range(1, 60))
    failed = 0
    for number in range(60, 90):
        at_a = scene.take(number, 3) == "a"
        failed += at_a
        scene.end(number, Outcome.ERROR if at_a and failed < 5 else Outcome.COMPLETED)
        if number in scene.balancer.requests:
            scene.end(number)
        if failed == 3:
            break
    scene.quiet = False
    scene.say("a has failed with one request class; others go on there")
    for number in range(100, 106):
        scene.take(number, 3)
        scene.end(number)
    scene.serve(range(110, 116))
    scene.wait(4)
    scene.say("one at a time tries it again; once one is completed, all do")
    for number in range(120, 126):
        scene.take(number, 3)
    for number in range(120, 126):
        scene.end(number)
    for number in range(130, 136):
        scene.take(number, 3)
    scene.kept("workload")


def test_attempts_that_others_overtake_are_taken_back_and_their_class_passes_by():
    scene = Scene("a0 e1")
    scene.serve(range(1, 9))
    for number in (10, 11, 9):
        scene.take(number, 3)  # a keeps these for good
    for number in range(12, 40):
        if "cancel" not in "".join(scene.lines):
            scene.serve([number], took=0.09)
    for number in (10, 11, 9):
        scene.end(number, Outcome.CANCELLED)
    scene.lines = [line for line in scene.lines if "cancel" in line]
    scene.say(f"a's circuit is closed: {scene.balancer.servers[ord('a')].is_circuit_closed}")
    scene.take(50, 3)
    scene.take(51)
    scene.kept("overtaken")


def test_failed_attempt_is_followed_by_another_while_others_are_held_for_a_moment():
    scene = Scene("a0 b0 e0", agent_count=8)
    for number in range(1, 12):
        scene.take(number)
    assert scene.balancer.queued_requests and scene.balancer.capacity_misses.read(scene.now) > 2.0
    scene.wait(0.02)
    scene.end(1, Outcome.RESET)
    while scene.balancer.requests[1].attempt_count < 2:  # room comes soon: that is no overload
        scene.end(next(n for n, each in scene.balancer.requests.items() if each.in_flight))
    for number in range(20, 60):
        scene.take(number)
    scene.wait(0.5)  # now most have found none
    first = next(n for n, each in scene.balancer.requests.items() if each.in_flight)
    scene.end(first, Outcome.RESET)
    assert first not in scene.balancer.requests


def test_few_keys_move_when_a_server_leaves_and_a_busy_one_yields():
    def homes(servers):
        scene = Scene(servers)
        return {n: (scene.take(n), scene.end(n))[0] for n in range(1, 301)}

    before, after = homes("a0 b0 e0 f0"), homes("a0 b0 e0")
    assert all(after[n] == server for n, server in before.items() if server != "f")
    assert all(60 <= list(before.values()).count(server) <= 90 for server in "abef")
    hot = Scene("a0 b0 e0 f0")
    for request in range(1, 9):
        hot.take(request, key=5)
    hot.kept("yield")


def test_no_second_effect():
    lines = []
    for kind, outcome, pause in [
        (1, Outcome.TIMED_OUT, 0),
        (1, Outcome.FULL, 0),
        (1, Outcome.CANCELLED, 0),
        (1, Outcome.NOT_CONNECTED, 0),
        (2, Outcome.ERROR, 0),
        (2, Outcome.ERROR, 2.5),
        (3, Outcome.RESET, 0),
        (3, Outcome.RESET, 2.5),
        (0, Outcome.ERROR, 0),
    ]:
        scene = Scene(may_cancel=False, may_probe=False)
        scene.take(1, kind, limit=9.0)
        scene.balancer.requests[1].latency_target_at += 9
        scene.wait(pause)
        scene.say(f"{scene.balancer.requests[1].request_class.idempotency.value}: {outcome.value}")
        scene.end(1, outcome)
        if 1 in scene.balancer.requests:
            scene.say("and again")
            scene.end(1, outcome)
        lines += scene.lines
    scene.lines = lines
    scene.kept("effects")


def test_deduplicated_request_stays_in_its_group():
    scene = Scene("a0 c1 d1")
    scene.take(1, 2)
    scene.say("an error; only servers of another zone are left")
    scene.end(1, Outcome.ERROR)
    scene.kept("group")


def test_draining_and_gone_servers_get_nothing():
    scene = Scene("a0 b0")
    scene.list("a0", ServerState.DRAINING, whole=False)
    assert {scene.take(n) for n in range(1, 4)} == {"b"}
    scene.list("b0", ServerState.GONE, whole=False)
    scene.list("a0", ServerState.READY, whole=False)
    assert {scene.take(n) for n in range(10, 13)} == {"a"}


def test_watch_is_renewed_before_the_list_counts_as_stale():
    scene = Scene(polls_discovery=True, poll_interval=9.0)
    for _ in range(5):
        scene.balancer.on_watch_failed()
        scene.wait(5)
    scene.kept("watch")


def test_quiet_agent_asks_first_and_a_tardy_server_yields():
    scene = Scene("a0 c1", agent_count=3)
    scene.serve(range(1, 6))
    scene.prompt = False
    scene.wait(30)
    scene.take(10)
    scene.wait(0.05)
    scene.say("the answer to the probe is late")
    scene.balancer.on_probe_ended(ord("c"), Outcome.COMPLETED, 0.001, None)
    scene.wait(0.5)
    scene.kept("asked")


def test_server_without_room_is_asked_once_a_request():
    scene = Scene("a0 b0 e0 f0", cross_zone_fee=9.0, agent_count=5)
    scene.prompt = False
    scene.take(1)
    for server in scene.balancer.requests[1].probed_servers:
        scene.balancer.on_probe_ended(server.index, Outcome.COMPLETED, 0.1, None)
    scene.wait(0.25)
    assert len([line for line in scene.lines if "probe" in line]) == 1


def test_few_agents_know_the_servers_from_their_own_requests():
    scene = Scene("a0 b0", agent_count=2)
    scene.prompt = False
    scene.take(1)
    assert 1 in scene.attempts and not scene.asked


def test_keys_cross_together_while_home_misses_more_than_the_fee():
    crossed = []
    for rounds in (0, 4, 8):
        scene = Scene("a0 b0 c1 d1", seed=rounds, cross_zone_fee=0.05)
        scene.serve(range(1, 1 + rounds), took=1.1)
        zone = scene.balancer.preferred_zone
        crossed.append({key for key in range(300) if zone(SimpleNamespace(key=key)) != 0})
    assert not crossed[0] and len(crossed[1]) > 20 and crossed[1] < crossed[2] and len(crossed[2]) < 200


def test_timers_of_one_moment_do_not_multiply():
    scene = Scene("a0", agent_count=8, cross_zone_fee=9.0)
    for request in range(1, 40):
        scene.take(request)
    before = scene.timers
    scene.wait(0.3)
    assert scene.timers - before < 60


def test_timers_are_set_only_for_what_is_due():
    scene = Scene(polls_discovery=True, poll_interval=9.0)
    scene.serve(range(1, 4))
    set_before = scene.timers
    scene.wait(60)
    assert scene.timers - set_before < 30


def test_burst_at_a_just_started_server():
    sent = []
    for number in range(6):
        scene = Scene("a0 b0 e0", number=number, seed=number + 1, agent_count=6)
        scene.quiet = True
        scene.serve(range(1, 200))
        scene.list("a0", started=scene.now, whole=False)
        began = scene.now
        for request in range(200, 300):
            scene.take(request)
            scene.wait(0.02)
            scene.end(request) if request in scene.attempts else None
        sent += [
            at - began for server, _, at in scene.attempts.values() if chr(server) == "a" and at >= began
        ]
    # 50 requests a second from each of 6 agents: a warm server of three is sent 100 a second.
    assert 0 < sum(at < 0.5 for at in sent) < 100 * 0.5 * 0.25
    assert sum(at < 2 for at in sent) < 100 * 2 * 0.4


def test_overload_holds_the_important_longest_in_line_and_rejects_the_rest():
    scene = Scene("a0", agent_count=8, cross_zone_fee=9.0)
    for request in range(1, 7):
        scene.take(request, request_class=request % 2)
    scene.wait(0.05)
    scene.end(1)
    scene.wait(0.2)
    scene.end(3)
    scene.wait(0.2)
    scene.kept("overload")


def test_repeats_wait_behind_new_requests():
    scene = Scene("a0", agent_count=8, cross_zone_fee=9.0)
    for request in range(1, 5):
        scene.take(request, repeat=request == 2)
    scene.wait(0.05)
    scene.end(1)
    assert 3 in scene.attempts and 2 not in scene.attempts


def test_held_request_is_answered_before_a_short_try_ends():
    scene = Scene("", cross_zone_fee=9.0)
    scene.take(1, limit=0.1)
    scene.wait(0.1)
    scene.say("a try with less left than a sweep")
    scene.take(2, limit=0.01)
    scene.kept("short_try")


def test_instant_refusals_draw_no_further_attempts():
    scene = Scene("a0 b0")
    scene.serve(range(1, 5))
    scene.balancer.servers[ord("a")].concurrency_limit = 4.0
    refused = next(n for n in range(10, 50) if scene.take(n) == "a")
    scene.end(refused, Outcome.FULL)
    assert "a" not in {scene.take(n) for n in range(50, 53)}


def test_many_agents_begin_with_little_and_slow_answers_bring_pauses():
    assert Scene(agent_count=12).balancer.servers[ord("a")].concurrency_limit < 1.0
    scene = Scene("a0", agent_count=12)
    scene.serve(range(1, 8), took=0.7)
    assert scene.balancer.servers[ord("a")].concurrency_limit < 1.0
    scene.kept("pauses")


def test_slow_server_is_not_taken_for_a_silent_one():
    scene, keys = Scene("a0 b0"), {}
    for request in range(1, 9):
        keys[scene.take(request)] = request
        scene.end(request)
    for request in range(9, 50):
        name = "b" if request % 10 == 9 else "a"
        scene.take(request, key=keys[name])
        scene.wait(0.4 if name == "b" else 0.03)
        scene.end(request)
    assert scene.take(50, key=keys["b"]) == "b"
    scene.wait(0.5)
    assert scene.balancer.servers[ord("b")].is_circuit_closed


def test_first_quick_answer_makes_no_one_silent():
    scene = Scene("a0 b0 e0")
    first = next(n for n in range(1, 30) if scene.take(n) == "a")
    scene.wait(0.02)
    scene.end(first)
    scene.take(30)
    scene.wait(0.45)
    assert all(server.is_circuit_closed for server in scene.balancer.servers.values())


@pytest.mark.parametrize(
    "agents, pooled, least", [(2, False, 1.0), (20, False, 1.0), (2, True, 1.0), (20, True, 0.2)]
)
def test_late_answers_leave_the_agents_of_a_pool_a_few_attempts_together(agents, pooled, least):
    scene = Scene(
        "a0 " + " ".join(f"{chr(98 + n)}1" for n in range(20)),
        agent_count=agents,
        may_probe=False,
        is_pool_member=pooled,
    )
    for request, took in enumerate([0.01] * 9 + [0.4] * 40):
        scene.take(request)
        scene.wait(took)
        scene.end(request)
        scene.wait(2.0)
    assert scene.balancer.servers[ord("a")].concurrency_limit == pytest.approx(least)


@pytest.mark.parametrize("fee, missed, asks", [(0.01, 2, True), (0.08, 2, False), (0.08, 8, True)])
def test_dear_probes_are_kept_for_when_much_is_missed(fee, missed, asks):
    scene = Scene("a0 c1", agent_count=3, probe_fee=fee)
    for count, each in zip((10, missed), scene.balancer.finished_requests[0], strict=True):
        each.add(scene.now, count)
    scene.prompt = False
    scene.take(1)
    assert any("probe" in line for line in scene.lines) is asks
