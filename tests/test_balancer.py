"""The balancer's decisions, on a host that traces them."""

from types import SimpleNamespace

import pytest

from cartdeal.balancer import MAX_QUEUE_TIME_RATIO
from cartdeal.balancer_types import Outcome, ServerState
from tests.scene import MARKED_ALL, TracingHost


def test_failover_failback_and_no_healthy_zone():
    host = TracingHost()
    failing = dict.fromkeys("ab", Outcome.ERROR)
    host.serve(range(1, 8), failing)
    host.trace("own zone's circuits are open; probes answer")
    host.wait(2)
    for server in "ab":
        host.balancer.on_probe_ended(ord(server), Outcome.COMPLETED, 0.01, None)
    host.serve(range(8, 10))
    host.wait(10)
    host.trace("past the failback check")
    host.serve(range(10, 14))
    host.trace("now every server fails")
    host.is_trace_paused = True
    host.serve(range(20, 60), dict.fromkeys("abcd", Outcome.NOT_CONNECTED))
    host.is_trace_paused = False
    host.serve(range(60, 62))
    host.assert_matches_trace("zones")


def test_circuit_opens_and_after_a_probe_closes_again():
    host = TracingHost("a0 b0 e0")
    host.serve(range(1, 9), {"a": Outcome.RESET})
    host.trace("a's circuit is open")
    host.serve(range(9, 13))
    host.wait(1)
    host.balancer.on_probe_ended(ord("a"), Outcome.COMPLETED, 0.01, None)
    host.trace("the probe was answered: one trial request at a time")
    for request in range(13, 20):
        host.submit(request)
    host.assert_matches_trace("circuit")


def test_circuit_of_a_silent_server_opens_before_its_attempts_end():
    host = TracingHost("a0 b0 e0")
    host.serve(range(1, 9))
    host.trace("a goes silent with requests of two kinds")
    first = next(n for n in range(10, 99) if host.submit(n) == "a")
    second = next(n for n in range(100, 199) if host.submit(n, 1) == "a")
    host.is_trace_paused = True
    for number in [n for n in host.balancer.requests if n not in (first, second)]:
        host.wait(0.01)
        host.end_attempt(number)
    host.is_trace_paused = False
    host.wait(0.6)
    host.end_attempt(first, Outcome.CANCELLED)
    host.wait(2)
    host.end_attempt(second, Outcome.TIMED_OUT)
    host.assert_matches_trace("silent")


def test_server_that_fails_for_one_class_is_avoided_by_that_class_only():
    host = TracingHost("a0 b0")
    host.is_trace_paused = True
    host.serve(range(1, 60))
    failed = 0
    for number in range(60, 90):
        at_a = host.submit(number, 3) == "a"
        failed += at_a
        host.end_attempt(number, Outcome.ERROR if at_a and failed < 5 else Outcome.COMPLETED)
        if number in host.balancer.requests:
            host.end_attempt(number)
        if failed == 3:
            break
    host.is_trace_paused = False
    host.trace("a has failed with one request class; others go on there")
    for number in range(100, 106):
        host.submit(number, 3)
        host.end_attempt(number)
    host.serve(range(110, 116))
    host.wait(4)
    host.trace("one at a time tries it again; once one is completed, all do")
    for number in range(120, 126):
        host.submit(number, 3)
    for number in range(120, 126):
        host.end_attempt(number)
    for number in range(130, 136):
        host.submit(number, 3)
    host.assert_matches_trace("workload")


def test_overtaken_attempts_are_cancelled_and_their_class_backs_off():
    host = TracingHost("a0 e1")
    host.serve(range(1, 9))
    for number in (10, 11, 9):
        host.submit(number, 3)  # server a never answers these
    for number in range(12, 40):
        if "cancel" not in "".join(host.lines):
            host.serve([number], duration=0.09)
    for number in (10, 11, 9):
        host.end_attempt(number, Outcome.CANCELLED)
    host.lines = [line for line in host.lines if "cancel" in line]
    host.trace(f"a's circuit is closed: {host.balancer.servers[ord('a')].is_circuit_closed}")
    host.submit(50, 3)
    host.submit(51)
    host.assert_matches_trace("overtaken")


