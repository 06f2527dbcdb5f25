"""Weighted shares of the teams in a pool's service when the fleet is full."""
