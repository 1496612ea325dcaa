"""Fleets in simulated time, faults drawn from a seed, and the check of their invariants."""
