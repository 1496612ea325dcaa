"""Passes the records of each batch to the balancers that they address and writes back the actions."""

import msgspec

from cartdeal import settings
from cartdeal.balancer import Balancer
from cartdeal.balancer_types import ListedServer, LoadReport, ServerState
from cartdeal.benchlink import wire


class Reply:
    """The reply to one batch: the actions of all instances, in the order in which they were taken."""

    def __init__(self):
        self.records = bytearray()
        self.tail = bytearray()

    def add_text(self, code: int, instance: int, text: str):
        """Adds a record whose text is in the tail."""
        data = text.encode()
        self.records += wire.TEXT.pack(code, instance, len(self.tail), len(data))
        self.tail += data

    def take_frame(self, index: int) -> bytes:
        """The frame of the reply to the batch with this index; the reply is empty afterwards."""
        length = len(self.records) + len(self.tail)
        head = wire.REPLY_HEADER.pack(length, len(self.records) // wire.ACTION_SIZE, index)
        frame = head + self.records + self.tail
        self.records.clear()
        self.tail.clear()
        return frame


class SimulatedHost:
    """The host of one instance's balancer: it writes the balancer's actions as records of the reply.

    It numbers the servers that the instance has received, from 0, because the balancer identifies servers by
    index.
    """

    def __init__(self, instance: int, reply: Reply, clock_us: int):
        self.instance = instance
        self.reply = reply
        self.now = clock_us / 1e6
        self.server_names: list[bytes] = []
        self.server_indices: dict[bytes, int] = {}
        self.report_columns: dict[str, int] = {}
        self.balancer = None

    def server_index(self, name: bytes) -> int:
        """The index of a server; a server that is new gets the next one."""
        if name not in self.server_indices:
            self.server_indices[name] = len(self.server_names)
            self.server_names.append(name)
        return self.server_indices[name]

    def load_report(self, count: int, values: tuple) -> LoadReport | None:
        """The load report in the first `count` of the values; None if the server reported nothing."""
        if not count:
            return None
        positions = [self.report_columns.get(name, count) for name in settings.REPORT_COLUMNS]
        return settings.load_report(
            *(values[position] if position < count else None for position in positions)
        )

    def send_attempt(self, request: int, server: int, deadline: float):
        """Sends the request to the server; `deadline` is a time in seconds on the clock of the batches."""
        deadline_us = max(0, round(deadline * 1e6))
        self.reply.records += wire.DISPATCH.pack(
            16, self.instance, request, self.server_names[server], deadline_us
        )

    def reject(self, request: int, retry_after: float):
        """Answers that the request was not served and may be repeated after `retry_after` seconds."""
        self.reply.records += wire.BUSY.pack(17, self.instance, request, round(retry_after * 1e6))

    def fail(self, request: int):
        """Answers that the request failed and may have been executed."""
        self.reply.records += wire.ABORT.pack(18, self.instance, request)

    def cancel(self, request: int, attempt: int):
        """Cancels an attempt that is in flight."""
        self.reply.records += wire.WITHDRAW.pack(19, self.instance, request, attempt)

    def set_timer(self, token: int, delay: float):
        """Sets a timer of `delay` seconds, and of 1 us at least."""
        self.reply.records += wire.TIMER.pack(20, self.instance, token, max(1, round(delay * 1e6)))

    def probe(self, server: int):
        """Probes the server."""
        self.reply.records += wire.POLL.pack(21, self.instance, self.server_names[server])

    def log_note(self, text: str):
        """Writes a note to the log."""
        self.reply.add_text(24, self.instance, text)

    def watch(self, on: bool = True):
        """Starts a watch of the server list, or stops it."""
        self.reply.records += wire.LISTEN.pack(26, self.instance, on)

    def fetch_servers(self):
        """Requests the server list once."""
        self.reply.records += wire.GET_LIST.pack(27, self.instance)

    def close_idle(self, server: int):
        """Closes the idle connections to the server."""
        self.reply.records += wire.LET_GO.pack(22, self.instance, self.server_names[server])

    def send_peer_message(self, agent: int, message: bytes):
        """Sends a message to one agent, or to all agents if `agent` is -1."""
        offset = len(self.reply.tail)
        self.reply.records += wire.SAY.pack(23, self.instance, agent & 0xFFFF, offset, len(message))
        self.reply.tail += message


class BatchProcessor:
    """Processes batches for all instances.

    The handlers of events get the host of the instance, the body of the batch, and the positions of the
    record and of the tail in the body.
    """

    def __init__(self):
        self.reply = Reply()
        self.hosts: dict[int, SimulatedHost] = {}
        self.server_lists: dict[int, list[ListedServer]] = {}

    def process(self, clock_us: int, index: int, count: int, body: bytes) -> bytes:
        """Processes one batch and returns the frame of the reply. `clock_us` is in microseconds.

        An exception in a balancer is reported as a fault of its instance; the other instances go on.

        Raises:
            MalformedMessageError: the batch does not follow the protocol.
        """
        tail_start = count * wire.EVENT_SIZE
        now = clock_us / 1e6
        for position in range(0, tail_start, wire.EVENT_SIZE):
            code = body[position]
            if code == 20:  # a server list
                list_number, offset, size = wire.TABLE.unpack_from(body, position)
                self.server_lists[list_number] = wire.server_list(body, tail_start, offset, size)
                continue
            handler = self.HANDLERS.get(code)
            if handler is None:
                raise wire.MalformedMessageError(f"batch {index}: event code {code} is unknown")
            # The instance is at the same place in each of these records as in a STOP record.
            instance = wire.STOP.unpack_from(body, position)[0]
            if code == 16:  # a launch
                self.on_launch(instance, clock_us, body, position, tail_start)
                continue
            host = self.hosts.get(instance)
            if host is None:
                raise wire.MalformedMessageError(f"batch {index}: instance {instance} was never launched")
            host.now = now
            try:
                handler(self, host, body, position, tail_start)
            except wire.MalformedMessageError:
                raise
            except Exception as error:
                self.report_fault(instance, error)
        return self.reply.take_frame(index)

    def report_fault(self, instance: int, error: Exception):
        """Reports an exception in a balancer as a fault of its instance."""
        self.reply.add_text(25, instance, f"{type(error).__name__}: {error}")

    def on_launch(self, instance: int, clock_us: int, body: bytes, position: int, tail_start: int):
        """Starts an instance; one that exists is replaced by a new one without its state."""
        _, seed, offset, size = wire.LAUNCH.unpack_from(body, position)
        try:
            instance_settings = settings.decode(wire.tail_field(body, tail_start, offset, size))
        except (msgspec.MsgspecError, UnicodeError) as error:
            raise wire.MalformedMessageError(f"the settings of a launch can't be read: {error}") from None
        host = self.hosts[instance] = SimulatedHost(instance, self.reply, clock_us)
        host.report_columns = {
            name: column for column, name in enumerate(instance_settings.load_reports.columns)
        }
        try:
            host.balancer = Balancer(host, instance_settings.balancer_settings(seed))
        except Exception as error:
            self.report_fault(instance, error)

    def on_stop(self, host: SimulatedHost, body: bytes, position: int, tail_start: int):
        """Ends an instance."""
        del self.hosts[host.instance]

    def on_request(self, host: SimulatedHost, body: bytes, position: int, tail_start: int):
        """Passes on a client's request."""
        _, number, request_class, tenant, key, deadline_us, _, flags = wire.INBOUND.unpack_from(
            body, position
        )
        # Flag 2: the client has sent the request before.
        host.balancer.on_request(number, request_class, tenant, key, deadline_us / 1e6, bool(flags & 2))

    def on_attempt_ended(self, host: SimulatedHost, body: bytes, position: int, tail_start: int):
        """Passes on the outcome of an attempt."""
        _, number, name, code, duration_us, attempt, is_finished, report_size, *values = (
            wire.ENDED.unpack_from(body, position)
        )
        outcome = wire.decode_code(wire.OUTCOMES, code, "outcome")
        report = host.load_report(report_size, values)
        host.balancer.on_attempt_ended(
            number, host.server_index(name), outcome, attempt, duration_us / 1e6, bool(is_finished), report
        )

    def on_head_received(self, host: SimulatedHost, body: bytes, position: int, tail_start: int):
        """Checks the record of a response head; no decision depends on it."""
        wire.HEAD_RECEIVED.unpack_from(body, position)

    def on_client_disconnected(self, host: SimulatedHost, body: bytes, position: int, tail_start: int):
        """Passes on that the client of a request has disconnected."""
        host.balancer.on_client_disconnected(wire.ABANDONED.unpack_from(body, position)[1])

    def on_timer(self, host: SimulatedHost, body: bytes, position: int, tail_start: int):
        """Passes on that a timer has expired."""
        host.balancer.on_timer(wire.ELAPSED.unpack_from(body, position)[1])

    def on_probe_ended(self, host: SimulatedHost, body: bytes, position: int, tail_start: int):
        """Passes on the outcome of a probe."""
        _, name, code, duration_us, report_size, *values = wire.PING_RESULT.unpack_from(body, position)
        outcome = wire.decode_code(wire.OUTCOMES, code, "outcome")
        host.balancer.on_probe_ended(
            host.server_index(name), outcome, duration_us / 1e6, host.load_report(report_size, values)
        )

    def on_peer_message(self, host: SimulatedHost, body: bytes, position: int, tail_start: int):
        """Checks the message of another agent and drops it: agents need no messages from each other."""
        _, _, offset, size = wire.PEER.unpack_from(body, position)
        wire.tail_field(body, tail_start, offset, size)

    def on_server_list_change(self, host: SimulatedHost, body: bytes, position: int, tail_start: int):
        """Passes on a failed watch or a server list; a complete list also removes the servers not in it."""
        _, _, change_kind, list_number = wire.ROSTER_CHANGE.unpack_from(body, position)
        # 0: a complete list. 1: a complete list that is not from the current watch. 2: the watch failed.
        # 3: changed servers only.
        if change_kind == 2:
            host.balancer.on_watch_failed()
            return
        if change_kind not in (0, 1, 3) or list_number not in self.server_lists:
            raise wire.MalformedMessageError(f"a list change of kind {change_kind} names list {list_number}")
        listed_servers = [
            server._replace(server_index=host.server_index(server.name))
            for server in self.server_lists[list_number]
        ]
        if change_kind != 3:
            listed_names = {server.name for server in listed_servers}
            listed_servers += [
                ListedServer(index, name, 0, 0, 0, ServerState.GONE, 1.0, 0.0)
                for index, name in enumerate(host.server_names)
                if name not in listed_names
            ]
        host.balancer.on_server_list(listed_servers, change_kind != 1)

    HANDLERS = {
        16: on_launch,
        17: on_head_received,
        18: on_request,
        19: on_peer_message,
        21: on_probe_ended,
        22: on_attempt_ended,
        23: on_server_list_change,
        24: on_client_disconnected,
        25: on_timer,
        26: on_stop,
    }


def serve(source, sink):
    """Processes the batches of the input stream until it ends.

    Raises:
        MalformedMessageError: a batch does not follow the protocol.
        BrokenPipeError: the output stream is closed.
    """
    processor = BatchProcessor()
    for clock_us, index, count, body in wire.frames(source):
        sink.write(processor.process(clock_us, index, count, body))
        sink.flush()
