"""The decisions behind a simulator's wire."""
