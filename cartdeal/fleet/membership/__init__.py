"""Which agents are in the fleet, by SWIM."""