def test_failed_attempt_is_retried_while_other_requests_are_briefly_queued():
    host = TracingHost("a0 b0 e0", agent_count=8)
    for number in range(1, 12):
        host.submit(number)
    assert host.balancer.queued_requests and host.balancer.no_capacity_events.read(host.now) > 2.0
    host.wait(0.02)
    host.end_attempt(1, Outcome.RESET)
    while host.balancer.requests[1].attempt_count < 2:  # capacity is found soon: this is no overload
        host.end_attempt(next(n for n, each in host.balancer.requests.items() if each.in_flight))
    for number in range(20, 60):
        host.submit(number)
    host.wait(0.5)  # now most requests have found no capacity
    first = next(n for n, each in host.balancer.requests.items() if each.in_flight)
    host.end_attempt(first, Outcome.RESET)
    assert first not in host.balancer.requests


def test_few_keys_move_when_a_server_leaves_and_a_busy_server_is_skipped():
    def servers_by_key(servers):
        host = TracingHost(servers)
        return {n: (host.submit(n), host.end_attempt(n))[0] for n in range(1, 301)}

    before, after = servers_by_key("a0 b0 e0 f0"), servers_by_key("a0 b0 e0")
    assert all(after[n] == server for n, server in before.items() if server != "f")
    assert all(60 <= list(before.values()).count(server) <= 90 for server in "abef")
    host = TracingHost("a0 b0 e0 f0")
    for request in range(1, 9):
        host.submit(request, key=5)
    host.assert_matches_trace("yield")


