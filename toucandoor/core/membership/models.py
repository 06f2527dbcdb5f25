"""Records of the membership domain."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from toucandoor.ids import EntryId, IncarnationId


class Reachability(Enum):
    """Whether messages get through to and from a peer, as far as this node can tell."""

    UNKNOWN = "unknown"
    BOTH_WAYS = "both ways"
    POLLS_ONLY = "heard, but does not answer"
    ANSWERS_ONLY = "answers, but does not poll"
    SILENT = "silent: stopped, paused or cut off"
    STOPPED_AS_PLANNED = "left as planned"


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """Status of one peer.

    Attributes:
        silent_s: Time since its last poll or answer, None if there was none.
        restarts: Number of restarts seen.
    """

    entry: EntryId
    incarnation: IncarnationId
    reach: Reachability
    silent_s: float | None
    restarts: int
