import time
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


class Hail(Struct, frozen=True, tag="t.hail", array_like=True):
    DATAGRAM: ClassVar[bool] = True
    text: str
    count: int = 0


class Load(Struct, frozen=True, tag="t.load", array_like=True):
    DATAGRAM: ClassVar[bool] = False
    body: bytes
    parts: tuple[tuple[str, ...], ...] = ()


SETTINGS = FleetSettings(fleet="f", name="a", key=b"k" * 32, address="127.0.0.1:7")
REFUSALS = (
    errors.WrongFleetError,
    errors.AuthenticationFailedError,
    errors.UnsupportedEnvelopeError,
    errors.MessageTooLargeError,
    errors.MalformedMessageError,
)


@pytest.fixture(autouse=True)
def message_decoder(monkeypatch):
    message = msgspec.msgpack.Decoder(Hail | Load)
    monkeypatch.setattr(codec, "message_decoder", lambda: message)


def sealed(body, settings=SETTINGS, version=codec.ENVELOPE_VERSION):
    return bytes([version]) + codec.sign(settings.key, body) + body


def test_a_message_is_decoded_with_its_senders_envelope():
    text = codec.encode(SETTINGS, "a", 5 << 56, "127.0.0.1:7", 9, Hail("x", 3))
    assert codec.decode(SETTINGS, text) == ("a", 5 << 56, "127.0.0.1:7", 9, Hail("x", 3))


@pytest.mark.parametrize(
    "text, kind",
    [
        (
            codec.encode(msgspec.structs.replace(SETTINGS, fleet="g"), "a", 1, "", 9, Hail("x")),
            errors.WrongFleetError,
        ),
        (
            codec.encode(msgspec.structs.replace(SETTINGS, key=b"l" * 32), "a", 1, "", 9, Hail("x")),
            errors.AuthenticationFailedError,
        ),
        (b"\x02" + codec.encode(SETTINGS, "a", 1, "", 9, Hail("x"))[1:], errors.UnsupportedEnvelopeError),
        (codec.encode(SETTINGS, "a", 1, "", 9, Hail("x"))[:-1], errors.MalformedMessageError),
        (bytes(codec.MAX_FRAME_BYTES + 1), errors.MessageTooLargeError),
        (sealed(msgspec.msgpack.encode(["f", "a", 1, "", 9, ["t.none", 1]])), errors.MalformedMessageError),
        (sealed(msgspec.msgpack.encode(["f", "a", 1, "", 9, ["t.hail", 7]])), errors.MalformedMessageError),
        (sealed(msgspec.msgpack.encode(["f", "", 1, "", 9, ["t.hail", "x"]])), errors.MalformedMessageError),
        (
            sealed(msgspec.msgpack.encode(["f", "a", -1, "", 9, ["t.hail", "x"]])),
            errors.MalformedMessageError,
        ),
        (
            sealed(b"\x96\xa1f\xa1a\x01\xa0\x09" + b"\x91" * 100000 + b"\x90"),
            errors.MalformedMessageError,
        ),  # too deep
        (
            sealed(b"\x96\xa1f\xa1a\x01\xa0\x09\x93\xa6t.load\xc4\x00\xdd\xff\xff\xff\xff"),
            errors.MalformedMessageError,
        ),
        (sealed(b"\x96\xa1f\xa1a\x01\xa0\x09\xdd\xff\xff\xff\xff\xa6t.load"), errors.MalformedMessageError),
    ],
    ids=range(12),
)
def test_each_refusal_is_a_type_of_its_own(text, kind):
    with pytest.raises(kind) as trouble:
        codec.decode(SETTINGS, text)
    assert trouble.value.remedy and len(str(trouble.value)) < 600


def test_words_too_long_are_not_sent():
    with pytest.raises(errors.MessageTooLargeError):
        codec.encode(SETTINGS, "a", 1, "", 9, Hail("x" * codec.MAX_DATAGRAM_BYTES))
    with pytest.raises(errors.MessageTooLargeError):
        codec.encode(SETTINGS, "a", 1, "", 9, Load(bytes(codec.MAX_FRAME_BYTES)))


