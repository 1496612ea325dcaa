"""The faults of a soak, drawn by its seed so that two or three always overlap."""

from random import Random
from typing import NamedTuple

import gevent

from cartdeal.rig.soak.clients import misbehave
from cartdeal.rig.soak.fake_servers import ServerBehaviour
from cartdeal.rig.soak.relay import Mode

FIRST_FAULT_S = 3.0  # from the start of the soak to the first burst of faults
BURST_INTERVAL_S = 6.5  # from one burst of faults to the next
BURST_DURATION_S = 1.5  # within which the faults of one burst begin


class Fault(NamedTuple):
    """A fault that begins `begins_at` seconds into the soak; one that lasts ends after `duration` seconds."""

    name: str
    begins_at: float
    duration: float


def draw_schedule(seed: int, duration: float) -> list[Fault]:
    """Draws bursts of two or three faults for a soak of `duration` seconds.

    The faults of a burst begin within BURST_DURATION_S of each other. The last burst begins more than
    BURST_INTERVAL_S before the end.
    """
    random, schedule, at = Random(f"troubles/{seed}"), [], FIRST_FAULT_S
    while at + BURST_INTERVAL_S < duration:
        for name in random.sample(sorted(FAULTS_BY_NAME), random.choice((2, 3, 3))):
            schedule.append(Fault(name, at + BURST_DURATION_S * random.random(), random.uniform(0.5, 4.0)))
        at += BURST_INTERVAL_S
    return schedule


def random_agents(soak, share: float):
    """About this share of the running agents, at least one; none if no agent runs."""
    running = [each for each in soak.agents if each.port]
    return soak.random.sample(running, max(1, int(share * len(running)))) if running else []


def random_servers(soak, share: float):
    """About this share of the servers, at least one."""
    return soak.random.sample(soak.servers, max(1, int(share * len(soak.servers))))


def agents_end(soak, duration):
    """Restarts a quarter of the agents one after the other."""
    for agent in random_agents(soak, 0.25):
        gevent.spawn(soak.restart, agent, agent.shut_down)
        gevent.sleep(0.2)


def agents_are_killed(soak, duration):
    """Kills a quarter of the agents, each of which is then restarted."""
    for agent in random_agents(soak, 0.25):
        gevent.spawn(soak.restart, agent, agent.kill)


def agents_are_paused(soak, duration):
    """Stops a part of the agents for a moment."""
    for agent in random_agents(soak, 0.3):
        gevent.spawn(agent.pause, soak.random.choice((0.15, 0.5, 1.5)))


def agents_are_reloaded(soak, duration):
    """Reloads agents several times in a row, with another address of the discovery service each time."""
    for agent in random_agents(soak, 0.5):
        for _ in range(soak.random.choice((1, 2, 3))):
            agent.reload(soak.random.choice(soak.discovery_relays))
            gevent.sleep(0.02)


def logs_are_not_read(soak, duration):
    """Leaves the logs of half of the agents unread, so that their writes may block."""
    agents = random_agents(soak, 0.5)
    for agent in agents:
        agent.is_log_read = False
    gevent.sleep(duration)
    for agent in agents:
        agent.is_log_read = True


def discovery_is_down(soak, duration):
    """Has the discovery service refuse requests and ends all watches."""
    soak.discovery.is_down = True
    soak.discovery.end_watches()
    gevent.sleep(duration)
    soak.discovery.is_down = False


def discovery_is_silent(soak, duration):
    """Has one relay to the discovery service pass on nothing."""
    relay = soak.random.choice(soak.discovery_relays)
    relay.set_mode(Mode.SILENT)
    gevent.sleep(duration)
    relay.set_mode(Mode.PASS)


def watches_are_reset(soak, duration):
    """Resets all connections to the discovery service."""
    for relay in soak.discovery_relays:
        relay.reset_all()


def servers_change_behaviour(soak, duration):
    """Gives a part of the servers random behaviours."""
    changed = random_servers(soak, 0.4)
    for server in changed:
        server.behaviour = soak.random.choice(list(ServerBehaviour))
    gevent.sleep(duration)
    for server in changed:
        server.behaviour = ServerBehaviour.GOOD


def servers_are_cut_off(soak, duration):
    """Makes the network to a part of the servers silent or slow, or has it refuse connections."""
    names = [each.name for each in random_servers(soak, 0.3)]
    mode = soak.random.choice((Mode.SILENT, Mode.SLOW, Mode.REFUSE))
    for name in names:
        soak.relays[name].set_mode(mode)
    gevent.sleep(duration)
    for name in names:
        soak.relays[name].set_mode(Mode.PASS)


def connections_are_reset(soak, duration):
    """Resets all connections to half of the servers."""
    for server in random_servers(soak, 0.5):
        soak.relays[server.name].reset_all()


def servers_are_replaced(soak, duration):
    """Drains a quarter of the servers and starts others, which are in slow start, in their place."""
    for server in random_servers(soak, 0.25):
        soak.replace(server)
        gevent.sleep(0.1)


def clients_misbehave(soak, duration):
    """Opens misbehaving clients at a part of the agents."""
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
} | {"servers_change_mood": servers_change_behaviour}  # named so in reports
