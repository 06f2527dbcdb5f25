"""Leaving words: who said that a backend server leaves, and since when."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from toucandoor.core.routing.const import DEFAULT_PEER_WORD_TTL_S

if TYPE_CHECKING:
    from toucandoor.ids import VmId


class LeavingSource(Enum):
    """Who says that a backend server is leaving."""

    PLATFORM = "platform"
    SERVER = "server"
    PEER = "peer"


class LeavingWords:
    """Merges the words of all sources: a server leaves from the earliest word on."""

    def __init__(self) -> None:
        self._words: dict[VmId, dict[LeavingSource, float]] = {}

    def say(self, vm: VmId, source: LeavingSource, at_s: float) -> None:
        """Take a word in; a source's first word keeps its time, a peer's is renewed."""
        words = self._words.setdefault(vm, {})
        if source is LeavingSource.PEER:
            words[source] = at_s
        words.setdefault(source, at_s)

    def withdraw(self, vm: VmId, source: LeavingSource) -> None:
        """Take a source's word back.

        A server that says it stays is believed over what peers passed on, not over the platform.
        """
        words = self._words.get(vm, {})
        words.pop(source, None)
        if source is LeavingSource.SERVER:
            words.pop(LeavingSource.PEER, None)

    def is_leaving(self, vm: VmId, now_s: float) -> bool:
        """Return whether a word that still counts says that the server leaves."""
        words = self._words.get(vm)
        if not words:
            return False
        heard_s = words.get(LeavingSource.PEER)
        if heard_s is not None and now_s - heard_s >= DEFAULT_PEER_WORD_TTL_S:
            del words[LeavingSource.PEER]
        return bool(words)

    def own_words(self) -> list[VmId]:
        """Return the servers that said so to this entry, to be passed on to its peers."""
        return sorted(vm for vm, words in self._words.items() if LeavingSource.SERVER in words)

    def forget_all_but(self, vms: set[VmId]) -> None:
        """Drop servers that no longer exist."""
        self._words = {vm: words for vm, words in self._words.items() if vm in vms}
