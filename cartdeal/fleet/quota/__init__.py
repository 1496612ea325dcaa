"""Tenants' rate limits for the whole fleet, by leases of tokens."""
