"""Experiments: variants of a world, or of a fleet scenario, on the same seeds."""
