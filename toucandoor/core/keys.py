"""Maps the secrets of callers' keys to teams."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from toucandoor.core.configuration.models import Configuration
    from toucandoor.ids import TeamId


def secret_digest(secret: str) -> str:
    """Return the SHA-256 digest of a secret in hex; only the digest is stored."""
    return hashlib.sha256(secret.encode()).hexdigest()


class KeyRing:
    """Keys that are valid under one configuration; withdrawn keys are left out."""

    def __init__(self, configuration: Configuration) -> None:
        self._team_of: dict[str, TeamId] = {}
        withdrawn = configuration.withdrawn_keys
        withdrawn_digests = {key.sha256 for key in withdrawn.values()}
        for team_id, team in configuration.teams.items():
            for key_id, key in team.keys.items():
                if key_id not in withdrawn and key.sha256 not in withdrawn_digests:
                    self._team_of[key.sha256] = team_id

    def team_of(self, secret: str) -> TeamId | None:
        """Return the team whose key has this secret, None if it is unknown or withdrawn."""
        return self._team_of.get(secret_digest(secret))

    def is_valid_for(self, digest: str, team: TeamId) -> bool:
        """Return whether the secret with this digest is still valid for a team."""
        return self._team_of.get(digest) == team
