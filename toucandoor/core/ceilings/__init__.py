"""Ceilings on a team's running work across the fleet, held as whole permits."""
