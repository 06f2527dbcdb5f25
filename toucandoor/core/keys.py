"""Which team a caller's key belongs to."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from toucandoor.core.configuration.models import Configuration
    from toucandoor.ids import TeamId


def secret_digest(secret: str) -> str:
    """Return the reference by which a secret is kept."""
    return hashlib.sha256(secret.encode()).hexdigest()


class KeyRing:
    """Keys that work under one configuration; withdrawn ones are left out."""

    def __init__(self, configuration: Configuration) -> None:
        self._team_of: dict[str, TeamId] = {}
        withdrawn = configuration.withdrawn_keys
        withdrawn_digests = {key.sha256 for key in withdrawn.values()}
        for team_id, team in configuration.teams.items():
            for key_id, key in team.keys.items():
                if key_id not in withdrawn and key.sha256 not in withdrawn_digests:
                    self._team_of[key.sha256] = team_id

    def team_of(self, secret: str) -> TeamId | None:
        """Return the team a secret works for, None for an unknown or withdrawn one."""
        return self._team_of.get(secret_digest(secret))

    def works_for(self, digest: str, team: TeamId) -> bool:
        """Return whether the secret of this digest still works for a team."""
        return self._team_of.get(digest) == team
