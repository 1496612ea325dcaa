"""Makes the system calls of an agent fail with the errors that Linux documents for them.

A call fails before it reaches the system, so it has no effect.
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
    """How a call fails: the next `remaining_count` calls, each with probability `chance`.

    `only(sock)` selects the sockets whose calls fail, or the descriptors if the call is `write`.
    """

    errnos: tuple[int, ...]
    remaining_count: float
    chance: float
    only: object


class SystemFaults:
    """Replaces the system calls of a process or test once; `fail` then sets which calls fail."""

    def __init__(self, seed=0):
        self.random = Random(seed)
        self.plans: dict[str, FailurePlan] = {}
        self.counts = dict.fromkeys(FAILABLE_CALLS, 0)  # failures so far, by call

    def fail(self, call, *errnos, times=float("inf"), chance=1.0, only=lambda sock: True):
        """Makes the next `times` calls fail with one of the errors, each with probability `chance`."""
        assert call in FAILABLE_CALLS, call
        self.plans[call] = FailurePlan(errnos, times, chance, only)

    def clear(self, *calls):
        """Stops the failures of these calls, or of all calls if none is given."""
        for call in calls or list(self.plans):
            self.plans.pop(call, None)

    def check(self, call, sock=None):
        """Raises one of the planned errors if a failure of the call is due."""
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
        """Installs calls that may fail; `replace(object, name, value)` works like monkeypatch.setattr."""
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
        """Returns a method that checks for a planned failure before it makes the call."""

        def failable_call(sock, *arguments, **keywords):
            self.check(call, sock)
            method = original or getattr(sock._sock, call)
            return method(sock, *arguments, **keywords) if original else method(*arguments, **keywords)

        return failable_call

    def write(self, descriptor, data):
        """Stands in for os.write."""
        self.check("write", descriptor)
        return os.write(descriptor, data)

    def poll(self):
        """Stands in for select.poll."""
        self.check("poll")
        return select.poll()


MIN_PIPE_BYTES = 4096  # capacity of the smallest pipe
# Errors that mean that the process or the system ran out of descriptors, buffers or memory.
RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
