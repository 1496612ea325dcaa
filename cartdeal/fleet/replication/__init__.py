"""Replicated records: quorum operations, hinted handoff, anti-entropy, catch-up and schema migration."""
