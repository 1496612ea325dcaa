import time
from itertools import cycle
from typing import ClassVar

import gevent
import msgspec
import pytest
from gevent import socket
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import Struct

from cartdeal.fleet import codec, errors
from cartdeal.fleet.effects import DeliverDecision, SendMessage
from cartdeal.fleet.idempotency import AdmissionDecision
from cartdeal.fleet.settings import FleetSettings
from cartdeal.fleet.transport import PeerTransport, TransportLimits
from cartdeal.fleet.transport.outgoing import OutgoingConnection


class DatagramMessage(Struct, frozen=True, tag="t.hail", array_like=True):
    DATAGRAM: ClassVar[bool] = True
    text: str
    count: int = 0


class StreamMessage(Struct, frozen=True, tag="t.load", array_like=True):
    DATAGRAM: ClassVar[bool] = False
    body: bytes
    parts: tuple[tuple[str, ...], ...] = ()


SETTINGS = FleetSettings(fleet="f", name="a", key=b"k" * 32, address="127.0.0.1:7")
REFUSAL_ERRORS = (
    errors.WrongFleetError,
    errors.AuthenticationFailedError,
    errors.UnsupportedEnvelopeError,
    errors.MessageTooLargeError,
    errors.MalformedMessageError,
)


@pytest.fixture(autouse=True)
def message_decoder(monkeypatch):
    decoder = msgspec.msgpack.Decoder(DatagramMessage | StreamMessage)
    monkeypatch.setattr(codec, "message_decoder", lambda: decoder)


def sign_body(body, settings=SETTINGS, version=codec.ENVELOPE_VERSION):
    return bytes([version]) + codec.compute_mac(settings.key, body) + body


def test_decoded_message_has_the_fields_of_its_senders_envelope():
    encoded = codec.encode(SETTINGS, "a", 5 << 56, "127.0.0.1:7", 9, DatagramMessage("x", 3))
    assert codec.decode(SETTINGS, encoded) == ("a", 5 << 56, "127.0.0.1:7", 9, DatagramMessage("x", 3))


@pytest.mark.parametrize(
    ("encoded", "error_type"),
    [
        (
            codec.encode(msgspec.structs.replace(SETTINGS, fleet="g"), "a", 1, "", 9, DatagramMessage("x")),
            errors.WrongFleetError,
        ),
        (
            codec.encode(
                msgspec.structs.replace(SETTINGS, key=b"l" * 32), "a", 1, "", 9, DatagramMessage("x")
            ),
            errors.AuthenticationFailedError,
        ),
        (
            b"\x02" + codec.encode(SETTINGS, "a", 1, "", 9, DatagramMessage("x"))[1:],
            errors.UnsupportedEnvelopeError,
        ),
        (codec.encode(SETTINGS, "a", 1, "", 9, DatagramMessage("x"))[:-1], errors.MalformedMessageError),
        (bytes(codec.MAX_FRAME_BYTES + 1), errors.MessageTooLargeError),
        (
            sign_body(msgspec.msgpack.encode(["f", "a", 1, "", 9, ["t.none", 1]])),
            errors.MalformedMessageError,
        ),
        (
            sign_body(msgspec.msgpack.encode(["f", "a", 1, "", 9, ["t.hail", 7]])),
            errors.MalformedMessageError,
        ),
        (
            sign_body(msgspec.msgpack.encode(["f", "", 1, "", 9, ["t.hail", "x"]])),
            errors.MalformedMessageError,
        ),
        (
            sign_body(msgspec.msgpack.encode(["f", "a", -1, "", 9, ["t.hail", "x"]])),
            errors.MalformedMessageError,
        ),
        (
            sign_body(b"\x96\xa1f\xa1a\x01\xa0\x09" + b"\x91" * 100000 + b"\x90"),
            errors.MalformedMessageError,
        ),  # nested too deep
        (
            sign_body(b"\x96\xa1f\xa1a\x01\xa0\x09\x93\xa6t.load\xc4\x00\xdd\xff\xff\xff\xff"),
            errors.MalformedMessageError,
        ),
        (
            sign_body(b"\x96\xa1f\xa1a\x01\xa0\x09\xdd\xff\xff\xff\xff\xa6t.load"),
            errors.MalformedMessageError,
        ),
    ],
    ids=range(12),
)
def test_each_refused_message_raises_its_own_error_type(encoded, error_type):
    with pytest.raises(error_type) as error_info:
        codec.decode(SETTINGS, encoded)
    assert error_info.value.remedy
    assert len(str(error_info.value)) < 600


