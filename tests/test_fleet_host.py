from typing import ClassVar

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import Struct

from cartdeal.fleet import errors, wire
from cartdeal.fleet.desk import Pact


class Hail(Struct, frozen=True, tag="t.hail", array_like=True):
    DATAGRAM: ClassVar[bool] = True
    text: str
    count: int = 0


class Load(Struct, frozen=True, tag="t.load", array_like=True):
    DATAGRAM: ClassVar[bool] = False
    body: bytes
    parts: tuple[tuple[str, ...], ...] = ()


PACT = Pact(fleet="f", name="a", key=b"k" * 32, address="127.0.0.1:7")
REFUSALS = (errors.WrongFleet, errors.WrongDigest, errors.WrongVersion, errors.TooLong, errors.Unreadable)


@pytest.fixture(autouse=True)
def tongue(monkeypatch):
    words = msgspec.msgpack.Decoder(Hail | Load)
    monkeypatch.setattr(wire, "tongue", lambda: words)


def sealed(body, pact=PACT, version=wire.VERSION):
    return bytes([version]) + wire.seal(pact.key, body) + body


def test_words_come_back_with_who_said_them():
    text = wire.encode(PACT, "a", 5 << 56, "127.0.0.1:7", 9, Hail("x", 3))
    assert wire.decode(PACT, text) == ("a", 5 << 56, "127.0.0.1:7", 9, Hail("x", 3))


@pytest.mark.parametrize("text, kind", [
    (wire.encode(msgspec.structs.replace(PACT, fleet="g"), "a", 1, "", 9, Hail("x")), errors.WrongFleet),
    (wire.encode(msgspec.structs.replace(PACT, key=b"l" * 32), "a", 1, "", 9, Hail("x")), errors.WrongDigest),
    (b"\x02" + wire.encode(PACT, "a", 1, "", 9, Hail("x"))[1:], errors.WrongVersion),
    (wire.encode(PACT, "a", 1, "", 9, Hail("x"))[:-1], errors.Unreadable),
    (bytes(wire.LONGEST_FRAME + 1), errors.TooLong),
    (sealed(msgspec.msgpack.encode(["f", "a", 1, "", 9, ["t.none", 1]])), errors.Unreadable),
    (sealed(msgspec.msgpack.encode(["f", "a", 1, "", 9, ["t.hail", 7]])), errors.Unreadable),
    (sealed(msgspec.msgpack.encode(["f", "", 1, "", 9, ["t.hail", "x"]])), errors.Unreadable),
    (sealed(msgspec.msgpack.encode(["f", "a", -1, "", 9, ["t.hail", "x"]])), errors.Unreadable),
    (sealed(b"\x96\xa1f\xa1a\x01\xa0\x09" + b"\x91" * 100000 + b"\x90"), errors.Unreadable),    # too deep
    (sealed(b"\x96\xa1f\xa1a\x01\xa0\x09\x93\xa6t.load\xc4\x00\xdd\xff\xff\xff\xff"), errors.Unreadable),
    (sealed(b"\x96\xa1f\xa1a\x01\xa0\x09\xdd\xff\xff\xff\xff\xa6t.load"), errors.Unreadable),
], ids=range(12))
def test_each_refusal_is_a_type_of_its_own(text, kind):
    with pytest.raises(kind) as trouble:
        wire.decode(PACT, text)
    assert trouble.value.do and len(str(trouble.value)) < 600


def test_words_too_long_are_not_sent():
    with pytest.raises(errors.TooLong):
        wire.encode(PACT, "a", 1, "", 9, Hail("x" * wire.LONGEST_DATAGRAM))
    with pytest.raises(errors.TooLong):
        wire.encode(PACT, "a", 1, "", 9, Load(bytes(wire.LONGEST_FRAME)))


@settings(max_examples=300, deadline=None)
@given(st.data())
def test_whatever_is_changed_on_the_way_is_refused_by_type(data):
    text = bytearray(wire.encode(PACT, "a", 1, "", 9, Load(b"xyz", (("a",), ("b", "c")))))
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
    if bytes(text) != wire.encode(PACT, "a", 1, "", 9, Load(b"xyz", (("a",), ("b", "c")))):
        with pytest.raises(REFUSALS):
            wire.decode(PACT, bytes(text))


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_a_peer_that_has_the_key_can_say_nothing_that_ends_in_another_error(body):
    for text in (body, sealed(body), sealed(b"\x96\xa1f\xa1a\x01\xa0\x09" + body)):
        try:
            wire.decode(PACT, text)
        except REFUSALS:
            pass


@settings(max_examples=200, deadline=None)
@given(st.lists(st.binary(min_size=1, max_size=40), max_size=8), st.lists(st.integers(1, 30), min_size=1))
def test_frames_come_whole_whatever_the_split(messages, cuts):
    stream, frames, got, cut = b"".join(map(wire.framed, messages)), wire.Frames(40), [], 0
    while stream:
        size = cuts[cut % len(cuts)]
        got += frames.feed(stream[:size])
        stream, cut = stream[size:], cut + 1
    assert got == messages and not frames.rest


@pytest.mark.parametrize("head, kind", [(bytes(4), errors.Unreadable), (b"\xff\xff\xff\xff", errors.TooLong)])
def test_a_frame_that_can_not_be_is_refused_and_nothing_of_it_kept(head, kind):
    frames = wire.Frames()
    with pytest.raises(kind):
        frames.feed(head + bytes(100))
    assert not frames.rest
    with pytest.raises(errors.Unreadable):
        frames.feed(wire.framed(b"x"))
