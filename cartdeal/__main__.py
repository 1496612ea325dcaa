"""Starts an agent, ends it on a signal, and says by its exit status how it went.

Status 0: ended when asked to, owing nothing. 1: an address can't be had. 2: the configuration is at fault.
"""

import logging
import signal
import sys

import gevent
from gevent.event import Event
from logfmter import Logfmter

from cartdeal.agent import configuration
from cartdeal.agent.effects import Effects

STILL_OPEN = 0.5    # after being told to end, how long new connections are taken
LOOK = 0.02

log = logging.getLogger("cartdeal.agent")


def main() -> int:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(Logfmter(keys=["at", "level", "in"],
                                  mapping={"at": "asctime", "level": "levelname", "in": "name"}))
    logging.basicConfig(handlers=[handler], level=logging.INFO)
    try:
        station = configuration.read()
    except configuration.Fault as fault:
        print(f"cartdeal: {fault}", file=sys.stderr)
        return 2
    try:
        agent = Effects(station)
    except OSError as trouble:
        print(f"cartdeal: can't listen on {station.listen}: {trouble.strerror}", file=sys.stderr)
        return 1
    told_to_end = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, told_to_end.set)
    agent.start()
    log.info("serving", extra={"agent": station.name, "servers": len(station.known.lines)})
    told_to_end.wait()
    log.info("ending", extra={"owed": agent.reducer.owes})
    gevent.sleep(STILL_OPEN)
    agent.front.end()
    while agent.reducer.owes:
        gevent.sleep(LOOK)
    log.info("ended")
    return 0


sys.exit(main())