@settings(max_examples=300, deadline=None)
@given(st.data())
def test_whatever_is_changed_on_the_way_is_refused_by_type(data):
    text = bytearray(codec.encode(SETTINGS, "a", 1, "", 9, Load(b"xyz", (("a",), ("b", "c")))))
    for _ in range(data.draw(st.integers(1, 3))):
        place = data.draw(st.integers(0, len(text) - 1))
        kind = data.draw(st.sampled_from(["set", "cut", "more"]))
        if kind == "set":
            text[place] = data.draw(st.integers(0, 255).filter(lambda each, old=text[place]: each != old))
        elif kind == "cut" and len(text) > 1:
            del text[place:]
        else:
            text += data.draw(st.binary(min_size=1, max_size=9))
        if not text:
            return
    if bytes(text) != codec.encode(SETTINGS, "a", 1, "", 9, Load(b"xyz", (("a",), ("b", "c")))):
        with pytest.raises(REFUSALS):
            codec.decode(SETTINGS, bytes(text))


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_a_peer_that_has_the_key_can_say_nothing_that_ends_in_another_error(body):
    for text in (body, sealed(body), sealed(b"\x96\xa1f\xa1a\x01\xa0\x09" + body)):
        try:
            codec.decode(SETTINGS, text)
        except REFUSALS:
            pass


@settings(max_examples=200, deadline=None)
@given(st.lists(st.binary(min_size=1, max_size=40), max_size=8), st.lists(st.integers(1, 30), min_size=1))
def test_frames_come_whole_whatever_the_split(messages, cuts):
    stream, frames, got, cut = b"".join(map(codec.frame_message, messages)), codec.FrameReader(40), [], 0
    while stream:
        size = cuts[cut % len(cuts)]
        got += frames.feed(stream[:size])
        stream, cut = stream[size:], cut + 1
    assert got == messages and not frames.buffer


@pytest.mark.parametrize(
    "head, kind",
    [(bytes(4), errors.MalformedMessageError), (b"\xff\xff\xff\xff", errors.MessageTooLargeError)],
)
def test_a_frame_that_can_not_be_is_refused_and_nothing_of_it_kept(head, kind):
    frames = codec.FrameReader()
    with pytest.raises(kind):
        frames.feed(head + bytes(100))
    assert not frames.buffer
    with pytest.raises(errors.MalformedMessageError):
        frames.feed(codec.frame_message(b"x"))


class Scripted:
    """A node that notes what it hears and says what a test tells it to."""

    def __init__(self, fleet_settings, seed, now, wall):
        self.settings, self.name, self.incarnation, self.address = (
            fleet_settings,
            fleet_settings.name,
            7,
            fleet_settings.address,
        )
        self.effects, self.now, self.wall, self.got, self.ticks, self.depth = [], now, wall, [], 0, 0

    def on_message(self, sender, incarnation, address, wall_ms, message):
        assert not self.depth
        self.depth, self.got = 1, self.got + [(sender, incarnation, address, message)]
        if message == Hail("die"):
            self.depth = 0
            raise ValueError("broken part")
        self.depth = 0

    def tick(self):
        self.ticks += 1

    def say(self, to, address, *messages):
        self.effects += [SendMessage(to, address, each) for each in messages]

    def decide(self, *about):
        self.effects.append(DeliverDecision(*about, AdmissionDecision.ADMIT))

    def metrics(self):
        return {"ticks": self.ticks}


@pytest.fixture
def hosts():
    made = []

    def make(name, decided=None, limits=None, start=True, **more):
        fleet_settings = msgspec.structs.replace(SETTINGS, name=name, address="", tick_s=0.01, **more)
        made.append(PeerTransport(fleet_settings, ("127.0.0.1", 0), Scripted, decided, limits))
        if start:
            made[-1].start()
        return made[-1]

    with gevent.Timeout(20):
        yield make
    for host in made:
        host.stop()


def until(true):
    while not true():
        gevent.sleep(0.002)


def say(host, to, *words):
    host.dispatch("say", to.settings.name, to.node.address, *words)


