"""Lists of 1,024 servers and of 1,024 agents: no bound in the project is below that."""

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
from cartdeal.agent.reducer import AttemptEndReason, AttemptResult, Progress, Reducer, Request
from cartdeal.balancer_types import ServerState
from cartdeal.emulator import world as worlds
from cartdeal.emulator.world import InvalidInputError
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
from cartdeal.rig.fake_servers import DiscoveryService
from tests.fleet import test_membership, test_ring_consensus, test_transport
from tests.fleet.test_membership import peer
from tests.fleet.test_transport import SETTINGS, StreamMessage, wait_until
from tests.scene import config_file

MAX_AGENTS = 1024
# pytest finds fixtures by their names in this module.
make_transport, message_decoder = test_transport.make_transport, test_transport.message_decoder
TCP_INFO_BACKLOG_OFFSET = 28  # of the backlog bound in TCP_INFO of a listening socket


def decode_configuration(**more):
    """An agent's configuration; `more` replaces top-level keys."""
    return configuration.decode(json.dumps(config_file(**more)).encode(), "config.json", {})


# Servers


def send_list(reducer, version, numbers, is_complete=False, state="active"):
    """Sends the reducer a server list with servers of these numbers."""
    reducer.on_server_list(
        ServerList(
            version,
            is_complete,
            tuple(ServerEntry(f"s{n}", f"10.0.0.1:{n}", "a", state=state) for n in numbers),
        )
    )


def serve_requests(reducer, requests):
    """Serves requests with different keys at once; returns their number by server address."""
    counts, result = Counter(), AttemptResult(AttemptEndReason.ANSWERED, Progress.COMPLETE, 0.01, 200)
    for number in range(reducer.request_count + 1, reducer.request_count + 1 + requests):
        reducer.now += 0.01
        key, name = 7919 * number, b"%d" % number
        reducer.on_request("asker", Request(0, False, 0, key, 2.0, False, b"GET", b"/", name, b"", b"", b""))
        sent = [args for verb, *args in reducer.effects if verb == "send_attempt"]
        reducer.effects.clear()
        for request, attempt, server, address, *_ in sent:
            counts[address] += 1
            reducer.on_attempt_ended(request, server, attempt, result)
    return counts


