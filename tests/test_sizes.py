"""Lists of 1,024 servers and of 1,024 agents: nothing that holds one is bounded below that."""

import json
import struct
from collections import Counter
from itertools import product
from pathlib import Path
from types import SimpleNamespace

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer
from msgspec.structs import replace

from cartdeal.agent import configuration
from cartdeal.agent.configuration import ServerEntry, ServerList
from cartdeal.agent.discovery import DiscoveryClient
from cartdeal.agent.effects import connection_capacity
from cartdeal.agent.reducer import AttemptResult, FailureReason, Progress, Reducer, Request
from cartdeal.balancer_types import ServerState
from cartdeal.emulator import world as worlds
from cartdeal.emulator.world import Unusable
from cartdeal.fleet import codec
from cartdeal.fleet import configuration as fleet_configuration
from cartdeal.fleet.consensus.messages import LeaseRenewal, LeaseRenewalAck, Prepare, RingSnapshot
from cartdeal.fleet.membership.messages import (
    Ack,
    DigestExchange,
    GossipItem,
    Nack,
    PeerState,
    Ping,
    PingRequest,
    StatePush,
)
from cartdeal.fleet.node import Node
from cartdeal.fleet.ring.ring import Ring, RingMember
from cartdeal.fleet.ring.steps import step_between
from cartdeal.fleet.settings import FleetSettings
from cartdeal.fleet.transport import TransportLimits
from cartdeal.lab import fleets
from cartdeal.rig import play
from cartdeal.rig.stands import DiscoveryService
from tests.fleet import test_membership, test_ring_consensus, test_transport
from tests.fleet.test_membership import peer
from tests.fleet.test_transport import SETTINGS, StreamMessage, wait_until
from tests.scene import config_file

MANY = 1024
# pytest finds fixtures by their names here
make_transport, message_decoder = test_transport.make_transport, test_transport.message_decoder
TCP_INFO_BACKLOG = 28  # of a listening socket: where TCP_INFO has the bound of its queue


def decoded(**more):
    return configuration.decode(json.dumps(config_file(**more)).encode(), "config.json", {})


# Servers


def listed(reducer, version, numbers, whole=False, state="active"):
    reducer.on_server_list(
        ServerList(
            version, whole, tuple(ServerEntry(f"s{n}", f"10.0.0.1:{n}", "a", state=state) for n in numbers)
        )
    )


def reached(reducer, requests):
    """Addresses, by how many of the requests reach them; each has its own key and is answered at once."""
    found, done = Counter(), AttemptResult(FailureReason.ANSWERED, Progress.COMPLETE, 0.01, 200)
    for number in range(reducer.request_count + 1, reducer.request_count + 1 + requests):
        reducer.now += 0.01
        key, name = 7919 * number, b"%d" % number
        reducer.on_request("asker", Request(0, False, 0, key, 2.0, False, b"GET", b"/", name, b"", b"", b""))
        sent = [args for verb, *args in reducer.effects if verb == "send_attempt"]
        reducer.effects.clear()
        for request, attempt, server, address, *_ in sent:
            found[address] += 1
            reducer.on_attempt_ended(request, server, attempt, done)
    return found


