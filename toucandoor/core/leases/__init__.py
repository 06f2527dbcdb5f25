"""Leases that say how long an entry may serve keyed work."""
