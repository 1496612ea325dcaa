"""Rate limits that hold for the whole fleet: owners of a limit lease tokens to the agents that use it."""
