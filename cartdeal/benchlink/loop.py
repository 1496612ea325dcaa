"""Feeds each batch's records to the instances they are for and writes their answers back."""

import msgspec

from cartdeal import settings
from cartdeal.balancer import Balancer
from cartdeal.balancer_types import ListedServer, LoadReport, ServerState
from cartdeal.benchlink import wire


class Reply:
    """The actions of one batch, in the order in which they were taken."""

    def __init__(self):
        self.records = bytearray()
        self.tail = bytearray()

    def text(self, code: int, instance: int, words: str):
        data = words.encode()
        self.records += wire.TEXT.pack(code, instance, len(self.tail), len(data))
        self.tail += data

    def framed(self, index: int) -> bytes:
        length = len(self.records) + len(self.tail)
        head = wire.REPLY_HEADER.pack(length, len(self.records) // wire.ACTION_SIZE, index)
        frame = head + self.records + self.tail
        self.records.clear()
        self.tail.clear()
        return frame


class Seat:
    """One instance: the host of its balancer, and the small indices of the servers it has heard of."""

    def __init__(self, instance: int, reply: Reply, clock: int):
        self.instance = instance
        self.reply = reply
        self.now = clock / 1e6
        self.names: list[bytes] = []
        self.indices: dict[bytes, int] = {}
        self.columns: dict[str, int] = {}
        self.balancer = None

    def index(self, name: bytes) -> int:
        if name not in self.indices:
            self.indices[name] = len(self.names)
            self.names.append(name)
        return self.indices[name]

    def load(self, count: int, values: tuple) -> LoadReport | None:
        if not count:
            return None
        said = [self.columns.get(name, count) for name in settings.REPORT_COLUMNS]
        return settings.load_report(*(values[place] if place < count else None for place in said))

    def send_attempt(self, request: int, server: int, deadline: float):
        stop = max(0, round(deadline * 1e6))
        self.reply.records += wire.DISPATCH.pack(16, self.instance, request, self.names[server], stop)

    def reject(self, request: int, wait: float):
        self.reply.records += wire.BUSY.pack(17, self.instance, request, round(wait * 1e6))

    def fail(self, request: int):
        self.reply.records += wire.ABORT.pack(18, self.instance, request)

    def cancel(self, request: int, attempt: int):
        self.reply.records += wire.WITHDRAW.pack(19, self.instance, request, attempt)

    def set_timer(self, token: int, delay: float):
        self.reply.records += wire.TIMER.pack(20, self.instance, token, max(1, round(delay * 1e6)))

    def probe(self, server: int):
        self.reply.records += wire.POLL.pack(21, self.instance, self.names[server])

    def log_note(self, text: str):
        self.reply.text(24, self.instance, text)

    def watch(self, on: bool = True):
        self.reply.records += wire.LISTEN.pack(26, self.instance, on)

    def fetch_servers(self):
        self.reply.records += wire.GET_LIST.pack(27, self.instance)

    def close_idle(self, server: int):
        self.reply.records += wire.LET_GO.pack(22, self.instance, self.names[server])

    def send_peer_message(self, agent: int, message: bytes):
        """Tells one agent, or all for an agent of -1."""
        place = len(self.reply.tail)
        self.reply.records += wire.SAY.pack(23, self.instance, agent & 0xFFFF, place, len(message))
        self.reply.tail += message


class Loop:
    def __init__(self):
        self.reply = Reply()
        self.seats: dict[int, Seat] = {}
        self.tables: dict[int, list[ListedServer]] = {}

    def answer(self, clock: int, index: int, count: int, body: bytes) -> bytes:
        """Plays one batch. A broken decision is told as a fault of its instance, not guessed around."""
        tail = count * wire.EVENT_SIZE
        now = clock / 1e6
        for place in range(0, tail, wire.EVENT_SIZE):
            code = body[place]
            if code == 20:
                number, offset, size = wire.TABLE.unpack_from(body, place)
                self.tables[number] = wire.entries(body, tail, offset, size)
                continue
            handle = self.HANDLERS.get(code)
            if handle is None:
                raise wire.Malformed(f"batch {index}: event code {code} is unknown")
            instance = wire.STOP.unpack_from(body, place)[0]
            if code == 16:
                self.launched(instance, clock, body, place, tail)
                continue
            seat = self.seats.get(instance)
            if seat is None:
                raise wire.Malformed(f"batch {index}: instance {instance} was never launched")
            seat.now = now
            try:
                handle(self, seat, body, place, tail)
            except wire.Malformed:
                raise
            except Exception as trouble:
                self.fault(instance, trouble)
        return self.reply.framed(index)

    def fault(self, instance: int, trouble: Exception):
        self.reply.text(25, instance, f"{type(trouble).__name__}: {trouble}")

    def launched(self, instance: int, clock: int, body: bytes, place: int, tail: int):
        _, seed, offset, size = wire.LAUNCH.unpack_from(body, place)
        try:
            given = settings.decode(wire.cut(body, tail, offset, size))
        except (msgspec.MsgspecError, UnicodeError) as trouble:
            raise wire.Malformed(f"the settings of a launch can't be read: {trouble}") from None
        seat = self.seats[instance] = Seat(instance, self.reply, clock)
        seat.columns = {name: place for place, name in enumerate(given.load_reports.columns)}
        try:
            seat.balancer = Balancer(seat, given.balancer_settings(seed))
        except Exception as trouble:
            self.fault(instance, trouble)

    def stopped(self, seat: Seat, body: bytes, place: int, tail: int):
        del self.seats[seat.instance]

    def inbound(self, seat: Seat, body: bytes, place: int, tail: int):
        _, number, request_class, tenant, key, limit, _, bits = wire.INBOUND.unpack_from(body, place)
        seat.balancer.on_request(number, request_class, tenant, key, limit / 1e6, bool(bits & 2))

    def ended(self, seat: Seat, body: bytes, place: int, tail: int):
        _, number, name, code, took, attempt, final, reported, *values = wire.ENDED.unpack_from(body, place)
        outcome = wire.known(wire.OUTCOMES, code, "outcome")
        load = seat.load(reported, values)
        seat.balancer.on_attempt_ended(
            number, seat.index(name), outcome, attempt, took / 1e6, bool(final), load
        )

    def head_received(self, seat: Seat, body: bytes, place: int, tail: int):
        wire.HEAD_RECEIVED.unpack_from(body, place)  # no decision waits for it

    def client_disconnected(self, seat: Seat, body: bytes, place: int, tail: int):
        seat.balancer.on_client_disconnected(wire.ABANDONED.unpack_from(body, place)[1])

    def elapsed(self, seat: Seat, body: bytes, place: int, tail: int):
        seat.balancer.on_timer(wire.ELAPSED.unpack_from(body, place)[1])

    def ping_result(self, seat: Seat, body: bytes, place: int, tail: int):
        _, name, code, took, reported, *values = wire.PING_RESULT.unpack_from(body, place)
        outcome = wire.known(wire.OUTCOMES, code, "outcome")
        seat.balancer.on_probe_ended(seat.index(name), outcome, took / 1e6, seat.load(reported, values))

    def peer(self, seat: Seat, body: bytes, place: int, tail: int):
        _, _, offset, size = wire.PEER.unpack_from(body, place)
        wire.cut(body, tail, offset, size)  # agents need no words from each other

    def roster_change(self, seat: Seat, body: bytes, place: int, tail: int):
        _, _, how, number = wire.ROSTER_CHANGE.unpack_from(body, place)
        if how == 2:
            seat.balancer.on_watch_failed()
            return
        if how not in (0, 1, 3) or number not in self.tables:
            raise wire.Malformed(f"a list change of kind {how} names list {number}")
        lines = [line._replace(server_index=seat.index(line.name)) for line in self.tables[number]]
        if how != 3:
            here = {line.name for line in lines}
            lines += [
                ListedServer(place, name, 0, 0, 0, ServerState.GONE, 1.0, 0.0)
                for place, name in enumerate(seat.names)
                if name not in here
            ]
        seat.balancer.on_server_list(lines, how != 1)

    HANDLERS = {
        16: launched,
        17: head_received,
        18: inbound,
        19: peer,
        21: ping_result,
        22: ended,
        23: roster_change,
        24: client_disconnected,
        25: elapsed,
        26: stopped,
    }


def serve(source, sink):
    loop = Loop()
    for clock, index, count, body in wire.frames(source):
        sink.write(loop.answer(clock, index, count, body))
        sink.flush()
