"""The ring of agents: placement by rendezvous hashing, damping, and the steps from one ring to the next."""
