"""The troubles of a soak, drawn by its seed so that two or three always overlap."""

from random import Random
from typing import NamedTuple

import gevent

from cartdeal.rig.soak.clients import misbehave
from cartdeal.rig.soak.fake_servers import ServerBehaviour
from cartdeal.rig.soak.relay import Mode

FIRST_FAULT_S = 3.0  # seconds from the begin to the first of them
BURST_INTERVAL_S = 6.5  # seconds from one knot of troubles to the next
BURST_DURATION_S = 1.5  # seconds over which the troubles of one knot begin


class Fault(NamedTuple):
    name: str
    begins_at: float
    duration: float


def draw_schedule(seed: int, duration: float) -> list[Fault]:
    """Knots of two or three kinds that begin within KNOT of each other, until the end comes near."""
    random, schedule, at = Random(f"troubles/{seed}"), [], FIRST_FAULT_S
    while at + BURST_INTERVAL_S < duration:
        for name in random.sample(sorted(FAULTS_BY_NAME), random.choice((2, 3, 3))):
            schedule.append(Fault(name, at + BURST_DURATION_S * random.random(), random.uniform(0.5, 4.0)))
        at += BURST_INTERVAL_S
    return schedule


def random_agents(soak, share: float):
    """Agents that are up, about so many of them, one at least."""
    running = [each for each in soak.agents if each.port]
    return soak.random.sample(running, max(1, int(share * len(running)))) if running else []


def random_servers(soak, share: float):
    return soak.random.sample(soak.servers, max(1, int(share * len(soak.servers))))


def agents_end(soak, duration):
    """A rolling restart of a quarter of the agents."""
    for agent in random_agents(soak, 0.25):
        gevent.spawn(soak.restart, agent, agent.shut_down)
        gevent.sleep(0.2)


def agents_are_killed(soak, duration):
    for agent in random_agents(soak, 0.25):
        gevent.spawn(soak.restart, agent, agent.kill)


def agents_are_paused(soak, duration):
    for agent in random_agents(soak, 0.3):
        gevent.spawn(agent.pause, soak.random.choice((0.15, 0.5, 1.5)))


def agents_are_reloaded(soak, duration):
    """New configurations in a row, each with another address of discovery."""
    for agent in random_agents(soak, 0.5):
        for _ in range(soak.random.choice((1, 2, 3))):
            agent.reload(soak.random.choice(soak.discovery_relays))
            gevent.sleep(0.02)


def logs_are_not_read(soak, duration):
    agents = random_agents(soak, 0.5)
    for agent in agents:
        agent.is_log_read = False
    gevent.sleep(duration)
    for agent in agents:
        agent.is_log_read = True


def discovery_is_down(soak, duration):
    soak.discovery.is_down = True
    soak.discovery.end_watches()
    gevent.sleep(duration)
    soak.discovery.is_down = False


def discovery_is_silent(soak, duration):
    relay = soak.random.choice(soak.discovery_relays)
    relay.set_mode(Mode.SILENT)
    gevent.sleep(duration)
    relay.set_mode(Mode.PASS)


def watches_are_reset(soak, duration):
    for relay in soak.discovery_relays:
        relay.reset_all()


def servers_change_behaviour(soak, duration):
    changed = random_servers(soak, 0.4)
    for server in changed:
        server.behaviour = soak.random.choice(list(ServerBehaviour))
    gevent.sleep(duration)
    for server in changed:
        server.behaviour = ServerBehaviour.GOOD


def servers_are_cut_off(soak, duration):
    names = [each.name for each in random_servers(soak, 0.3)]
    mode = soak.random.choice((Mode.SILENT, Mode.SLOW, Mode.REFUSE))
    for name in names:
        soak.relays[name].set_mode(mode)
    gevent.sleep(duration)
    for name in names:
        soak.relays[name].set_mode(Mode.PASS)


def connections_are_reset(soak, duration):
    for server in random_servers(soak, 0.5):
        soak.relays[server.name].reset_all()


def servers_are_replaced(soak, duration):
    """Some drain and go, others come in their place, cold."""
    for server in random_servers(soak, 0.25):
        soak.replace(server)
        gevent.sleep(0.1)


def clients_misbehave(soak, duration):
    for agent in random_agents(soak, 0.6):
        for _ in range(soak.random.randint(1, 12)):
            gevent.spawn(misbehave, soak, agent)


FAULTS_BY_NAME = {
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
        servers_are_cut_off,
        connections_are_reset,
        servers_are_replaced,
        clients_misbehave,
    )
} | {"servers_change_mood": servers_change_behaviour}  # the name that seeds and reports know
