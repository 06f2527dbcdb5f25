"""What takes a backend server out of use, besides what it says of itself."""

from __future__ import annotations

from enum import Enum
from typing import Final, NamedTuple


class CordonSource(Enum):
    """What takes a backend server out of use."""

    WAVE = "wave"
    """A maintenance wave empties its VM."""
    MOVE = "move"
    """Its VM is being moved to another pool."""
    EVACUATION = "evacuation"
    """Its data centre is evacuated."""


class Cordon(NamedTuple):
    """One reason for which a backend server gets no new tasks.

    Attributes:
        source: What has set it, and alone may clear it.
        number: Number of the wave; 0 for other sources.
    """

    source: CordonSource
    number: int = 0


MOVE_CORDON: Final = Cordon(CordonSource.MOVE)
EVACUATION_CORDON: Final = Cordon(CordonSource.EVACUATION)
