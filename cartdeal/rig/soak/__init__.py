"""The soak: plays overlapping faults on real agents and checks the rules."""
