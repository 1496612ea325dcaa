"""State that agents share as a fleet: membership, the ring, replicated records and tenants' rate limits."""
