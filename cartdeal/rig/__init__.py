"""The rig: plays worlds on loopback sockets with real agents."""
