"""Makes the system calls of an agent fail, as Linux documents that they may.

A call fails before it reaches the system, so what it would have done has not been done.
"""

import errno
import os
import select
from dataclasses import dataclass
from random import Random
from types import SimpleNamespace

import gevent.socket

from cartdeal.agent import connection

SOCKET_CALLS = (
    "bind",
    "listen",
    "accept",
    "connect",
    "send",
    "recv_into",
    "recvfrom",
    "sendto",
    "shutdown",
    "setsockopt",
)
FAILABLE_CALLS = ("socket", "write", "poll", *SOCKET_CALLS)


@dataclass
class FailurePlan:
    """Calls that fail: the next `times` of them, or each by `chance`. `only(sock)` says on which sockets, or
    descriptors where the call is `write`.
    """

    errnos: tuple[int, ...]
    remaining_count: float
    chance: float
    only: object


class SystemFaults:
    """Installed once in a process or test; `fail` says which calls fail from then on."""

    def __init__(self, seed=0):
        self.random = Random(seed)
        self.plans: dict[str, FailurePlan] = {}
        self.counts = dict.fromkeys(FAILABLE_CALLS, 0)  # of calls that were made to fail

    def fail(self, call, *errnos, times=float("inf"), chance=1.0, only=lambda sock: True):
        assert call in FAILABLE_CALLS, call
        self.plans[call] = FailurePlan(errnos, times, chance, only)

    def clear(self, *calls):
        for call in calls or list(self.plans):
            self.plans.pop(call, None)

    def check(self, call, sock=None):
        """Raises what the call is planned to fail with, if it is."""
        plan = self.plans.get(call)
        if (
            plan is None
            or plan.remaining_count <= 0
            or not plan.only(sock)
            or self.random.random() >= plan.chance
        ):
            return
        plan.remaining_count -= 1
        self.counts[call] += 1
        error_number = self.random.choice(plan.errnos)
        raise OSError(error_number, os.strerror(error_number))

    def install(self, replace):
        """`replace(object, name, value)` puts a value in place of an attribute, like monkeypatch.setattr."""
        socket_class = gevent.socket.socket
        original_init = socket_class.__init__

        def failable_init(sock, family=-1, type=-1, proto=-1, fileno=None):
            if fileno is None:
                self.check("socket")
            original_init(sock, family, type, proto, fileno)

        replace(socket_class, "__init__", failable_init)
        for call in SOCKET_CALLS:
            replace(socket_class, call, self.wrap(call, getattr(socket_class, call, None)))
        replace(connection, "os", SimpleNamespace(write=self.write))
        replace(connection, "select", SimpleNamespace(**vars(select) | {"poll": self.poll}))

    def wrap(self, call, original):
        def failable_call(sock, *arguments, **keywords):
            self.check(call, sock)
            method = original or getattr(sock._sock, call)
            return method(sock, *arguments, **keywords) if original else method(*arguments, **keywords)

        return failable_call

    def write(self, descriptor, data):
        self.check("write", descriptor)
        return os.write(descriptor, data)

    def poll(self):
        self.check("poll")
        return select.poll()


MIN_PIPE_BYTES = 4096  # bytes of the smallest pipe
RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
