"""Consensus on the ring of each epoch, by Paxos."""
