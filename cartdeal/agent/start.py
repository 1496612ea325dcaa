"""Starts an agent, ends it on a signal, and says by its exit status how it went.

Status 0: ended when asked to, owing nothing. 1: an address can't be had. 2: the configuration, or the fleet's
file, is at fault. Without PROXY_FLEET it must never import anything of the fleet.
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

MAX_ACCEPT_S = 0.6  # after being told to end, how long connections are taken
MAX_DEADLINE_WAIT_S = 3.0  # of the longest deadline the platform waits out so much before it kills
SHUTDOWN_MARGIN_S = 0.4  # after that, when it ends: one that is killed loses what it owes
MIN_SHUTDOWN_S = 0.7  # but no sooner than this: connections come for 0.4 s, and are to be left in order ...
MAX_SHUTDOWN_MARGIN_S = 0.6  # ... nor later than this after the longest deadline: it is killed 0.7 s after it
ACCEPT_END_LEAD_S = 0.2  # before its end, when connections are taken no more, however short the deadlines
CLOSE_LEAD_S = 0.8  # before its end, when connections begin to be closed; until then they are of use
LAST_REQUEST_PAUSE_S = 0.3  # and for how long after that one may still bring a request
FINAL_ANSWER_LEAD_S = 0.1  # before its end, when all that is still owed is terminated

SIGNALS = signal.SIGHUP, signal.SIGTERM, signal.SIGINT  # those that it handles

log = logging.getLogger("cartdeal.agent")


def shutdown_duration(settings) -> float:
    """How long an agent that is told to end goes on: clients wait longer than the platform may."""
    longest = min(MAX_DEADLINE_WAIT_S, max(kind.timeout for kind in settings.request_classes))
    return max(longest + SHUTDOWN_MARGIN_S, min(MIN_SHUTDOWN_S, longest + MAX_SHUTDOWN_MARGIN_S))


def accept_duration(settings) -> float:
    """How long it goes on to take connections."""
    return min(MAX_ACCEPT_S, shutdown_duration(settings) - ACCEPT_END_LEAD_S)


def read_fleet_configuration(config):
    """What the fleet's file says; None without one."""
    if not os.environ.get("PROXY_FLEET"):
        return None
    from cartdeal.fleet import configuration as fleet_configuration
    from cartdeal.fleet import errors

    try:
        return fleet_configuration.read(config)
    except errors.InvalidConfigurationError as error:
        raise configuration.ConfigurationError(str(error)) from None


def main() -> int:
    log_output.reserve_standard_descriptors()
    # Before the port is bound: from then on connections are taken, and a signal that killed would reset them.
    # What comes while it starts is handled when it serves; nothing before `wait` yields to the loop.
    told_to_end, agents = Event(), []
    gevent.signal_handler(signal.SIGHUP, lambda: told_to_end.is_set() or [each.reload() for each in agents])
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, told_to_end.set)
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
    told_to_end.wait()
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
