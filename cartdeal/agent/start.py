"""Starts an agent and shuts it down on a signal.

Exit status 0: shut down on a signal, with every request answered. 1: an address can't be bound. 2: the
configuration or the fleet's file is invalid. Without PROXY_FLEET no module of the fleet is imported.
"""

import logging
import os
import signal
import sys
from time import monotonic

import gevent
from gevent.event import Event

from cartdeal.agent import configuration, log_output
from cartdeal.agent.effects import Effects
from cartdeal.sockets import BindError

MAX_ACCEPT_S = 0.6  # connections are accepted for this long after a shutdown signal
# Before it kills the process, the platform waits for the longest request timeout, but no more than this.
MAX_DEADLINE_WAIT_S = 3.0
SHUTDOWN_MARGIN_S = 0.4  # the shutdown ends this long after that wait; a killed agent loses open requests
# Connections arrive for 0.4 s after the signal, and there must be time to close them in order.
MIN_SHUTDOWN_S = 0.7
MAX_SHUTDOWN_MARGIN_S = 0.6  # limits MIN_SHUTDOWN_S: the kill comes 0.7 s after the longest timeout
ACCEPT_END_LEAD_S = 0.2  # accepting stops this long before the end, however short the timeouts
CLOSE_LEAD_S = 0.8  # connections are closed from this long before the end; until then they are useful
LAST_REQUEST_PAUSE_S = 0.3  # for this long after that, an open connection may still bring a request
FINAL_ANSWER_LEAD_S = 0.1  # requests still open this long before the end are failed

SIGNALS = signal.SIGHUP, signal.SIGTERM, signal.SIGINT  # the signals that `main` handles

log = logging.getLogger("cartdeal.agent")


def shutdown_duration(settings) -> float:
    """Return the seconds from the signal to the end. Clients may wait longer than the platform does."""
    max_timeout_s = min(MAX_DEADLINE_WAIT_S, max(each.timeout for each in settings.request_classes))
    return max(max_timeout_s + SHUTDOWN_MARGIN_S, min(MIN_SHUTDOWN_S, max_timeout_s + MAX_SHUTDOWN_MARGIN_S))


def accept_duration(settings) -> float:
    """Return the seconds after the signal during which connections are accepted."""
    return min(MAX_ACCEPT_S, shutdown_duration(settings) - ACCEPT_END_LEAD_S)


def read_fleet_configuration(config):
    """Read the fleet's file; None without PROXY_FLEET. Raises ConfigurationError."""
    if not os.environ.get("PROXY_FLEET"):
        return None
    from cartdeal.fleet import configuration as fleet_configuration
    from cartdeal.fleet import errors

    try:
        return fleet_configuration.read(config)
    except errors.InvalidConfigurationError as error:
        raise configuration.ConfigurationError(str(error)) from None


def main() -> int:
    """Run an agent until SIGTERM or SIGINT; return the exit status."""
    log_output.reserve_standard_descriptors()
    # The handlers are installed before the port is bound: from then on clients connect, and a signal that
    # killed the process would reset their connections. Signals that arrive during the start are handled once
    # the agent serves, because nothing before `wait` yields to the event loop.
    shutdown_requested, agents = Event(), []
    gevent.signal_handler(
        signal.SIGHUP, lambda: shutdown_requested.is_set() or [each.reload() for each in agents]
    )
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, shutdown_requested.set)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    log_output.configure()
    try:
        config = configuration.read()
        fleet = read_fleet_configuration(config)
    except configuration.ConfigurationError as error:
        print(f"cartdeal: {error}", file=sys.stderr)
        return 2
    try:
        agent = Effects(config, fleet)
    except BindError as error:
        print(f"cartdeal: {error}", file=sys.stderr)
        return 1
    agents.append(agent)
    agent.start()
    log.info(
        "serving",
        extra={
            "agent": config.name,
            "port": agent.front.port,
            "servers": len(config.initial_servers.entries),
        },
    )
    shutdown_requested.wait()
    end_at = monotonic() + shutdown_duration(config.settings)
    log.info(
        "ending", extra={"pending": agent.reducer.pending_count, "within": round(end_at - monotonic(), 3)}
    )
    agent.dispatch("on_shutdown", end_at - FINAL_ANSWER_LEAD_S)
    agent.begin_handover()
    gevent.sleep(accept_duration(config.settings))
    agent.front.stop_accepting()
    agent.front.wait_until_empty(end_at - CLOSE_LEAD_S)
    agent.front.close(min(LAST_REQUEST_PAUSE_S, max(0.0, end_at - monotonic()) / 2))
    agent.front.wait_until_empty(end_at)
    gevent.sleep(0)
    agent.leave_fleet(end_at)
    agent.front.close_all()
    agent.log_metrics()
    log.info("ended", extra={"pending": agent.reducer.pending_count})
    return 0