def test_requests_reach_the_servers_of_a_list_of_1024_and_of_its_changes():
    config = decoded(limits={"memory_mb": 24, "sockets": 64})
    reducer, first = Reducer(config, 100.0, 1100.0), range(MANY)
    connections, long_bodies = connection_capacity(config.limits)
    assert connections == 32 and long_bodies > 2_000_000  # the least limits, however long the list
    listed(reducer, 1, first, whole=True)
    assert len(reducer.servers) == MANY and len(reached(reducer, 3 * MANY // 4)) > 0.45 * MANY
    drained, new = first[::2], range(MANY, 3 * MANY // 2)
    listed(reducer, 2, drained, state="leaving")
    listed(reducer, 3, new)
    states = Counter(each.state for each in reducer.balancer.servers.values())
    assert states == {ServerState.READY: MANY, ServerState.DRAINING: MANY // 2}
    found, here = reached(reducer, MANY // 4), {f"10.0.0.1:{n}" for n in [*first[1::2], *new]}
    assert found.total() == MANY // 4 and set(found) <= here and len(found) > 0.2 * MANY
    listed(reducer, 4, drained, state="left")
    assert len(reducer.servers) == len(reducer.server_indices) == MANY
    listed(reducer, 5, first, whole=True)
    assert set(reducer.server_indices) == {b"s%d" % n for n in first}


def generous_list(entries_in_all: int) -> bytes:
    """Names of 253 characters, as long as a host's name may be, and far indented."""
    entries = [
        {
            "uid": f"{n:0253}",
            "endpoint": f"{n:0253}:65535",
            "az": "z" * 64,
            "pod_group": 1 << 31,
            "state": "leaving",
            "capacity_hint": 0.12345678901234567,
            "boot_ms": 1764650000123.456,
        }
        for n in range(entries_in_all)
    ]
    return json.dumps({"rev": 1 << 53, "all": True, "targets": entries}, indent=8).encode()


@pytest.mark.parametrize("entries", [MANY, 3200])
def test_an_indented_list_comes_through_by_watch_and_by_call(entries):
    text, heard = generous_list(entries), []

    def serve(sock, _):
        if b"watch=1" in sock.recv(65536):
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            sock.sendall(b"%x\r\n%b\n\r\n" % (len(text) + 1, text))
            gevent.sleep(60)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    config = SimpleNamespace(discovery=server.address)
    client = DiscoveryClient(config, lambda *event: heard.append(event), lambda: 0)
    with gevent.Timeout(20):
        client.run_fetch()
        client.watch(True)
        wait_until(lambda: len(heard) == 2)
    client.watch(False)
    server.stop(0)
    assert [(len(found.entries), fresh) for _, found, fresh in heard] == [(entries, False), (entries, True)]


# Agents


def test_configuration_and_fleet_file_with_1024_agents(tmp_path):
    config = decoded(peers=[f"10.0.{n >> 8}.{n & 255}:7946" for n in range(MANY)])
    assert len(set(config.peers)) == MANY
    file = tmp_path / "fleet.toml"
    file.write_text(
        f'fleet = "f"\nkey = "{"k" * 32}"\n[seeds]\n'
        + "".join(f'{n:064} = "10.0.{n >> 8}.{n & 255}:7946"\n' for n in range(MANY))
    )
    config = replace(config, name=f"{1:064}")
    fleet_settings = fleet_configuration.read(config, {fleet_configuration.FILE_VARIABLE: str(file)}).settings
    assert len(fleet_settings.seeds) == fleet_settings.most_agents == MANY


def test_bounds_of_rig_and_lab():
    play.check(worlds.made({"agents": MANY}))
    with pytest.raises(Unusable, match="agents: found 1025, wanted 1024 at most"):
        play.check(worlds.made({"agents": MANY + 1}))
    starts = list(product(range(3), range(MANY), range(play.LIVES)))
    assert len({play.agent_seed(*start) for start in starts}) == len(starts)
    for kind in ("ring", "copies", "days", "upgrade"):
        assert fleets.made(kind, {"agents": MANY}, "variant[0].set").agents == MANY


def test_rig_starts_its_agents_a_bounded_number_at_a_time(monkeypatch):
    rig, starting, most = play.Rig(worlds.made({"agents": MANY}), 1, "true"), set(), []

    def start(self):
        starting.add(self)
        most.append(len(starting))
        gevent.sleep(0)
        starting.remove(self)

    monkeypatch.setattr(play.Agent, "start", start)
    rig.agents = [play.Agent(rig, number, 0) for number in range(MANY)]
    rig.start_agents()
    assert len(most) == MANY and max(most) == play.STARTED_AT_ONCE


def full_hub(many=MANY):
    """A real agent that all the others, here by their messages alone, have called and answered at once."""
    net, sent, peers = test_membership.FakeNetwork(), [], [peer(f"n{n}") for n in range(1, many)]
    hub = net.start("n000")
    hub.context.send = lambda to, message: sent.append((to, message))
    for each in peers:
        hub.on_message(each.name, Ping(1, sender=each, items=()))
    assert (
        len(hub.verifier.unverified_peers) == many - 1
        and not hub.context.counters["dropped unverified peers"]
    )
    for each in peers:
        hub.on_message(
            each.name, Ack(hub.verifier.unverified_peers[each.name].challenge_number, sender=each, items=())
        )
    assert hub.size() == many and not hub.verifier.unverified_peers
    sent.clear()
    return net, hub, peers, sent


def test_a_fleet_of_1024_is_told_to_one_that_joins():
    net, hub, peers, _ = full_hub(MANY - 1)
    del hub.context.send
    joiner = net.start(f"n{MANY}")
    net.run(15.0)
    assert set(joiner.peers) == set(hub.peers) and len(joiner.peers) == MANY


def test_all_of_1024_may_compare_ask_and_be_warned_at_once():
    net, hub, peers, sent = full_hub()
    for each in peers:
        hub.on_message(each.name, DigestExchange(bytes(64), True, sender=each, items=()))
    names = {each.name for each in peers}
    assert (
        set(hub.exchange.pending_pushes) == names
        and {to for to, message in sent if isinstance(message, StatePush)} == names
    )
    # By need: each holds a part of the table.
    assert sum(len(each.names) for each in hub.exchange.pending_pushes.values()) < MANY * MANY / 8
    sent.clear()
    for each, target in zip(peers, peers[1:] + peers[:1], strict=True):
        hub.on_message(each.name, PingRequest(1, target.name, sender=each, items=()))
    assert len(hub.detector.relayed_pings) == MANY - 1 and not any(
        isinstance(message, Nack) for _, message in sent
    )
    witness, *accused = peers
    for each in accused:
        items = (GossipItem(replace(each, state=PeerState.SUSPECT), (witness.name,)),)
        hub.on_message(witness.name, StatePush(sender=witness, items=items))
    assert len(hub.suspicion.warnings) == MANY - 2


def test_clocks_of_a_majority_of_1024_seats_set_one_that_is_wrong():
    node = Node(
        FleetSettings(fleet="f", name="a0", key=b"k" * 32, seeds={"a0": "10.0.0.1:1"}), "1", 1000.0, 1.7e9
    )
    node.ring = Ring(1, tuple(RingMember(f"a{n}", "z", 1.0) for n in range(MANY)))
    before = node.fleet_clock.offset_s
    for seat in node.ring.members[1:]:
        node.fleet_clock.observe(seat.name, int((node.wall + 7) * 1e3), True, True)
    assert len(node.fleet_clock.peer_clocks) == MANY - 1
    node.fleet_clock.check(node.ring)
    assert node.fleet_clock.offset_s == pytest.approx(before + 7, abs=0.01)


def test_vouches_asked_by_1024_are_answered_once_the_epoch_is_learnt():
    net = test_ring_consensus.SimulatedNetwork([f"a{n}" for n in range(3)])
    agent, answered = net.agents["a0"], []
    agent.context.send = (
        lambda to, message: answered.append(to) if isinstance(message, LeaseRenewalAck) else None
    )
    empty, ring = Ring(0, ()), Ring(1, tuple(RingMember(f"b{n:04}", "z", 1.0) for n in range(MANY)))
    for seat in ring.members:
        agent.on_message(seat.name, LeaseRenewal(ring.epoch, ring.digest, 1))
    agent.learner.learn(empty, step_between(empty, ring), ring)
    assert sorted(answered) == list(ring.names)


def test_a_ring_of_1024_with_the_longest_names_fits_one_message():
    seats = tuple(RingMember(f"{n:064}", "z" * 64, 0.1) for n in range(MANY))
    former, ring = Ring(1, seats), Ring(2, tuple(replace(seat, capacity=0.2) for seat in seats))
    assert len(codec.encode_message(RingSnapshot(former, step_between(former, ring)))) < codec.MAX_FRAME_BYTES
    assert len(codec.encode_message(Prepare(1, former.digest, 1, former.names))) < codec.MAX_FRAME_BYTES


def called(host):
    return socket.create_connection(("127.0.0.1", host.port))


def test_streams_and_faults_of_1024_peers_are_held(make_transport):
    host = make_transport("a", start=False)
    for n in range(MANY):
        host.outgoing.enqueue(("127.0.0.1", n + 1), b"x")
        host.reporter.report_once("refused", n, "")
    assert (
        len(host.outgoing.connections) == len(host.reporter.reported_faults) == MANY
        and not host.counters["dropped no stream"]
    )


def test_1024_agents_may_wait_to_be_accepted_by_a_peer_and_by_the_rigs_stand_ins(make_transport):
    service = DiscoveryService(play.Rig(worlds.made({}), 1, "true"))
    most = int(Path("/proc/sys/net/core/somaxconn").read_text())
    for listener in (make_transport("a", start=False).listener, service.socket):
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 192)
        assert struct.unpack_from("I", info, TCP_INFO_BACKLOG)[0] == min(MANY, most)
    service.close()


def test_many_peers_that_connect_at_once_all_keep_their_streams(make_transport, monkeypatch):
    monkeypatch.setattr("cartdeal.fleet.transport.incoming.FIRST_MESSAGE_TIMEOUT_S", 20.0)
    host = make_transport("a")
    many = [called(host) for _ in range(300)]  # each takes two descriptors of this process
    wait_until(lambda: len(host.incoming.connections) == len(many) or host.counters["closed no room"])
    assert not host.counters["closed no room"]


def test_peers_that_said_something_keep_their_streams_and_none_is_closed_unread(make_transport, monkeypatch):
    monkeypatch.setattr("cartdeal.fleet.transport.incoming.FIRST_MESSAGE_TIMEOUT_S", 20.0)
    host = make_transport("a", limits=TransportLimits(max_streams=4), start=False)
    said = codec.frame_message(codec.encode(SETTINGS, "b", 1, "", 9, StreamMessage(b"x")))
    many = [called(host) for _ in range(20)]
    for each in many:
        each.sendall(said)
    host.start()
    wait_until(lambda: len(host.node.received) == len(many))
    silent = [called(host) for _ in range(20)]
    wait_until(lambda: host.counters["closed no room"] >= len(many) - 4 + len(silent))
    assert sum(connection.is_identified for connection in host.incoming.connections.values()) == 3