def test_message_over_the_maximum_size_is_not_encoded():
    with pytest.raises(errors.MessageTooLargeError):
        codec.encode(SETTINGS, "a", 1, "", 9, DatagramMessage("x" * codec.MAX_DATAGRAM_BYTES))
    with pytest.raises(errors.MessageTooLargeError):
        codec.encode(SETTINGS, "a", 1, "", 9, StreamMessage(bytes(codec.MAX_FRAME_BYTES)))


@settings(max_examples=300, deadline=None)
@given(st.data())
def test_message_changed_in_transit_is_refused_with_a_typed_error(data):
    encoded = bytearray(codec.encode(SETTINGS, "a", 1, "", 9, StreamMessage(b"xyz", (("a",), ("b", "c")))))
    for _ in range(data.draw(st.integers(1, 3))):
        position = data.draw(st.integers(0, len(encoded) - 1))
        change = data.draw(st.sampled_from(["set", "cut", "more"]))
        if change == "set":
            encoded[position] = data.draw(
                st.integers(0, 255).filter(lambda byte, old=encoded[position]: byte != old)
            )
        elif change == "cut" and len(encoded) > 1:
            del encoded[position:]
        else:
            encoded += data.draw(st.binary(min_size=1, max_size=9))
        if not encoded:
            return
    if bytes(encoded) != codec.encode(SETTINGS, "a", 1, "", 9, StreamMessage(b"xyz", (("a",), ("b", "c")))):
        with pytest.raises(REFUSAL_ERRORS):
            codec.decode(SETTINGS, bytes(encoded))


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_random_bytes_even_with_a_valid_mac_raise_only_typed_errors(body):
    for encoded in (body, sign_body(body), sign_body(b"\x96\xa1f\xa1a\x01\xa0\x09" + body)):
        try:
            codec.decode(SETTINGS, encoded)
        except REFUSAL_ERRORS:
            pass


@settings(max_examples=200, deadline=None)
@given(st.lists(st.binary(min_size=1, max_size=40), max_size=8), st.lists(st.integers(1, 30), min_size=1))
def test_frames_are_complete_however_the_stream_is_split(messages, sizes):
    stream = b"".join(map(codec.frame_message, messages))
    frames = codec.FrameReader(40)
    received_messages = []
    for size in cycle(sizes):
        if not stream:
            break
        received_messages += frames.feed(stream[:size])
        stream = stream[size:]
    assert received_messages == messages
    assert not frames.buffer


@pytest.mark.parametrize(
    ("header", "error_type"),
    [(bytes(4), errors.MalformedMessageError), (b"\xff\xff\xff\xff", errors.MessageTooLargeError)],
)
def test_invalid_frame_is_refused_and_not_buffered(header, error_type):
    frames = codec.FrameReader()
    with pytest.raises(error_type):
        frames.feed(header + bytes(100))
    assert not frames.buffer
    with pytest.raises(errors.MalformedMessageError):
        frames.feed(codec.frame_message(b"x"))


class FakeNode:
    """A node that records the messages it receives and sends the messages that a test gives it."""

    def __init__(self, fleet_settings, seed, now, wall):
        self.settings = fleet_settings
        self.name = fleet_settings.name
        self.address = fleet_settings.address
        self.incarnation = 7
        self.now = now
        self.wall = wall
        self.effects = []
        self.received = []  # (sender, incarnation, address, message) of each message
        self.ticks = 0
        self.is_handling_event = False

    def on_message(self, sender, incarnation, address, wall_ms, message):
        assert not self.is_handling_event
        self.is_handling_event = True
        self.received = [*self.received, (sender, incarnation, address, message)]
        if message == DatagramMessage("die"):
            self.is_handling_event = False
            raise ValueError("broken part")
        self.is_handling_event = False

    def tick(self):
        self.ticks += 1

    def send_messages(self, recipient, address, *messages):
        self.effects += [SendMessage(recipient, address, message) for message in messages]

    def decide(self, ticket):
        self.effects.append(DeliverDecision(ticket, AdmissionDecision.ADMIT))

    def metrics(self):
        return {"ticks": self.ticks}


@pytest.fixture
def make_transport():
    transports = []

    def make(name, on_decision=None, limits=None, start=True, **changes):
        fleet_settings = msgspec.structs.replace(SETTINGS, name=name, address="", tick_s=0.01, **changes)
        transports.append(PeerTransport(fleet_settings, ("127.0.0.1", 0), FakeNode, on_decision, limits))
        if start:
            transports[-1].start()
        return transports[-1]

    with gevent.Timeout(20):
        yield make
    for transport in transports:
        transport.stop()


def wait_until(condition):
    while not condition():
        gevent.sleep(0.002)


def send(sender, recipient, *messages):
    sender.dispatch("send_messages", recipient.settings.name, recipient.node.address, *messages)


