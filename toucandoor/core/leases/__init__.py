"""Leases that bound how long an entry may start keyed work."""
