"""The troubles of a soak, drawn by its seed so that two or three always overlap."""

from random import Random
from typing import NamedTuple

import gevent

from cartdeal.rig.soak.clients import misbehave
from cartdeal.rig.soak.relay import Mode
from cartdeal.rig.soak.stand_ins import Mood

FIRST = 3.0  # seconds from the begin to the first of them
APART = 6.5  # seconds from one knot of troubles to the next
KNOT = 1.5  # seconds over which the troubles of one knot begin


class Trouble(NamedTuple):
    kind: str
    begins_at: float
    seconds: float


def draw(seed: int, seconds: float) -> list[Trouble]:
    """Knots of two or three kinds that begin within KNOT of each other, until the end comes near."""
    random, found, at = Random(f"troubles/{seed}"), [], FIRST
    while at + APART < seconds:
        for kind in random.sample(sorted(KINDS), random.choice((2, 3, 3))):
            found.append(Trouble(kind, at + KNOT * random.random(), random.uniform(0.5, 4.0)))
        at += APART
    return found


def some(soak, share: float):
    """Agents that are up, about so many of them, one at least."""
    up = [each for each in soak.agents if each.port]
    return soak.random.sample(up, max(1, int(share * len(up)))) if up else []


def some_servers(soak, share: float):
    return soak.random.sample(soak.servers, max(1, int(share * len(soak.servers))))


def agents_end(soak, seconds):
    """A rolling restart of a quarter of the agents."""
    for agent in some(soak, 0.25):
        gevent.spawn(soak.restart, agent, agent.end_in_order)
        gevent.sleep(0.2)


def agents_are_killed(soak, seconds):
    for agent in some(soak, 0.25):
        gevent.spawn(soak.restart, agent, agent.kill)


def agents_are_paused(soak, seconds):
    for agent in some(soak, 0.3):
        gevent.spawn(agent.pause, soak.random.choice((0.15, 0.5, 1.5)))


def agents_are_reloaded(soak, seconds):
    """New configurations in a row, each with another address of discovery."""
    for agent in some(soak, 0.5):
        for _ in range(soak.random.choice((1, 2, 3))):
            agent.reload(soak.random.choice(soak.discovery_relays))
            gevent.sleep(0.02)


def logs_are_not_read(soak, seconds):
    stuck = some(soak, 0.5)
    for agent in stuck:
        agent.reads_log = False
    gevent.sleep(seconds)
    for agent in stuck:
        agent.reads_log = True


def discovery_is_down(soak, seconds):
    soak.discovery.down = True
    soak.discovery.end_watches()
    gevent.sleep(seconds)
    soak.discovery.down = False


def discovery_is_silent(soak, seconds):
    relay = soak.random.choice(soak.discovery_relays)
    relay.set(Mode.SILENT)
    gevent.sleep(seconds)
    relay.set(Mode.PASS)


def watches_are_reset(soak, seconds):
    for relay in soak.discovery_relays:
        relay.reset_all()


def servers_change_mood(soak, seconds):
    moved = some_servers(soak, 0.4)
    for server in moved:
        server.mood = soak.random.choice(list(Mood))
    gevent.sleep(seconds)
    for server in moved:
        server.mood = Mood.GOOD


def servers_are_cut_off(soak, seconds):
    names = [each.name for each in some_servers(soak, 0.3)]
    mode = soak.random.choice((Mode.SILENT, Mode.SLOW, Mode.REFUSE))
    for name in names:
        soak.relays[name].set(mode)
    gevent.sleep(seconds)
    for name in names:
        soak.relays[name].set(Mode.PASS)


def connections_are_reset(soak, seconds):
    for server in some_servers(soak, 0.5):
        soak.relays[server.name].reset_all()


def servers_are_replaced(soak, seconds):
    """Some drain and go, others come in their place, cold."""
    for server in some_servers(soak, 0.25):
        soak.replace(server)
        gevent.sleep(0.1)


def clients_misbehave(soak, seconds):
    for agent in some(soak, 0.6):
        for _ in range(soak.random.randint(1, 12)):
            gevent.spawn(misbehave, soak, agent)


KINDS = {
    each.__name__: each
    for each in (
        agents_end,
        agents_are_killed,
        agents_are_paused,
        agents_are_reloaded,
        logs_are_not_read,
        discovery_is_down,
        discovery_is_silent,
        watches_are_reset,
        servers_change_mood,
        servers_are_cut_off,
        connections_are_reset,
        servers_are_replaced,
        clients_misbehave,
    )
}