def test_messages_arrive_by_datagram_and_stream_with_their_sender(make_transport):
    a, b = make_transport("a"), make_transport("b")
    send(a, b, StreamMessage(bytes(400_000)), DatagramMessage("x"), StreamMessage(b"y"))
    wait_until(lambda: len(b.node.received) == 3 and b.node.ticks and not a.queued_bytes)
    assert {received[:3] for received in b.node.received} == {("a", 7, a.node.address)}
    assert [message for *_, message in b.node.received if type(message) is StreamMessage] == [
        StreamMessage(bytes(400_000)),
        StreamMessage(b"y"),
    ]
    assert len(a.outgoing.connections) == 1
    assert len(b.incoming.connections) == 1
    assert not b.incoming.partial_bytes
    send(a, b, DatagramMessage("x" * 2000))
    a.dispatch("send_messages", "b", "nowhere", DatagramMessage("x"))
    assert a.counters["dropped too large"] == a.counters["dropped no address"] == 1


def test_event_caused_by_an_effect_is_handled_after_it(make_transport):
    decisions = []
    a = make_transport(
        "a",
        on_decision=lambda effect: decisions.append(effect.ticket)
        or (
            effect.ticket < 3 and (a.dispatch("decide", effect.ticket + 2), decisions.append(-effect.ticket))
        ),
    )
    a.dispatch("decide", 1)
    assert decisions == [1, -1, 3]


def test_exception_in_the_node_does_not_stop_the_transport(make_transport, caplog):
    a, b = make_transport("a"), make_transport("b")
    send(a, b, StreamMessage(b"x"), DatagramMessage("die"), DatagramMessage("on"))
    wait_until(lambda: len(b.node.received) == 3)
    assert "event failed" in caplog.text
    assert len(b.incoming.connections) == 1


@pytest.mark.parametrize(
    ("encoded", "error_type"),
    [
        (bytes(4), "MalformedMessageError"),
        (b"\xff" * 8, "MessageTooLargeError"),
        (codec.frame_message(b"x" * 60), "UnsupportedEnvelopeError"),
        (
            codec.frame_message(
                codec.encode(
                    msgspec.structs.replace(SETTINGS, key=b"l" * 32), "a", 1, "", 9, DatagramMessage("x")
                )
            ),
            "AuthenticationFailedError",
        ),
    ],
)
def test_bad_peer_loses_only_its_own_stream_and_is_logged_once(make_transport, caplog, encoded, error_type):
    a, b = make_transport("a"), make_transport("b")
    send(a, b, StreamMessage(b"x"))
    wait_until(lambda: b.node.received)
    for _ in range(3):
        bad_peer = socket.create_connection(("127.0.0.1", b.port))
        bad_peer.sendall(encoded)
        assert bad_peer.recv(1) == b""
    send(a, b, StreamMessage(b"y"))
    wait_until(lambda: len(b.node.received) == 2)
    assert b.counters[f"refused {error_type}"] == 3
    assert len(b.incoming.connections) == 1
    assert not b.incoming.partial_bytes
    assert len([message for message in caplog.messages if message == "refused"]) == 1


def test_unknown_message_is_skipped_and_its_stream_stays_open(make_transport):
    b = make_transport("b")
    unknown_message = sign_body(msgspec.msgpack.encode(["f", "a", 1, "", 9, ["t.new", 1]]))
    with socket.create_connection(("127.0.0.1", b.port)) as peer:
        peer.sendall(
            codec.frame_message(unknown_message)
            + codec.frame_message(codec.encode(SETTINGS, "a", 1, "", 9, StreamMessage(b"x")))
        )
        wait_until(lambda: b.node.received)
    assert b.counters["refused UnknownMessageError"] == 1
    assert len(b.node.received) == 1


def test_unidentified_clients_are_bounded_and_an_identified_peer_keeps_its_stream(
    make_transport, monkeypatch
):
    monkeypatch.setattr("cartdeal.fleet.transport.incoming.MAX_UNIDENTIFIED_CONNECTIONS", 3)
    monkeypatch.setattr("cartdeal.fleet.transport.incoming.FIRST_MESSAGE_TIMEOUT_S", 0.1)
    a, b = make_transport("a"), make_transport("b", limits=TransportLimits(max_partial_bytes=100_000))
    send(a, b, StreamMessage(b"x"))
    wait_until(lambda: b.node.received)
    silent_clients = [socket.create_connection(("127.0.0.1", b.port)) for _ in range(8)]
    assert all(client.recv(1) == b"" for client in silent_clients)
    client_with_partial_message = socket.create_connection(("127.0.0.1", b.port))
    client_with_partial_message.sendall((200_000).to_bytes(4, "big") + bytes(150_000))
    with pytest.raises(ConnectionError):
        while client_with_partial_message.recv(1):
            pass
        raise ConnectionResetError
    send(a, b, StreamMessage(b"y"))
    wait_until(lambda: len(b.node.received) == 2 and len(b.incoming.connections) == 1)
    assert b.counters["closed partial messages"] == 1
    assert not b.incoming.partial_bytes


