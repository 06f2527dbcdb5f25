"""Ownership of the schedule: one entry VM at a time decides, fenced by the store."""
