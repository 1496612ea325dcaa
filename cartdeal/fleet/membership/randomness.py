"""Random choices that several parts of the membership make."""

from random import Random


def sample(random: Random, names: list[str], max_count: int) -> list[str]:
    """Return up to `max_count` of the names, in random order."""
    return random.sample(names, min(max_count, len(names)))


def jitter(random: Random) -> float:
    """Return a random factor from 0.75 to 1.25, which keeps agents' periodic work from synchronizing."""
    return 0.75 + random.random() / 2
