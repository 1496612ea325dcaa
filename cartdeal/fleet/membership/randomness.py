"""Random choices that several parts of the membership make."""

from random import Random


def sample(random: Random, names: list[str], max_count: int) -> list[str]:
    """Return up to `most` of the names, in random order."""
    return random.sample(names, min(max_count, len(names)))


def jitter(random: Random) -> float:
    """Return a factor from 0.75 to 1.25, so that agents' intervals don't stay in step."""
    return 0.75 + random.random() / 2
