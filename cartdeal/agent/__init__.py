"""An agent: its state, its decisions as effects, and the sockets that carry them out."""
