"""Which team a caller's key belongs to."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from toucandoor.core.configuration.models import Configuration
    from toucandoor.ids import KeyId, TeamId


def secret_digest(secret: str) -> str:
    """Return the reference by which a secret is kept."""
    return hashlib.sha256(secret.encode()).hexdigest()


class KeyRing:
    """Keys that work under one configuration; withdrawn ones are left out."""

    def __init__(self, configuration: Configuration) -> None:
        self._team_of: dict[str, TeamId] = {}
        for team_id, team in configuration.teams.items():
            for key_id, key in team.keys.items():
                if not _is_withdrawn(key_id, configuration):
                    self._team_of[key.sha256] = team_id

    def team_of(self, secret: str) -> TeamId | None:
        """Return the team a secret works for, None for an unknown or withdrawn one."""
        return self._team_of.get(secret_digest(secret))


def _is_withdrawn(key_id: KeyId, configuration: Configuration) -> bool:
    return key_id in configuration.withdrawn_keys
