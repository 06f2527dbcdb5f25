"""Tells peers' restarts, silence and planned stops apart.

This serves operators and logs. It decides over no lease: a silent peer may be paused or cut off,
so only a lease's end or a proof that its process is gone allows to act without it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from toucandoor.core.membership.const import SILENT_AFTER_S
from toucandoor.core.membership.models import Member, Reach
from toucandoor.ids import IncarnationId

if TYPE_CHECKING:
    from toucandoor.ids import EntryId


@dataclass(slots=True)
class _Seen:
    incarnation: IncarnationId = IncarnationId(0)
    restarts: int = 0
    heard_s: float = -math.inf
    answered_s: float = -math.inf
    unanswered: bool = False
    left: bool = False


class Members:
    """Peers as they were met."""

    def __init__(self) -> None:
        self._seen: dict[EntryId, _Seen] = {}

    def heard_from(self, entry: EntryId, incarnation: IncarnationId, now_s: float) -> None:
        """Note a heartbeat from a peer."""
        seen = self._meet(entry, incarnation)
        if seen is not None:
            seen.heard_s = now_s

    def answered(self, entry: EntryId, incarnation: IncarnationId, now_s: float) -> None:
        """Note a peer's answer."""
        seen = self._meet(entry, incarnation)
        if seen is not None:
            seen.answered_s = now_s
            seen.unanswered = False

    def no_answer(self, entry: EntryId, now_s: float) -> bool:
        """Note that a peer did not answer; return whether this is new."""
        seen = self._seen.setdefault(entry, _Seen())
        first = not seen.unanswered
        seen.unanswered = True
        return first and not seen.left

    def said_goodbye(self, entry: EntryId, incarnation: IncarnationId) -> None:
        """Note a planned stop."""
        seen = self._meet(entry, incarnation)
        if seen is not None:
            seen.left = True

    def member(self, entry: EntryId, now_s: float, *, expects_polls: bool) -> Member:
        """Return what is known of a peer.

        Args:
            expects_polls: Whether the peer sends this node heartbeats all the time.
        """
        seen = self._seen.get(entry, _Seen())
        last_s = max(seen.heard_s, seen.answered_s)
        silent_s = None if math.isinf(last_s) else now_s - last_s
        return Member(
            entry, seen.incarnation, _reach(seen, now_s, expects_polls), silent_s, seen.restarts
        )

    def _meet(self, entry: EntryId, incarnation: IncarnationId) -> _Seen | None:
        seen = self._seen.setdefault(entry, _Seen())
        if incarnation < seen.incarnation:
            return None  # a late message of an earlier process
        if incarnation > seen.incarnation:
            seen.restarts += seen.incarnation > 0
            seen.incarnation = incarnation
            seen.left = False
        return seen


def _reach(seen: _Seen, now_s: float, expects_polls: bool) -> Reach:
    if seen.left:
        return Reach.LEFT
    if math.isinf(seen.heard_s) and math.isinf(seen.answered_s):
        return Reach.SILENT if seen.unanswered else Reach.UNKNOWN
    if not expects_polls:
        return Reach.SILENT if seen.unanswered else Reach.BOTH_WAYS
    hears = now_s - seen.heard_s <= SILENT_AFTER_S
    answers = now_s - seen.answered_s <= SILENT_AFTER_S and not seen.unanswered
    if hears and answers:
        return Reach.BOTH_WAYS
    if hears:
        return Reach.ONLY_HEARD
    return Reach.ONLY_ANSWERS if answers else Reach.SILENT