def test_words_go_by_datagram_or_stream_and_come_with_their_sender(hosts):
    a, b = hosts("a"), hosts("b")
    say(a, b, Load(bytes(400_000)), Hail("x"), Load(b"y"))
    until(lambda: len(b.node.got) == 3 and b.node.ticks and not a.queued_bytes)
    assert {each[:3] for each in b.node.got} == {("a", 7, a.node.address)}
    assert [each[3] for each in b.node.got if type(each[3]) is Load] == [Load(bytes(400_000)), Load(b"y")]
    assert (
        len(a.outgoing.connections) == 1 and len(b.incoming.connections) == 1 and not b.incoming.partial_bytes
    )
    say(a, b, Hail("x" * 2000))
    a.dispatch("say", "b", "nowhere", Hail("x"))
    assert a.counters["dropped too large"] == a.counters["dropped no address"] == 1


def test_an_event_that_comes_of_an_effect_is_played_after_it(hosts):
    seen = []
    a = hosts(
        "a",
        decided=lambda effect: seen.append(effect.ticket)
        or effect.ticket < 3
        and (a.dispatch("decide", effect.ticket + 2), seen.append(-effect.ticket)),
    )
    a.dispatch("decide", 1)
    assert seen == [1, -1, 3]


def test_a_broken_part_takes_nothing_else_with_it(hosts, caplog):
    a, b = hosts("a"), hosts("b")
    say(a, b, Load(b"x"), Hail("die"), Hail("on"))
    until(lambda: len(b.node.got) == 3)
    assert "event failed" in caplog.text and len(b.incoming.connections) == 1


@pytest.mark.parametrize(
    "text, kind",
    [
        (bytes(4), "MalformedMessageError"),
        (b"\xff" * 8, "MessageTooLargeError"),
        (codec.frame_message(b"x" * 60), "UnsupportedEnvelopeError"),
        (
            codec.frame_message(
                codec.encode(msgspec.structs.replace(SETTINGS, key=b"l" * 32), "a", 1, "", 9, Hail("x"))
            ),
            "AuthenticationFailedError",
        ),
    ],
)
def test_a_bad_peer_costs_its_own_stream_alone_and_is_told_once(hosts, caplog, text, kind):
    a, b = hosts("a"), hosts("b")
    say(a, b, Load(b"x"))
    until(lambda: b.node.got)
    for _ in range(3):
        bad = socket.create_connection(("127.0.0.1", b.port))
        bad.sendall(text)
        assert bad.recv(1) == b""
    say(a, b, Load(b"y"))
    until(lambda: len(b.node.got) == 2)
    assert (
        b.counters[f"refused {kind}"] == 3
        and len(b.incoming.connections) == 1
        and not b.incoming.partial_bytes
    )
    assert len([each for each in caplog.messages if each == "refused"]) == 1


def test_words_of_a_newer_program_are_passed_over_and_their_stream_is_kept(hosts):
    b = hosts("b")
    text = sealed(msgspec.msgpack.encode(["f", "a", 1, "", 9, ["t.new", 1]]))
    with socket.create_connection(("127.0.0.1", b.port)) as peer:
        peer.sendall(
            codec.frame_message(text) + codec.frame_message(codec.encode(SETTINGS, "a", 1, "", 9, Load(b"x")))
        )
        until(lambda: b.node.got)
    assert b.counters["refused UnknownMessageError"] == 1 and len(b.node.got) == 1


def test_unidentified_clients_have_little_time_and_room_and_a_known_peer_keeps_its_stream(hosts, monkeypatch):
    monkeypatch.setattr("cartdeal.fleet.transport.incoming.MAX_UNIDENTIFIED_CONNECTIONS", 3)
    monkeypatch.setattr("cartdeal.fleet.transport.incoming.FIRST_MESSAGE_TIMEOUT_S", 0.1)
    a, b = hosts("a"), hosts("b", limits=TransportLimits(max_partial_bytes=100_000))
    say(a, b, Load(b"x"))
    until(lambda: b.node.got)
    silent = [socket.create_connection(("127.0.0.1", b.port)) for _ in range(8)]
    assert all(each.recv(1) == b"" for each in silent)
    hoarder = socket.create_connection(("127.0.0.1", b.port))
    hoarder.sendall((200_000).to_bytes(4, "big") + bytes(150_000))
    with pytest.raises(ConnectionError):
        while hoarder.recv(1):
            pass
        raise ConnectionResetError
    say(a, b, Load(b"y"))
    until(lambda: len(b.node.got) == 2 and len(b.incoming.connections) == 1)
    assert b.counters["closed partial messages"] == 1 and not b.incoming.partial_bytes


