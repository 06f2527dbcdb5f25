"""Ownership of the schedule: one entry VM at a time is the owner, fenced by the store."""
