"""Experiments: variants of a world on the same seeds."""
