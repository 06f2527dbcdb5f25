"""Reachability of the other entry VMs, as seen by one node."""
