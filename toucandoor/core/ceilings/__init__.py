"""Fleet-wide ceilings on a team's running requests, enforced by whole permits."""
