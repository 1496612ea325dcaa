"""Clients of a soak.

The requests of well-behaved clients are checked; clients that misbehave only must not harm the others.
"""

import gevent
from gevent import socket

from cartdeal.agent.connection import Connection
from cartdeal.agent.message import MalformedMessageError
from cartdeal.rig.soak.relay import LOOPBACK_HOST
from cartdeal.rig.soak.rule_checker import SoakRequest

HTTP_METHODS = {"read": "GET", "mark": "POST", "once": "POST"}
REQUEST_TIMEOUT_S = 2.0
SHORT_REQUEST_TIMEOUT_S = 0.3
LATE_ANSWER_WAIT_S = 4.0  # for an answer, beyond the request's timeout, before the request counts as lost
EARLY_CLOSE_SHARE = 0.05  # of requests whose client closes before an answer
SLOW_WRITE_SHARE = 0.05  # of requests that are written in pieces
SLOW_WRITE_PIECE_COUNT = 4
SLOW_WRITE_PAUSE_S = 0.25
PIPELINED_SHARE = 0.05  # of the sends, which then carry three requests on one connection


class ClientConnection(Connection):
    """A client's connection, which takes several answers in a row; one to a server takes one at a time."""

    def may_begin_message(self, position: int, end: int) -> bool:
        """Takes all input behind an answer for another answer."""
        return True

    def on_message_begin(self):
        """Keeps the answers that were received and not yet read."""
        messages, self.messages = self.messages, []
        super().on_message_begin()
        self.messages = messages


class WellBehavedClients:
    """Open-loop clients of one agent; each request runs on its own, and connections are reused."""

    def __init__(self, soak, agent):
        self.soak, self.agent, self.random = soak, agent, soak.random
        self.idle_connections: list[Connection] = []

    def run(self, rate: float, end_at: float):
        """Sends requests at random intervals, `rate` a second, until `end_at`."""
        while self.soak.now() < end_at:
            gevent.sleep(self.random.expovariate(rate))
            if self.agent.port:
                gevent.spawn(self.send_pipeline)

    def send_pipeline(self):
        """Sends one request, or several on one connection, and waits for the answers."""
        count = 3 if self.random.random() < PIPELINED_SHARE else 1
        # Answers come in the order of the requests, so all requests of a pipeline have the same timeout.
        timeout = self.random.choice((SHORT_REQUEST_TIMEOUT_S, REQUEST_TIMEOUT_S, REQUEST_TIMEOUT_S))
        requests = [self.new_request(timeout) for _ in range(count)]
        connection, was_used = self.open_connection()
        if connection is None:
            return
        if not self.send(connection, requests):
            return
        for index, request in enumerate(requests):
            if not self.receive_answer(connection, request, was_used):
                return self.on_connection_closed(request, requests[index + 1 :])
        self.idle_connections.append(connection)
        return None

    def on_connection_closed(self, last_request, following_requests):
        """Handles the requests behind the last one that the connection served.

        If the last request was answered, the agent read those behind it too and owes each an answer. If not,
        its own check covers them.
        """
        for request in following_requests:
            request.closed_at = self.soak.now()
            request.is_excused = last_request.answered_at is None or self.agent.was_killed_since(
                request.sent_at
            )
            self.soak.rule_checker.on_no_answer(
                request, request.closed_at, "closed after the answer to an earlier request"
            )

    def new_request(self, timeout: float) -> SoakRequest:
        """A request of a random class, which is not yet sent."""
        request_class = self.random.choice(list(HTTP_METHODS))
        return SoakRequest(self.soak.new_id(), request_class, 0.0, timeout, self.agent.number)

    def open_connection(self):
        """A connection, or None if the agent refuses it, and whether it was used before."""
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
        """Writes the requests, a single one slowly at times; false if the connection broke."""
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
            # The connection broke before the requests were sent whole.
            for request in requests:
                request.closed_at, request.is_excused = self.soak.now(), True
            return False
        return True

    def register(self, requests):
        """Records that the last bytes of the requests are written now."""
        for request in requests:
            request.sent_at = self.soak.now()
            self.soak.rule_checker.on_request_sent(request)

    def receive_answer(self, connection, request, was_used) -> bool:
        """Waits for one answer; false if the connection can't be used again."""
        rule_checker, wait = self.soak.rule_checker, request.timeout + LATE_ANSWER_WAIT_S
        if self.random.random() < EARLY_CLOSE_SHARE:
            wait = self.random.random() * request.timeout
            return self.close_early(connection, request, wait)
        try:
            while not connection.messages:
                remaining = request.sent_at + wait - self.soak.now()
                if remaining <= 0:
                    return self.handle_no_answer(
                        connection, request, False, "no answer, and the connection stays open"
                    )
                if not connection.receive(remaining):
                    return self.handle_no_answer(connection, request, was_used, "closed")
        except TimeoutError:
            return self.handle_no_answer(
                connection, request, False, "no answer, and the connection stays open"
            )
        except (OSError, MalformedMessageError) as error:
            return self.handle_no_answer(connection, request, was_used, repr(error))
        message = connection.messages.pop(0)
        was_paused = self.agent.was_paused_since(request.sent_at)
        rule_checker.on_answer(request, self.soak.now(), message.status, message.body, was_paused)
        if not message.keep_alive:
            connection.close()
        return message.keep_alive

    def close_early(self, connection, request, wait) -> bool:
        """Closes the connection after `wait` seconds without reading an answer."""
        gevent.sleep(wait)
        connection.close()
        request.closed_at = self.soak.now()
        return False

    def handle_no_answer(self, connection, request, may_cross, detail) -> bool:
        """Reports a request that got no answer, unless that is excused.

        `may_cross`: the connection had been used before and was closed. The agent may have closed it while
        the request was on its way, which is excused if no server received the request.
        """
        connection.close()
        has_crossed = may_cross and not request.executions
        request.is_excused |= has_crossed or self.agent.was_killed_since(request.sent_at)
        request.closed_at = self.soak.now()
        self.soak.rule_checker.on_no_answer(request, self.soak.now(), detail)
        return False


def request_bytes(request: SoakRequest) -> bytes:
    """Encodes a request as HTTP/1.1."""
    method = HTTP_METHODS[request.request_class]
    body = b"body" if method == "POST" else b""
    key = f"Idempotency-Key: {request.id}\r\n" if request.request_class == "mark" else ""
    request_head = (
        f"{method} /{request.request_class}/x HTTP/1.1\r\nX-Request-ID: {request.id}\r\n"
        f"X-Timeout: {int(request.timeout * 1e3)}m\r\n{key}Content-Length: {len(body)}\r\n\r\n"
    )
    return request_head.encode() + body


# Clients that misbehave.


def sends_half_a_request(soak, agent):
    """Stops in the middle of a request and stays; the agent has to answer or close within 3 s."""
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
    """Sends random bytes and closes."""
    sock = socket.create_connection((LOOPBACK_HOST, agent.port))
    sock.sendall(soak.random.randbytes(2000))
    sock.close()


def stays_silent(soak, agent):
    """Opens a connection, sends nothing, and closes after 3 s."""
    sock = socket.create_connection((LOOPBACK_HOST, agent.port))
    gevent.sleep(3.0)
    sock.close()


def reads_no_answers(soak, agent):
    """Sends good requests, reads no answer and closes: nobody waits for the answers."""
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
    """Plays one misbehaving client; errors that it meets don't count."""
    try:
        soak.random.choice(MISBEHAVIOURS)(soak, agent)
    except OSError:
        pass
