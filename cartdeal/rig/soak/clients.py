"""Clients of a soak: usual ones, judged, and those that misbehave, which only have to do no harm."""

import gevent
from gevent import socket

from cartdeal.agent.connection import Connection, MalformedMessageError
from cartdeal.rig.soak.judge import SoakRequest
from cartdeal.rig.soak.relay import HOST

KINDS = {"read": "GET", "mark": "POST", "once": "POST"}
TIMEOUT = 2.0  # seconds
SHORT_TIMEOUT = 0.3
PATIENCE = 4.0  # for which a client waits for an answer beyond its time, to see whether it is lost
LEAVES = 0.05  # share of requests whose client leaves early
SLOW = 0.05  # share that is written in pieces
PIECES = 4
PIECE_PAUSE = 0.25  # seconds
PIPELINED = 0.05  # share that is sent with others ahead of it


class ClientSide(Connection):
    """Takes several answers, one behind the other; a connection to a server takes one at a time."""

    def on_message_begin(self):
        messages, self.messages = self.messages, []
        super().on_message_begin()
        self.messages = messages


class UsualClients:
    """Open-loop clients of one agent, each request with a life of its own; connections are kept."""

    def __init__(self, soak, agent):
        self.soak, self.agent, self.random = soak, agent, soak.random
        self.idle: list[Connection] = []

    def run(self, rate: float, until: float):
        while self.soak.now() < until:
            gevent.sleep(self.random.expovariate(rate))
            if self.agent.port:
                gevent.spawn(self.ask)

    def ask(self):
        count = 3 if self.random.random() < PIPELINED else 1
        timeout = self.random.choice((SHORT_TIMEOUT, TIMEOUT, TIMEOUT))  # answers come in order: one for all
        requests = [self.make(timeout) for _ in range(count)]
        connection, used = self.take()
        if connection is None:
            return
        if not self.send(connection, requests):
            return
        for place, request in enumerate(requests):
            if not self.hear(connection, request, used):
                return self.give_up(request, requests[place + 1 :])
        self.idle.append(connection)
        return None

    def give_up(self, last, behind):
        """The connection ended with the `last` one.

        Where that was answered, those sent with it were read with it, and are owed an answer; else it speaks
        for them.
        """
        for request in behind:
            request.left_at = self.soak.now()
            request.excused = last.answered_at is None or self.agent.was_killed_since(request.sent_at)
            self.soak.judge.unanswered(request, request.left_at, "closed behind an answer to the one before")

    def make(self, timeout: float) -> SoakRequest:
        kind = self.random.choice(list(KINDS))
        return SoakRequest(self.soak.new_id(), kind, 0.0, timeout, self.agent.number)

    def take(self):
        while self.idle:
            connection = self.idle.pop()
            if not connection.closed and not connection.has_unread_input():
                return connection, True
            connection.close()
        try:
            sock = socket.create_connection((HOST, self.agent.port), timeout=PATIENCE)
        except OSError:
            return None, False
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return ClientSide(sock, reads_responses=True), False

    def send(self, connection, requests) -> bool:
        """Writes them, a single one slowly now and then; false where the connection took no more."""
        text = b"".join(request_bytes(each) for each in requests)
        is_slow = len(requests) == 1 and self.random.random() < SLOW
        size = -(-len(text) // (PIECES if is_slow else 1))
        try:
            for place in range(0, len(text), size):
                if place:
                    gevent.sleep(PIECE_PAUSE)
                if place + size >= len(text):
                    self.register(requests)
                connection.sock.sendall(text[place : place + size])
        except OSError:
            connection.close()
            for request in requests:  # the agent's machine did not take them whole
                request.left_at, request.excused = self.soak.now(), True
            return False
        return True

    def register(self, requests):
        """Their last bytes are written now."""
        for request in requests:
            request.sent_at = self.soak.now()
            self.soak.judge.sent(request)

    def hear(self, connection, request, used) -> bool:
        """Waits for one answer; false where the connection is of no further use."""
        judge, wait = self.soak.judge, request.timeout + PATIENCE
        if self.random.random() < LEAVES:
            wait = self.random.random() * request.timeout
            return self.leave(connection, request, wait)
        try:
            while not connection.messages:
                left = request.sent_at + wait - self.soak.now()
                if left <= 0:
                    return self.lost(connection, request, False, "no answer, and the connection stays")
                if not connection.receive(left):
                    return self.lost(connection, request, used, "closed")
        except TimeoutError:
            return self.lost(connection, request, False, "no answer, and the connection stays")
        except (OSError, MalformedMessageError) as trouble:
            return self.lost(connection, request, used, repr(trouble))
        message = connection.messages.pop(0)
        held_up = self.agent.was_paused_since(request.sent_at)
        judge.answered(request, self.soak.now(), message.status, message.body, held_up)
        if not message.keep_alive:
            connection.close()
        return message.keep_alive

    def leave(self, connection, request, wait) -> bool:
        """Closes early; an answer that has come by then counts."""
        gevent.sleep(wait)
        connection.close()
        request.left_at = self.soak.now()
        return False

    def lost(self, connection, request, may_cross, how) -> bool:
        """No answer came. `may_cross`: whether the connection ended, and had been used before.

        Its end may have crossed the request then, if no server had it.
        """
        connection.close()
        crossed = may_cross and not request.ran
        request.excused |= crossed or self.agent.was_killed_since(request.sent_at)
        request.left_at = self.soak.now()
        self.soak.judge.unanswered(request, self.soak.now(), how)
        return False


def request_bytes(request: SoakRequest) -> bytes:
    method = KINDS[request.kind]
    body = b"body" if method == "POST" else b""
    key = f"Idempotency-Key: {request.id}\r\n" if request.kind == "mark" else ""
    head = (
        f"{method} /{request.kind}/x HTTP/1.1\r\nX-Request-ID: {request.id}\r\n"
        f"X-Timeout: {int(request.timeout * 1e3)}m\r\n{key}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


# Clients that misbehave


def half_request(soak, agent):
    """Stops in the middle, and stays: it is owed an answer or the end within 3 s."""
    sock = socket.create_connection((HOST, agent.port))
    sock.sendall(request_bytes(SoakRequest("half-" + soak.new_id(), "once", 0.0, 1.0, agent.number))[:-2])
    begun = soak.now()
    sock.settimeout(10.0)
    try:
        sock.recv(1000)
    except OSError:
        pass
    sock.close()
    if soak.now() - begun > 3.0 + 0.5 and not agent.was_paused_since(begun):
        soak.judge.break_("half request", soak.now(), f"agent {agent.number}", "no answer within 3 s")


def garbage(soak, agent):
    sock = socket.create_connection((HOST, agent.port))
    sock.sendall(soak.random.randbytes(2000))
    sock.close()


def silent(soak, agent):
    sock = socket.create_connection((HOST, agent.port))
    gevent.sleep(3.0)
    sock.close()


def asks_and_reads_nothing(soak, agent):
    """Sends good requests, reads no answer, and goes: what it asked is for nobody."""
    sock = socket.create_connection((HOST, agent.port))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    requests = [SoakRequest(soak.new_id(), "read", soak.now(), 2.0, agent.number) for _ in range(40)]
    for request in requests:
        request.excused = True
        soak.judge.sent(request)
    sock.settimeout(1.0)
    try:
        sock.sendall(b"".join(map(request_bytes, requests)))
        gevent.sleep(1.0)
    except OSError:
        pass
    sock.close()
    for request in requests:
        request.left_at = soak.now()


BAD = (half_request, garbage, silent, asks_and_reads_nothing)


def misbehave(soak, agent):
    """One bad client; what it meets is its own affair."""
    try:
        soak.random.choice(BAD)(soak, agent)
    except OSError:
        pass
