"""Membership of the fleet by the SWIM protocol: failure detection and dissemination by gossip."""
