"""Records of the membership domain."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from toucandoor.ids import EntryId, IncarnationId


class Reach(Enum):
    """How a peer is reached, as far as this node can tell."""

    UNKNOWN = "unknown"
    BOTH_WAYS = "both ways"
    ONLY_HEARD = "heard, but does not answer"
    ONLY_ANSWERS = "answers, but does not poll"
    SILENT = "silent: stopped, paused or cut off"
    LEFT = "left as planned"


@dataclass(frozen=True, slots=True)
class Member:
    """What is known of one peer.

    Attributes:
        silent_s: Time since it was last met in any way, None when it never was.
        restarts: Newer incarnations seen at its address.
    """

    entry: EntryId
    incarnation: IncarnationId
    reach: Reach
    silent_s: float | None
    restarts: int
