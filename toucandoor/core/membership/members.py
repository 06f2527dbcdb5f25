"""Tracks restarts, silence and planned stops of peers, for operators and logs.

No lease depends on this. A silent peer may be paused or cut off by a network partition and still
serve, so only the expiry of its lease, or proof that its process has ended, allows others to go on
without it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from toucandoor.core.membership.const import SILENT_AFTER_S
from toucandoor.core.membership.models import PeerStatus, Reachability
from toucandoor.ids import IncarnationId

if TYPE_CHECKING:
    from toucandoor.ids import EntryId


@dataclass(slots=True)
class _PeerState:
    incarnation: IncarnationId = IncarnationId(0)
    restarts: int = 0
    polled_s: float = -math.inf
    answered_s: float = -math.inf
    unanswered: bool = False
    stopped_as_planned: bool = False


class PeerTracker:
    """State of each peer, from its polls, answers and goodbyes."""

    def __init__(self) -> None:
        self._peers: dict[EntryId, _PeerState] = {}

    def on_poll(self, entry: EntryId, incarnation: IncarnationId, now_s: float) -> None:
        """Record a poll from a peer."""
        state = self._state_of(entry, incarnation)
        if state is not None:
            state.polled_s = now_s

    def on_answer(self, entry: EntryId, incarnation: IncarnationId, now_s: float) -> None:
        """Record a peer's answer to a poll of this node."""
        state = self._state_of(entry, incarnation)
        if state is not None:
            state.answered_s = now_s
            state.unanswered = False

    def on_no_answer(self, entry: EntryId, now_s: float) -> bool:
        """Record that a peer did not answer a poll.

        Return True for the first missing answer of a peer that has not stopped as planned.
        """
        state = self._peers.setdefault(entry, _PeerState())
        first = not state.unanswered
        state.unanswered = True
        return first and not state.stopped_as_planned

    def on_goodbye(self, entry: EntryId, incarnation: IncarnationId) -> None:
        """Record a planned stop of a peer."""
        state = self._state_of(entry, incarnation)
        if state is not None:
            state.stopped_as_planned = True

    def status(self, entry: EntryId, now_s: float, *, sends_polls: bool) -> PeerStatus:
        """Return the status of a peer.

        Args:
            sends_polls: Whether the peer polls this node regularly.
        """
        state = self._peers.get(entry, _PeerState())
        last_s = max(state.polled_s, state.answered_s)
        silent_s = None if math.isinf(last_s) else now_s - last_s
        return PeerStatus(
            entry,
            state.incarnation,
            _reachability(state, now_s, sends_polls),
            silent_s,
            state.restarts,
        )

    def _state_of(self, entry: EntryId, incarnation: IncarnationId) -> _PeerState | None:
        state = self._peers.setdefault(entry, _PeerState())
        if incarnation < state.incarnation:
            return None  # a late message of an earlier incarnation
        if incarnation > state.incarnation:
            state.restarts += state.incarnation > 0
            state.incarnation = incarnation
            state.stopped_as_planned = False
        return state


def _reachability(state: _PeerState, now_s: float, sends_polls: bool) -> Reachability:
    if state.stopped_as_planned:
        return Reachability.STOPPED_AS_PLANNED
    if math.isinf(state.polled_s) and math.isinf(state.answered_s):
        return Reachability.SILENT if state.unanswered else Reachability.UNKNOWN
    if not sends_polls:
        return Reachability.SILENT if state.unanswered else Reachability.BOTH_WAYS
    polls = now_s - state.polled_s <= SILENT_AFTER_S
    answers = now_s - state.answered_s <= SILENT_AFTER_S and not state.unanswered
    if polls and answers:
        return Reachability.BOTH_WAYS
    if polls:
        return Reachability.POLLS_ONLY
    return Reachability.ANSWERS_ONLY if answers else Reachability.SILENT
