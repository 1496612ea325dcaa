"""Background tasks that run as long as the agent does."""

import logging
from collections.abc import Callable

import gevent

RESTART_DELAY = 0.05  # seconds before a task that failed begins again


def supervise(task: Callable[[], None], log: logging.Logger) -> None:
    """Runs `task` until it returns, and begins it again whenever it fails.

    An agent that no longer listens because of a fault would look alive to its peers and clients.
    """
    while True:
        try:
            task()
            return
        except Exception:
            log.exception("background task failed", extra={"task": task.__name__})
            gevent.sleep(RESTART_DELAY)
