"""The ring of agents: rendezvous placement, damping, and the steps from one ring to the next."""
