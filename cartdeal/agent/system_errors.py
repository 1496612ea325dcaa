"""Tells whose error an error of a system call is: the agent's own machine's, the network's or the peer's.

Errors are those that the Linux manual names for sockets.
"""

import errno

# The machine has no descriptor, memory, buffer or local port for the call: nothing is wrong with the peer.
OWN_LIMIT_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL})
# Where these come on a connection, the same call may succeed a moment later.
TRANSIENT_ERRNOS = frozenset({errno.ENOBUFS, errno.ENOMEM})
RETRY_PAUSE_S = 0.02  # seconds until such a call is made again


def is_own_limit(error: OSError) -> bool:
    return error.errno in OWN_LIMIT_ERRNOS


def is_transient(error: OSError) -> bool:
    return error.errno in TRANSIENT_ERRNOS


def is_no_route(error: OSError) -> bool:
    """Whether the machine knows no way to the address: all of its network may be away, or that part alone."""
    return error.errno == errno.ENETUNREACH


def is_wait_timeout(error: OSError) -> bool:
    """Whether a wait was over, and nothing is known to be wrong with the connection.

    ETIMEDOUT is a TimeoutError, too, but there TCP has given the connection up.
    """
    return isinstance(error, TimeoutError | BlockingIOError) and error.errno != errno.ETIMEDOUT
