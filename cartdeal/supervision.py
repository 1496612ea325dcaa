"""Supervision of the background tasks that run as long as the agent does."""

import logging
from collections.abc import Callable

import gevent

RESTART_DELAY_S = 0.05  # before a failed task is started again


def supervise(task: Callable[[], None], log: logging.Logger) -> None:
    """Runs `task` until it returns, and starts it again whenever it raises an exception.

    Otherwise, an agent that no longer listens because of a fault would look alive to its peers and clients.
    """
    while True:
        try:
            task()
            return
        except Exception:
            log.exception("background task failed", extra={"task": task.__name__})
            gevent.sleep(RESTART_DELAY_S)
