"""What agents of a fleet share: membership, the ring, replicated records and tenants' rate limits."""
