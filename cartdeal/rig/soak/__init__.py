"""Overlapping faults played on real agents."""
