"""Worlds played on loopback sockets with real agents."""
