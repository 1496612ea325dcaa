"""An agent on sockets."""
