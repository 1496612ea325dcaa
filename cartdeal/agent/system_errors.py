"""Classifies errors of system calls by their cause: the agent's own machine, the network or the peer.

The errors are those that the Linux manual documents for sockets.
"""

import errno

# The machine lacks a descriptor, memory, a buffer or a local port for the call; the peer is not at fault.
OWN_LIMIT_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL})
# On an open connection, a call that fails with one of these may succeed a moment later.
TRANSIENT_ERRNOS = frozenset({errno.ENOBUFS, errno.ENOMEM})
RETRY_PAUSE_S = 0.02  # pause before such a call is retried


def is_own_limit(error: OSError) -> bool:
    """Whether a limit of the agent's own machine caused the error."""
    return error.errno in OWN_LIMIT_ERRNOS


def is_transient(error: OSError) -> bool:
    """Whether the call may succeed if it is retried after RETRY_PAUSE_S."""
    return error.errno in TRANSIENT_ERRNOS


def is_no_route(error: OSError) -> bool:
    """Whether the machine has no route to the address: its whole network may be down, or only that part."""
    return error.errno == errno.ENETUNREACH


def is_wait_timeout(error: OSError) -> bool:
    """Whether a wait timed out while the connection is, as far as known, intact.

    ETIMEDOUT is a TimeoutError too, but means that TCP has given up the connection.
    """
    return isinstance(error, TimeoutError | BlockingIOError) and error.errno != errno.ETIMEDOUT