def test_requests_reach_the_servers_of_a_list_of_1024_and_its_changes():
    config = decode_configuration(limits={"memory_mb": 24, "sockets": 64})
    reducer, first = Reducer(config, 100.0, 1100.0), range(MAX_AGENTS)
    connections, long_bodies = connection_capacity(config.limits)
    assert connections == 32 and long_bodies > 2_000_000  # the lowest limits, whatever the length of the list
    send_list(reducer, 1, first, is_complete=True)
    assert (
        len(reducer.servers) == MAX_AGENTS
        and len(serve_requests(reducer, 3 * MAX_AGENTS // 4)) > 0.45 * MAX_AGENTS
    )
    drained, new = first[::2], range(MAX_AGENTS, 3 * MAX_AGENTS // 2)
    send_list(reducer, 2, drained, state="leaving")
    send_list(reducer, 3, new)
    states = Counter(each.state for each in reducer.balancer.servers.values())
    assert states == {ServerState.READY: MAX_AGENTS, ServerState.DRAINING: MAX_AGENTS // 2}
    counts, listed_addresses = (
        serve_requests(reducer, MAX_AGENTS // 4),
        {f"10.0.0.1:{n}" for n in [*first[1::2], *new]},
    )
    assert (
        counts.total() == MAX_AGENTS // 4
        and set(counts) <= listed_addresses
        and len(counts) > 0.2 * MAX_AGENTS
    )
    send_list(reducer, 4, drained, state="left")
    assert len(reducer.servers) == len(reducer.server_indices) == MAX_AGENTS
    send_list(reducer, 5, first, is_complete=True)
    assert set(reducer.server_indices) == {b"s%d" % n for n in first}


def long_list(entry_count: int) -> bytes:
    """An indented list whose names have 253 characters, the longest that a host's name may have."""
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
        for n in range(entry_count)
    ]
    return json.dumps({"rev": 1 << 53, "all": True, "targets": entries}, indent=8).encode()


@pytest.mark.parametrize("entries", [MAX_AGENTS, 3200])
def test_indented_list_is_received_by_watch_and_by_call(entries):
    text, events = long_list(entries), []

    def serve(sock, _):
        if b"watch=1" in sock.recv(65536):
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            sock.sendall(b"%x\r\n%b\n\r\n" % (len(text) + 1, text))
            gevent.sleep(60)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    config = SimpleNamespace(discovery=server.address)
    client = DiscoveryClient(config, lambda *event: events.append(event), lambda: 0)
    with gevent.Timeout(20):
        client.run_fetch()
        client.watch(True)
        wait_until(lambda: len(events) == 2)
    client.watch(False)
    server.stop(0)
    assert [(len(server_list.entries), fresh) for _, server_list, fresh in events] == [
        (entries, False),
        (entries, True),
    ]


# Agents


def test_configuration_and_fleet_file_with_1024_agents(tmp_path):
    config = decode_configuration(peers=[f"10.0.{n >> 8}.{n & 255}:7946" for n in range(MAX_AGENTS)])
    assert len(set(config.peers)) == MAX_AGENTS
    file = tmp_path / "fleet.toml"
    file.write_text(
        f'fleet = "f"\nkey = "{"k" * 32}"\n[seeds]\n'
        + "".join(f'{n:064} = "10.0.{n >> 8}.{n & 255}:7946"\n' for n in range(MAX_AGENTS))
    )
    config = replace(config, name=f"{1:064}")
    fleet_settings = fleet_configuration.read(config, {fleet_configuration.FILE_VARIABLE: str(file)}).settings
    assert len(fleet_settings.seeds) == fleet_settings.most_agents == MAX_AGENTS


def test_bounds_of_rig_and_lab():
    play.check_world(worlds.world_from_dict({"agents": MAX_AGENTS}))
    with pytest.raises(InvalidInputError, match="agents: found 1025, wanted 1024 at most"):
        play.check_world(worlds.world_from_dict({"agents": MAX_AGENTS + 1}))
    starts = list(product(range(3), range(MAX_AGENTS), range(play.MAX_STARTS_PER_AGENT)))
    assert len({play.agent_seed(*start) for start in starts}) == len(starts)
    for kind in ("ring", "copies", "days", "upgrade"):
        assert fleets.scenario_settings(kind, {"agents": MAX_AGENTS}, "variant[0].set").agents == MAX_AGENTS


def test_rig_starts_its_agents_a_bounded_number_at_a_time(monkeypatch):
    rig, starting, start_counts = (
        play.Rig(worlds.world_from_dict({"agents": MAX_AGENTS}), 1, "true"),
        set(),
        [],
    )

    def start(self):
        starting.add(self)
        start_counts.append(len(starting))
        gevent.sleep(0)
        starting.remove(self)

    monkeypatch.setattr(play.Agent, "start", start)
    rig.agents = [play.Agent(rig, number, 0) for number in range(MAX_AGENTS)]
    rig.start_agents()
    assert len(start_counts) == MAX_AGENTS and max(start_counts) == play.MAX_CONCURRENT_STARTS


def full_hub(agent_count=MAX_AGENTS):
    """A real agent that all others have pinged and acknowledged at once; these exist as messages alone."""
    network, sent, peers = test_membership.FakeNetwork(), [], [peer(f"n{n}") for n in range(1, agent_count)]
    hub = network.start("n000")
    hub.context.send = lambda to, message: sent.append((to, message))
    for each in peers:
        hub.on_message(each.name, Ping(1, sender=each, items=()))
    assert (
        len(hub.verifier.unverified_peers) == agent_count - 1
        and not hub.context.counters["dropped unverified peers"]
    )
    for each in peers:
        hub.on_message(
            each.name, Ack(hub.verifier.unverified_peers[each.name].challenge_number, sender=each, items=())
        )
    assert hub.size() == agent_count and not hub.verifier.unverified_peers
    sent.clear()
    return network, hub, peers, sent


def test_joining_agent_learns_of_a_fleet_of_1024():
    network, hub, peers, _ = full_hub(MAX_AGENTS - 1)
    del hub.context.send
    joiner = network.start(f"n{MAX_AGENTS}")
    network.run(15.0)
    assert set(joiner.peers) == set(hub.peers) and len(joiner.peers) == MAX_AGENTS


def test_1024_agents_may_exchange_digests_ping_and_be_suspected_at_once():
    network, hub, peers, sent = full_hub()
    for each in peers:
        hub.on_message(each.name, DigestExchange(bytes(64), True, sender=each, items=()))
    names = {each.name for each in peers}
    assert (
        set(hub.exchange.pending_pushes) == names
        and {to for to, message in sent if isinstance(message, StatePush)} == names
    )
    # Each push contains only the part of the table that its recipient needs.
    assert sum(len(each.names) for each in hub.exchange.pending_pushes.values()) < MAX_AGENTS * MAX_AGENTS / 8
    sent.clear()
    for each, target in zip(peers, peers[1:] + peers[:1], strict=True):
        hub.on_message(each.name, PingRequest(1, target.name, sender=each, items=()))
    assert len(hub.detector.relayed_pings) == MAX_AGENTS - 1 and not any(
        isinstance(message, Nack) for _, message in sent
    )
    witness, *accused = peers
    for each in accused:
        items = (GossipItem(replace(each, state=PeerState.SUSPECT), (witness.name,)),)
        hub.on_message(witness.name, StatePush(sender=witness, items=items))
    assert len(hub.suspicion.warnings) == MAX_AGENTS - 2


def test_clocks_of_a_majority_of_1024_members_correct_a_wrong_one():
    node = Node(
        FleetSettings(fleet="f", name="a0", key=b"k" * 32, seeds={"a0": "10.0.0.1:1"}), "1", 1000.0, 1.7e9
    )
    node.ring = Ring(1, tuple(RingMember(f"a{n}", "z", 1.0) for n in range(MAX_AGENTS)))
    offset_s = node.fleet_clock.offset_s
    for member in node.ring.members[1:]:
        node.fleet_clock.observe(member.name, int((node.wall + 7) * 1e3), True, True)
    assert len(node.fleet_clock.peer_clocks) == MAX_AGENTS - 1
    node.fleet_clock.check(node.ring)
    assert node.fleet_clock.offset_s == pytest.approx(offset_s + 7, abs=0.01)


def test_lease_renewals_of_1024_are_answered_once_the_epoch_is_known():
    network = test_ring_consensus.SimulatedNetwork([f"a{n}" for n in range(3)])
    agent, recipients = network.agents["a0"], []
    agent.context.send = (
        lambda to, message: recipients.append(to) if isinstance(message, LeaseRenewalAck) else None
    )
    empty, ring = Ring(0, ()), Ring(1, tuple(RingMember(f"b{n:04}", "z", 1.0) for n in range(MAX_AGENTS)))
    for member in ring.members:
        agent.on_message(member.name, LeaseRenewal(ring.epoch, ring.digest, 1))
    agent.learner.learn(empty, step_between(empty, ring), ring)
    assert sorted(recipients) == list(ring.names)


def test_ring_of_1024_members_with_the_longest_names_fits_one_message():
    members = tuple(RingMember(f"{n:064}", "z" * 64, 0.1) for n in range(MAX_AGENTS))
    previous_ring, ring = (
        Ring(1, members),
        Ring(2, tuple(replace(member, capacity=0.2) for member in members)),
    )
    assert (
        len(codec.encode_message(RingSnapshot(previous_ring, step_between(previous_ring, ring))))
        < codec.MAX_FRAME_BYTES
    )
    assert (
        len(codec.encode_message(Prepare(1, previous_ring.digest, 1, previous_ring.names)))
        < codec.MAX_FRAME_BYTES
    )


def connect(host):
    """Opens a connection to the host."""
    return socket.create_connection(("127.0.0.1", host.port))


def test_streams_and_faults_of_1024_peers_are_stored(make_transport):
    host = make_transport("a", start=False)
    for n in range(MAX_AGENTS):
        host.outgoing.enqueue(("127.0.0.1", n + 1), b"x")
        host.reporter.report_once("refused", n, "")
    assert (
        len(host.outgoing.connections) == len(host.reporter.reported_faults) == MAX_AGENTS
        and not host.counters["dropped no stream"]
    )


def test_1024_connections_fit_the_backlog_of_a_peer_and_of_the_fake_service(make_transport):
    service = DiscoveryService(play.Rig(worlds.world_from_dict({}), 1, "true"))
    max_backlog = int(Path("/proc/sys/net/core/somaxconn").read_text())
    for listener in (make_transport("a", start=False).listener, service.socket):
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 192)
        assert struct.unpack_from("I", info, TCP_INFO_BACKLOG_OFFSET)[0] == min(MAX_AGENTS, max_backlog)
    service.close()


def test_many_peers_that_connect_at_once_keep_their_streams(make_transport, monkeypatch):
    monkeypatch.setattr("cartdeal.fleet.transport.incoming.FIRST_MESSAGE_TIMEOUT_S", 20.0)
    host = make_transport("a")
    connections = [connect(host) for _ in range(300)]  # each uses two descriptors of this process
    wait_until(lambda: len(host.incoming.connections) == len(connections) or host.counters["closed no room"])
    assert not host.counters["closed no room"]


def test_identified_peers_keep_their_streams_and_none_is_closed_unread(make_transport, monkeypatch):
    monkeypatch.setattr("cartdeal.fleet.transport.incoming.FIRST_MESSAGE_TIMEOUT_S", 20.0)
    host = make_transport("a", limits=TransportLimits(max_streams=4), start=False)
    frame = codec.frame_message(codec.encode(SETTINGS, "b", 1, "", 9, StreamMessage(b"x")))
    connections = [connect(host) for _ in range(20)]
    for each in connections:
        each.sendall(frame)
    host.start()
    wait_until(lambda: len(host.node.received) == len(connections))
    silent = [connect(host) for _ in range(20)]
    wait_until(lambda: host.counters["closed no room"] >= len(connections) - 4 + len(silent))
    assert sum(connection.is_identified for connection in host.incoming.connections.values()) == 3