def test_no_retry_can_cause_a_second_execution():
    lines = []
    for request_class, outcome, pause in [
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
        host = TracingHost(may_cancel=False, may_probe=False)
        host.submit(1, request_class, timeout=9.0)
        host.balancer.requests[1].latency_target_at += 9
        host.wait(pause)
        host.trace(f"{host.balancer.requests[1].request_class.idempotency.value}: {outcome.value}")
        host.end_attempt(1, outcome)
        if 1 in host.balancer.requests:
            host.trace("and again")
            host.end_attempt(1, outcome)
        lines += host.lines
    host.lines = lines
    host.assert_matches_trace("effects")


def test_deduplicated_request_stays_in_its_scope():
    host = TracingHost("a0 c1 d1")
    host.submit(1, 2)
    host.trace("an error; only servers of another zone are left")
    host.end_attempt(1, Outcome.ERROR)
    host.assert_matches_trace("group")


def test_draining_and_gone_servers_get_no_requests():
    host = TracingHost("a0 b0")
    host.update_list("a0", ServerState.DRAINING, is_complete=False)
    assert {host.submit(n) for n in range(1, 4)} == {"b"}
    host.update_list("b0", ServerState.GONE, is_complete=False)
    host.update_list("a0", ServerState.READY, is_complete=False)
    assert {host.submit(n) for n in range(10, 13)} == {"a"}


def test_watch_is_renewed_before_the_list_counts_as_stale():
    host = TracingHost(polls_discovery=True, poll_interval=9.0)
    for _ in range(5):
        host.balancer.on_watch_failed()
        host.wait(5)
    host.assert_matches_trace("watch")


def test_agent_with_few_requests_probes_first_and_skips_a_late_server():
    host = TracingHost("a0 c1", agent_count=3)
    host.serve(range(1, 6))
    host.answers_probes = False
    host.wait(30)
    host.submit(10)
    host.wait(0.05)
    host.trace("the answer to the probe is late")
    host.balancer.on_probe_ended(ord("c"), Outcome.COMPLETED, 0.001, None)
    host.wait(0.5)
    host.assert_matches_trace("asked")


def test_server_without_capacity_is_probed_once_per_request():
    host = TracingHost("a0 b0 e0 f0", cross_zone_fee=9.0, agent_count=5)
    host.answers_probes = False
    host.submit(1)
    for server in host.balancer.requests[1].probed_servers:
        host.balancer.on_probe_ended(server.index, Outcome.COMPLETED, 0.1, None)
    host.wait(0.25)
    assert len([line for line in host.lines if "probe" in line]) == 1


def test_few_agents_send_without_probing_first():
    host = TracingHost("a0 b0", agent_count=2)
    host.answers_probes = False
    host.submit(1)
    assert 1 in host.attempts and not host.pending_probes


def test_keys_cross_zones_together_while_home_misses_exceed_the_fee():
    crossing_keys = []
    for late_requests in (0, 4, 8):
        host = TracingHost("a0 b0 c1 d1", seed=late_requests, cross_zone_fee=0.05)
        host.serve(range(1, 1 + late_requests), duration=1.1)
        preferred_zone = host.balancer.preferred_zone
        crossing_keys.append({key for key in range(300) if preferred_zone(SimpleNamespace(key=key)) != 0})
    assert (
        not crossing_keys[0]
        and len(crossing_keys[1]) > 20
        and crossing_keys[1] < crossing_keys[2]
        and len(crossing_keys[2]) < 200
    )


def test_timers_of_one_moment_do_not_multiply():
    host = TracingHost("a0", agent_count=8, cross_zone_fee=9.0)
    for request in range(1, 40):
        host.submit(request)
    timer_count = host.timer_count
    host.wait(0.3)
    assert host.timer_count - timer_count < 60


def test_timers_are_set_only_for_what_is_due():
    host = TracingHost(polls_discovery=True, poll_interval=9.0)
    host.serve(range(1, 4))
    timer_count = host.timer_count
    host.wait(60)
    assert host.timer_count - timer_count < 30


def test_slow_start_bounds_the_burst_at_a_new_server():
    send_delays = []
    for number in range(6):
        host = TracingHost("a0 b0 e0", number=number, seed=number + 1, agent_count=6)
        host.is_trace_paused = True
        host.serve(range(1, 200))
        host.update_list("a0", started=host.now, is_complete=False)
        started_at = host.now
        for request in range(200, 300):
            host.submit(request)
            host.wait(0.02)
            host.end_attempt(request) if request in host.attempts else None
        send_delays += [
            at - started_at
            for server, _, at in host.attempts.values()
            if chr(server) == "a" and at >= started_at
        ]
    # Each of 6 agents sends 50 requests per second: one of three warm servers gets 100 per second.
    assert 0 < sum(delay < 0.5 for delay in send_delays) < 100 * 0.5 * 0.25
    assert sum(delay < 2 for delay in send_delays) < 100 * 2 * 0.4


def test_overload_queues_requests_by_priority_and_rejects_the_rest():
    host = TracingHost("a0", agent_count=8, cross_zone_fee=9.0)
    for request in range(1, 7):
        host.submit(request, request_class=request % 2)
    host.wait(0.05)
    host.end_attempt(1)
    host.wait(0.2)
    host.end_attempt(3)
    host.wait(0.2)
    host.assert_matches_trace("overload")


def test_retries_wait_behind_new_requests():
    host = TracingHost("a0", agent_count=8, cross_zone_fee=9.0)
    for request in range(1, 5):
        host.submit(request, is_retry=request == 2)
    host.wait(0.05)
    host.end_attempt(1)
    assert 3 in host.attempts and 2 not in host.attempts


def test_queued_request_is_answered_before_a_short_deadline():
    host = TracingHost("", cross_zone_fee=9.0)
    host.submit(1, timeout=0.1)
    host.wait(0.1)
    host.trace("a try with less left than a sweep")
    host.submit(2, timeout=0.01)
    host.assert_matches_trace("short_try")


def test_instant_refusals_attract_no_further_attempts():
    host = TracingHost("a0 b0")
    host.serve(range(1, 5))
    host.balancer.servers[ord("a")].concurrency_limit = 4.0
    refused = next(n for n in range(10, 50) if host.submit(n) == "a")
    host.end_attempt(refused, Outcome.FULL)
    assert "a" not in {host.submit(n) for n in range(50, 53)}


def test_many_agents_start_with_low_limits_and_slow_answers_cause_pauses():
    assert TracingHost(agent_count=12).balancer.servers[ord("a")].concurrency_limit < 1.0
    host = TracingHost("a0", agent_count=12)
    host.serve(range(1, 8), duration=0.7)
    assert host.balancer.servers[ord("a")].concurrency_limit < 1.0
    host.assert_matches_trace("pauses")


def test_slow_server_does_not_count_as_silent():
    host, keys = TracingHost("a0 b0"), {}
    for request in range(1, 9):
        keys[host.submit(request)] = request
        host.end_attempt(request)
    for request in range(9, 50):
        name = "b" if request % 10 == 9 else "a"
        host.submit(request, key=keys[name])
        host.wait(0.4 if name == "b" else 0.03)
        host.end_attempt(request)
    assert host.submit(50, key=keys["b"]) == "b"
    host.wait(0.5)
    assert host.balancer.servers[ord("b")].is_circuit_closed


def test_first_fast_answer_makes_no_server_count_as_silent():
    host = TracingHost("a0 b0 e0")
    first = next(n for n in range(1, 30) if host.submit(n) == "a")
    host.wait(0.02)
    host.end_attempt(first)
    host.submit(30)
    host.wait(0.45)
    assert all(server.is_circuit_closed for server in host.balancer.servers.values())


@pytest.mark.parametrize(
    "agent_count, is_pool_member, min_limit",
    [(2, False, 1.0), (20, False, 1.0), (2, True, 1.0), (20, True, 0.2)],
)
def test_slow_answers_leave_the_agents_of_a_pool_a_minimum_shared_limit(
    agent_count, is_pool_member, min_limit
):
    host = TracingHost(
        "a0 " + " ".join(f"{chr(98 + n)}1" for n in range(20)),
        agent_count=agent_count,
        may_probe=False,
        is_pool_member=is_pool_member,
    )
    for request, duration in enumerate([0.01] * 9 + [0.4] * 40):
        host.submit(request)
        host.wait(duration)
        host.end_attempt(request)
        host.wait(2.0)
    assert host.balancer.servers[ord("a")].concurrency_limit == pytest.approx(min_limit)


@pytest.mark.parametrize("fee, missed, sends_probe", [(0.01, 2, True), (0.08, 2, False), (0.08, 8, True)])
def test_expensive_probes_are_sent_only_if_many_requests_are_missed(fee, missed, sends_probe):
    host = TracingHost("a0 c1", agent_count=3, probe_fee=fee)
    for amount, each in zip((10, missed), host.balancer.finished_requests[0], strict=True):
        each.add(host.now, amount)
    host.answers_probes = False
    host.submit(1)
    assert any("probe" in line for line in host.lines) is sends_probe


@pytest.mark.parametrize("age, is_rejected", [(0.4, True), (1.5, False), (1.9, False), (2.5, False)])
def test_client_is_told_to_repeat_only_what_servers_still_recognise_then(age, is_rejected):
    """Guards against a Retry-After that ends behind the deduplication window: the repeat ran again."""
    host, retry_afters = TracingHost("a0", max_retry_after=2.0), []
    assert host.submit(1, 3, timeout=9.0)
    host.now += age
    host.reject = lambda request, retry_after: retry_afters.append(retry_after)
    host.balancer.give_up(host.balancer.requests[1], host.now)
    assert bool(retry_afters) is is_rejected
    queue_time = MAX_QUEUE_TIME_RATIO * MARKED_ALL.latency_target
    assert all(age + each + queue_time < MARKED_ALL.deduplication_window for each in retry_afters)