def test_queue_for_a_peer_that_does_not_read_is_bounded_and_drops_oldest(make_transport, monkeypatch):
    monkeypatch.setattr("cartdeal.fleet.transport.outgoing.MAX_QUEUED_MESSAGES", 8)
    a, b = (
        make_transport("a", limits=TransportLimits(max_queued_bytes=40_000_000)),
        make_transport("b", start=False),
    )
    for number in range(100):
        send(a, b, StreamMessage(bytes(500_000) + b"%d" % number))
        gevent.sleep(0)
    assert a.counters["dropped oldest"] > 50
    assert a.queued_bytes < 9 * 500_100
    a.outgoing.limits = TransportLimits(max_queued_bytes=1_000_000)
    send(a, b, StreamMessage(bytes(500_000)))
    assert a.queued_bytes < 1_000_000
    b.start()
    wait_until(lambda: not a.queued_bytes and b.node.received)


def test_restarted_peer_is_reached_again_and_stale_messages_are_not_sent(make_transport, monkeypatch):
    monkeypatch.setattr("cartdeal.fleet.transport.outgoing.FIRST_RECONNECT_DELAY_S", 0.01)
    monkeypatch.setattr("cartdeal.fleet.transport.outgoing.MAX_QUEUE_AGE_S", 0.2)
    a, b = make_transport("a"), make_transport("b")
    send(a, b, StreamMessage(b"1"))
    wait_until(lambda: b.node.received)
    port, stopped_peer = b.port, b
    stopped_peer.stop()
    wait_until(lambda: not stopped_peer.incoming.connections)
    send(a, b, StreamMessage(b"2"))
    wait_until(lambda: a.counters["dropped stale"] == 1)
    send(a, b, StreamMessage(b"3"))
    restarted_peer = PeerTransport(
        msgspec.structs.replace(SETTINGS, name="b", address=""), ("127.0.0.1", port), FakeNode, None
    )
    restarted_peer.start()
    wait_until(lambda: restarted_peer.node.received or send(a, b, StreamMessage(b"4")))
    assert StreamMessage(b"2") not in [message for *_, message in restarted_peer.node.received]
    restarted_peer.stop()


def test_queued_message_gets_its_time_when_it_is_sent(make_transport):
    a, b, received_wall_ms = make_transport("a"), make_transport("b"), []
    b.node.on_message = lambda sender, incarnation, address, wall_ms, message: received_wall_ms.append(
        wall_ms
    )
    a.outgoing.connections[("127.0.0.1", b.port)] = connection = OutgoingConnection(
        ("127.0.0.1", b.port)
    )  # without a greenlet that writes it
    send(a, b, StreamMessage(b"x"))
    gevent.sleep(0.3)
    min_wall_ms = int(time.time() * 1e3)
    connection.greenlet = gevent.spawn(a.outgoing.write, connection)
    wait_until(lambda: received_wall_ms)
    assert received_wall_ms[0] >= min_wall_ms - 50


def test_streams_are_bounded_and_closed_when_idle(make_transport, monkeypatch):
    a, peers = (
        make_transport("a", limits=TransportLimits(max_streams=2)),
        [make_transport(name) for name in "bcd"],
    )
    for peer in peers:
        send(a, peer, StreamMessage(b"x"))
        wait_until(lambda peer=peer: peer.node.received)
    assert len(a.outgoing.connections) == 2
    monkeypatch.setattr("cartdeal.fleet.transport.outgoing.WRITER_IDLE_TIMEOUT_S", 0.05)
    for peer in peers[1:]:
        send(a, peer, StreamMessage(b"y"))
    wait_until(lambda: not a.outgoing.connections and not any(peer.incoming.connections for peer in peers))


def test_flood_of_datagrams_does_not_starve_other_greenlets(make_transport):
    b = make_transport("b")
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    refused_before = []  # count of refused datagrams when another greenlet ran
    for _ in range(200):
        sender.sendto(b"noise", ("127.0.0.1", b.port))
    time.sleep(0.01)
    gevent.spawn(lambda: refused_before.append(b.counters["refused MalformedMessageError"]))
    wait_until(lambda: b.counters["refused MalformedMessageError"] == 200)
    assert refused_before
    assert refused_before[0] < 200
