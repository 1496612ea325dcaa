"""Fleets of real reducers in simulated time."""
