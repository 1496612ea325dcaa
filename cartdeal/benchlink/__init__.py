"""The adapter that drives the balancer through a simulator's binary protocol."""