def test_what_waits_for_a_peer_that_does_not_read_is_bounded_and_the_oldest_goes(hosts, monkeypatch):
    monkeypatch.setattr("cartdeal.fleet.transport.outgoing.MAX_QUEUED_MESSAGES", 8)
    a, b = hosts("a", limits=TransportLimits(max_queued_bytes=40_000_000)), hosts("b", start=False)
    for place in range(100):
        say(a, b, Load(bytes(500_000) + b"%d" % place))
        gevent.sleep(0)
    assert a.counters["dropped oldest"] > 50 and a.queued_bytes < 9 * 500_100
    a.outgoing.limits = TransportLimits(max_queued_bytes=1_000_000)
    say(a, b, Load(bytes(500_000)))
    assert a.queued_bytes < 1_000_000
    b.start()
    until(lambda: not a.queued_bytes and b.node.got)


def test_a_peer_that_comes_back_is_reached_and_what_is_stale_is_not_sent(hosts, monkeypatch):
    monkeypatch.setattr("cartdeal.fleet.transport.outgoing.FIRST_RECONNECT_DELAY_S", 0.01)
    monkeypatch.setattr("cartdeal.fleet.transport.outgoing.MAX_QUEUE_AGE_S", 0.2)
    a, b = hosts("a"), hosts("b")
    say(a, b, Load(b"1"))
    until(lambda: b.node.got)
    port, old = b.port, b
    old.stop()
    until(lambda: not old.incoming.connections)
    say(a, b, Load(b"2"))
    until(lambda: a.counters["dropped stale"] == 1)
    say(a, b, Load(b"3"))
    back = PeerTransport(
        msgspec.structs.replace(SETTINGS, name="b", address=""), ("127.0.0.1", port), Scripted, None
    )
    back.start()
    until(lambda: back.node.got or say(a, b, Load(b"4")))
    assert Load(b"2") not in [each[3] for each in back.node.got]
    back.stop()


def test_what_waited_is_stamped_when_it_goes_out(hosts):
    a, b, times = hosts("a"), hosts("b"), []
    b.node.on_message = lambda sender, incarnation, address, wall_ms, message: times.append(wall_ms)
    a.outgoing.connections[("127.0.0.1", b.port)] = connection = OutgoingConnection(
        ("127.0.0.1", b.port)
    )  # nobody writes it yet
    say(a, b, Load(b"x"))
    gevent.sleep(0.3)
    before = int(time.time() * 1e3)
    connection.greenlet = gevent.spawn(a.outgoing.write, connection)
    until(lambda: times)
    assert times[0] >= before - 50


def test_streams_are_bounded_and_close_when_they_carry_nothing(hosts, monkeypatch):
    a, peers = hosts("a", limits=TransportLimits(max_streams=2)), [hosts(name) for name in "bcd"]
    for peer in peers:
        say(a, peer, Load(b"x"))
        until(lambda peer=peer: peer.node.got)
    assert len(a.outgoing.connections) == 2
    monkeypatch.setattr("cartdeal.fleet.transport.outgoing.WRITER_IDLE_TIMEOUT_S", 0.05)
    for peer in peers[1:]:
        say(a, peer, Load(b"y"))
    until(lambda: not a.outgoing.connections and not any(peer.incoming.connections for peer in peers))


def test_a_flood_of_datagrams_leaves_the_agent_its_turn(hosts):
    b = hosts("b")
    stranger, ran = socket.socket(socket.AF_INET, socket.SOCK_DGRAM), []
    for _ in range(200):
        stranger.sendto(b"noise", ("127.0.0.1", b.port))
    time.sleep(0.01)
    gevent.spawn(lambda: ran.append(b.counters["refused MalformedMessageError"]))
    until(lambda: b.counters["refused MalformedMessageError"] == 200)
    assert ran and ran[0] < 200
