"""Runs an agent whose system calls fail at random and whose wall clock may be wrong.

The environment variable AGENT_FAULTS holds a seed, the probability that a call fails, and the seconds by
which the wall clock is ahead: `7,0.002,-3600`. The soak uses this module; an agent in service never runs it.
"""

import errno
import os
import signal
import sys

if __name__ == "__main__":
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))

from cartdeal.agent import effects, start  # noqa: E402
from cartdeal.rig.system_faults import SystemFaults  # noqa: E402

FAULTS_VARIABLE = "AGENT_FAULTS"
# The errors of each call that leave its connection unchanged.
ERRORS_BY_CALL = {
    "accept": (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    "connect": (errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENETUNREACH, errno.ECONNREFUSED),
    "send": (errno.ENOBUFS, errno.ENOMEM),
    "recv_into": (errno.ENOBUFS, errno.ENOMEM),
    "write": (errno.ENOBUFS, errno.ENOMEM),
    "poll": (errno.ENOMEM,),
}


def install(specification: str):
    """Makes system calls fail and shifts the wall clock, by the value of AGENT_FAULTS."""
    seed, chance, wall_ahead = specification.split(",")
    faults = SystemFaults(int(seed))
    faults.install(setattr)
    for call, errnos in ERRORS_BY_CALL.items():
        faults.fail(call, *errnos, chance=float(chance))
    wall_clock = effects.time
    effects.time = lambda: wall_clock() + float(wall_ahead)


if __name__ == "__main__":
    install(os.environ[FAULTS_VARIABLE])
    sys.exit(start.main())
