"""Clients of a soak: usual ones, judged, and those that misbehave, which only have to do no harm."""

import gevent
from gevent import socket

from cartdeal.agent.connection import Connection, MalformedMessageError
from cartdeal.rig.soak.relay import LOOPBACK_HOST
from cartdeal.rig.soak.rule_checker import SoakRequest

HTTP_METHODS = {"read": "GET", "mark": "POST", "once": "POST"}
REQUEST_TIMEOUT_S = 2.0  # seconds
SHORT_REQUEST_TIMEOUT_S = 0.3
LATE_ANSWER_WAIT_S = 4.0  # for which a client waits for an answer beyond its time, to see whether it is lost
EARLY_CLOSE_SHARE = 0.05  # share of requests whose client leaves early
SLOW_WRITE_SHARE = 0.05  # share that is written in pieces
SLOW_WRITE_PIECE_COUNT = 4
SLOW_WRITE_PAUSE_S = 0.25  # seconds
PIPELINED_SHARE = 0.05  # share that is sent with others ahead of it


class ClientConnection(Connection):
    """Takes several answers, one behind the other; a connection to a server takes one at a time."""

    def on_message_begin(self):
        messages, self.messages = self.messages, []
        super().on_message_begin()
        self.messages = messages


class WellBehavedClients:
    """Open-loop clients of one agent, each request with a life of its own; connections are kept."""

    def __init__(self, soak, agent):
        self.soak, self.agent, self.random = soak, agent, soak.random
        self.idle_connections: list[Connection] = []

    def run(self, rate: float, end_at: float):
        while self.soak.now() < end_at:
            gevent.sleep(self.random.expovariate(rate))
            if self.agent.port:
                gevent.spawn(self.send_pipeline)

    def send_pipeline(self):
        count = 3 if self.random.random() < PIPELINED_SHARE else 1
        timeout = self.random.choice(
            (SHORT_REQUEST_TIMEOUT_S, REQUEST_TIMEOUT_S, REQUEST_TIMEOUT_S)
        )  # answers come in order: one for all
        requests = [self.new_request(timeout) for _ in range(count)]
        connection, was_used = self.open_connection()
        if connection is None:
            return
        if not self.send(connection, requests):
            return
        for offset, request in enumerate(requests):
            if not self.receive_answer(connection, request, was_used):
                return self.on_connection_closed(request, requests[offset + 1 :])
        self.idle_connections.append(connection)
        return None

    def on_connection_closed(self, last_request, following_requests):
        """The connection ended with the `last` one.

        Where that was answered, those sent with it were read with it, and are owed an answer; else it speaks
        for them.
        """
        for request in following_requests:
            request.closed_at = self.soak.now()
            request.is_excused = last_request.answered_at is None or self.agent.was_killed_since(
                request.sent_at
            )
            self.soak.rule_checker.on_no_answer(
                request, request.closed_at, "closed behind an answer to the one before"
            )

    def new_request(self, timeout: float) -> SoakRequest:
        request_class = self.random.choice(list(HTTP_METHODS))
        return SoakRequest(self.soak.new_id(), request_class, 0.0, timeout, self.agent.number)

    def open_connection(self):
        while self.idle_connections:
            connection = self.idle_connections.pop()
            if not connection.closed and not connection.has_unread_input():
                return connection, True
            connection.close()
        try:
            sock = socket.create_connection((LOOPBACK_HOST, self.agent.port), timeout=LATE_ANSWER_WAIT_S)
        except OSError:
            return None, False
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return ClientConnection(sock, reads_responses=True), False

    def send(self, connection, requests) -> bool:
        """Writes them, a single one slowly now and then; false where the connection took no more."""
        text = b"".join(request_bytes(each) for each in requests)
        is_slow = len(requests) == 1 and self.random.random() < SLOW_WRITE_SHARE
        size = -(-len(text) // (SLOW_WRITE_PIECE_COUNT if is_slow else 1))
        try:
            for offset in range(0, len(text), size):
                if offset:
                    gevent.sleep(SLOW_WRITE_PAUSE_S)
                if offset + size >= len(text):
                    self.register(requests)
                connection.sock.sendall(text[offset : offset + size])
        except OSError:
            connection.close()
            for request in requests:  # the agent's machine did not take them whole
                request.closed_at, request.is_excused = self.soak.now(), True
            return False
        return True

    def register(self, requests):
        """Their last bytes are written now."""
        for request in requests:
            request.sent_at = self.soak.now()
            self.soak.rule_checker.on_request_sent(request)

    def receive_answer(self, connection, request, was_used) -> bool:
        """Waits for one answer; false where the connection is of no further use."""
        rule_checker, wait = self.soak.rule_checker, request.timeout + LATE_ANSWER_WAIT_S
        if self.random.random() < EARLY_CLOSE_SHARE:
            wait = self.random.random() * request.timeout
            return self.close_early(connection, request, wait)
        try:
            while not connection.messages:
                remaining = request.sent_at + wait - self.soak.now()
                if remaining <= 0:
                    return self.handle_no_answer(
                        connection, request, False, "no answer, and the connection stays"
                    )
                if not connection.receive(remaining):
                    return self.handle_no_answer(connection, request, was_used, "closed")
        except TimeoutError:
            return self.handle_no_answer(connection, request, False, "no answer, and the connection stays")
        except (OSError, MalformedMessageError) as error:
            return self.handle_no_answer(connection, request, was_used, repr(error))
        message = connection.messages.pop(0)
        was_paused = self.agent.was_paused_since(request.sent_at)
        rule_checker.on_answer(request, self.soak.now(), message.status, message.body, was_paused)
        if not message.keep_alive:
            connection.close()
        return message.keep_alive

    def close_early(self, connection, request, wait) -> bool:
        """Closes early; an answer that has come by then counts."""
        gevent.sleep(wait)
        connection.close()
        request.closed_at = self.soak.now()
        return False

    def handle_no_answer(self, connection, request, may_cross, detail) -> bool:
        """No answer came. `may_cross`: whether the connection ended, and had been used before.

        Its end may have crossed the request then, if no server had it.
        """
        connection.close()
        has_crossed = may_cross and not request.executions
        request.is_excused |= has_crossed or self.agent.was_killed_since(request.sent_at)
        request.closed_at = self.soak.now()
        self.soak.rule_checker.on_no_answer(request, self.soak.now(), detail)
        return False


def request_bytes(request: SoakRequest) -> bytes:
    method = HTTP_METHODS[request.request_class]
    body = b"body" if method == "POST" else b""
    key = f"Idempotency-Key: {request.id}\r\n" if request.request_class == "mark" else ""
    request_head = (
        f"{method} /{request.request_class}/x HTTP/1.1\r\nX-Request-ID: {request.id}\r\n"
        f"X-Timeout: {int(request.timeout * 1e3)}m\r\n{key}Content-Length: {len(body)}\r\n\r\n"
    )
    return request_head.encode() + body


# Clients that misbehave


def sends_half_a_request(soak, agent):
    """Stops in the middle, and stays: it is owed an answer or the end within 3 s."""
    sock = socket.create_connection((LOOPBACK_HOST, agent.port))
    sock.sendall(request_bytes(SoakRequest("half-" + soak.new_id(), "once", 0.0, 1.0, agent.number))[:-2])
    started_at = soak.now()
    sock.settimeout(10.0)
    try:
        sock.recv(1000)
    except OSError:
        pass
    sock.close()
    if soak.now() - started_at > 3.0 + 0.5 and not agent.was_paused_since(started_at):
        soak.rule_checker.add_violation(
            "half request", soak.now(), f"agent {agent.number}", "no answer within 3 s"
        )


def sends_garbage(soak, agent):
    sock = socket.create_connection((LOOPBACK_HOST, agent.port))
    sock.sendall(soak.random.randbytes(2000))
    sock.close()


def stays_silent(soak, agent):
    sock = socket.create_connection((LOOPBACK_HOST, agent.port))
    gevent.sleep(3.0)
    sock.close()


def reads_no_answers(soak, agent):
    """Sends good requests, reads no answer, and goes: what it asked is for nobody."""
    sock = socket.create_connection((LOOPBACK_HOST, agent.port))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    requests = [SoakRequest(soak.new_id(), "read", soak.now(), 2.0, agent.number) for _ in range(40)]
    for request in requests:
        request.is_excused = True
        soak.rule_checker.on_request_sent(request)
    sock.settimeout(1.0)
    try:
        sock.sendall(b"".join(map(request_bytes, requests)))
        gevent.sleep(1.0)
    except OSError:
        pass
    sock.close()
    for request in requests:
        request.closed_at = soak.now()


MISBEHAVIOURS = (sends_half_a_request, sends_garbage, stays_silent, reads_no_answers)


def misbehave(soak, agent):
    """One bad client; what it meets is its own affair."""
    try:
        soak.random.choice(MISBEHAVIOURS)(soak, agent)
    except OSError:
        pass
