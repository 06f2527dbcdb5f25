"""Which entry owns an idempotency key, and what the owner answers to a claim.

A request that must run at most once and carries an Idempotency-Key is claimed from the key's one
owner before anything is sent. The owner remembers which attempt was last announced for the key,
so a repeat through any entry can ask that attempt's backend server instead of running it again.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from uuid import RFC_4122, UUID

from toucandoor.core.attempts.const import (
    DEFAULT_KEY_RETENTION_S,
    DEFAULT_KEY_SKEW_S,
    DEFAULT_KEYS_MAX,
)

# Decoders of these messages look the ids up when the program runs.
from toucandoor.ids import AttemptId, EntryId, QueueId, TeamId, VmId  # noqa: TC001

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class SubmissionKey:
    """A caller's Idempotency-Key within its team and queue."""

    queue: QueueId
    team: TeamId | None
    key: str

    def to_bytes(self) -> bytes:
        """Return an unambiguous encoding to hash."""
        return "\x00".join((self.queue, self.team or "", self.key)).encode()


class ClaimRefusal(Enum):
    """Why an owner does not grant a claim; this submission was not run."""

    NOT_OWNER = "not_owner"
    OWNER_YOUNGER = "owner_younger"
    """The key may have been used before this entry became its owner."""
    TOO_OLD = "too_old"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class Announced:
    """An attempt that was announced to the owner before its first byte was sent.

    Attributes:
        sent_s: Unix time of the announcement.
    """

    attempt_id: AttemptId
    vm: VmId
    address: str
    sent_s: float


@dataclass(frozen=True, slots=True)
class Granted:
    """The claimant may run the request; claims with a lower number no longer count."""

    number: int


@dataclass(frozen=True, slots=True)
class Earlier:
    """An earlier submission of the key holds the claim.

    Attributes:
        attempt: The attempt to ask about; None while the earlier submission still waits.
        number: Number of the claim that holds the key.
    """

    entry: EntryId
    attempt: Announced | None
    number: int


ClaimAnswer = Granted | Earlier | ClaimRefusal


class ClaimAction(Enum):
    """What a claimant asks of an owner."""

    CLAIM = "claim"
    ANNOUNCE = "announce"
    NOT_RUN = "not_run"
    TAKE_OVER = "take_over"


@dataclass(frozen=True, slots=True)
class ClaimCall:
    """A claimant's message to an owner.

    Attributes:
        number: Number of the claim it is about; 0 for a first claim.
        attempt: The attempt announced, or the one seen before a take-over.
    """

    action: ClaimAction
    key: SubmissionKey
    entry: EntryId
    number: int = 0
    attempt: Announced | None = None


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """An owner's answer.

    Attributes:
        done: Whether an announcement counts, so that the attempt may be sent.
    """

    granted: Granted | None = None
    earlier: Earlier | None = None
    refusal: ClaimRefusal | None = None
    done: bool = False


def key_created_s(key: str) -> float | None:
    """Return the Unix time that a version 7 UUID carries; None for any other key."""
    try:
        uuid = UUID(key)
    except ValueError:
        return None
    if uuid.variant != RFC_4122 or uuid.version != 7:
        return None
    return (uuid.int >> 80) / 1000.0


def ranked(key: SubmissionKey, entries: Iterable[EntryId]) -> list[EntryId]:
    """Return the entries by falling rendezvous weight for the key; the first one owns it."""
    encoded = key.to_bytes()

    def weight(entry: EntryId) -> bytes:
        return hashlib.blake2b(encoded, key=entry.encode()[:64], digest_size=8).digest()

    return sorted(entries, key=lambda entry: (weight(entry), entry), reverse=True)


@dataclass(slots=True)
class _Claim:
    entry: EntryId
    number: int
    claimed_s: float
    attempt: Announced | None = None


class IdempotencyOwner:
    """The claims of the keys that this entry owns.

    Times are Unix seconds: the age of a key is compared between machines.

    Args:
        since_s: When every other entry surely knew of this one.
    """

    def __init__(
        self,
        entry: EntryId,
        since_s: float,
        *,
        retention_s: float = DEFAULT_KEY_RETENTION_S,
        skew_s: float = DEFAULT_KEY_SKEW_S,
        keys_max: int = DEFAULT_KEYS_MAX,
    ) -> None:
        self._entry = entry
        self._since_s = since_s
        self._retention_s = retention_s
        self._skew_s = skew_s
        self._keys_max = keys_max
        self._entries: frozenset[EntryId] = frozenset({entry})
        self._gone_s: dict[EntryId, float] = {}
        self._claims: OrderedDict[SubmissionKey, _Claim] = OrderedDict()
        # Numbers of an earlier process at the same entry are never given out again.
        self._next_number = int(since_s * 1000)

    def update_entries(self, entries: Iterable[EntryId], now_s: float) -> None:
        """Replace the entries that may own keys: all that are not known to have ended."""
        present = frozenset(entries) | {self._entry}
        for gone in self._entries - present:
            self._gone_s[gone] = now_s
        self._entries = present
        oldest_s = now_s - self._retention_s
        self._gone_s = {entry: at_s for entry, at_s in self._gone_s.items() if at_s > oldest_s}

    def owner_of(self, key: SubmissionKey) -> EntryId:
        """Return the entry that owns the key."""
        return ranked(key, self._entries)[0]

    def claim(self, key: SubmissionKey, entry: EntryId, now_s: float) -> ClaimAnswer:
        """Answer an entry that wants to run a request under the key."""
        self._forget(now_s)
        if self.owner_of(key) != self._entry:
            return ClaimRefusal.NOT_OWNER
        held = self._claims.get(key)
        if held is not None:
            return Earlier(held.entry, held.attempt, held.number)
        refusal = self._age_refusal(key, now_s)
        if refusal is not None:
            return refusal
        if len(self._claims) >= self._keys_max:
            return ClaimRefusal.FULL
        return self._grant(key, entry, now_s)

    def handle(self, call: ClaimCall, now_s: float) -> ClaimReply:
        """Carry out a claimant's message."""
        match call.action:
            case ClaimAction.CLAIM:
                return _reply(self.claim(call.key, call.entry, now_s))
            case ClaimAction.TAKE_OVER:
                seen = Earlier(call.entry, call.attempt, call.number)
                return _reply(self.take_over(call.key, seen, call.entry, now_s))
            case ClaimAction.ANNOUNCE:
                attempt = call.attempt
                return ClaimReply(
                    done=attempt is not None and self.announce(call.key, call.number, attempt)
                )
            case ClaimAction.NOT_RUN:
                self.not_run(call.key, call.number)
                return ClaimReply(done=True)

    def announce(self, key: SubmissionKey, number: int, attempt: Announced) -> bool:
        """Note an attempt before its first byte; False when it must not be sent."""
        held = self._claims.get(key)
        if held is None or held.number != number or self.owner_of(key) != self._entry:
            return False
        held.attempt = attempt
        return True

    def not_run(self, key: SubmissionKey, number: int) -> None:
        """Forget a claim whose request certainly did not run and never will."""
        held = self._claims.get(key)
        if held is not None and held.number == number:
            del self._claims[key]

    def take_over(
        self, key: SubmissionKey, seen: Earlier, entry: EntryId, now_s: float
    ) -> ClaimAnswer:
        """Pass a claim on after the claimant showed that what it saw never ran and never will.

        The claim gets a new number, so that the earlier claimant can announce nothing more. An
        attempt announced in the meantime may run: then the claimant gets that one to ask about.
        """
        held = self._claims.get(key)
        if held is None or held.number != seen.number or held.attempt != seen.attempt:
            return self.claim(key, entry, now_s)
        del self._claims[key]
        return self._grant(key, entry, now_s)

    def _grant(self, key: SubmissionKey, entry: EntryId, now_s: float) -> Granted:
        claim = _Claim(entry, self._next_number, now_s)
        self._next_number += 1
        self._claims[key] = claim
        return Granted(claim.number)

    def _age_refusal(self, key: SubmissionKey, now_s: float) -> ClaimRefusal | None:
        """Refuse a key that may have been claimed where or when this entry could not see it."""
        created_s = key_created_s(key.key)
        if created_s is not None and created_s > now_s + self._skew_s:
            created_s = None
        oldest_s = now_s - self._retention_s if created_s is None else created_s
        if created_s is not None and created_s < now_s - self._retention_s + self._skew_s:
            return ClaimRefusal.TOO_OLD
        if oldest_s < self._owner_since_s(key) + self._skew_s:
            return ClaimRefusal.OWNER_YOUNGER
        return None

    def _owner_since_s(self, key: SubmissionKey) -> float:
        """Return when the last entry that outranked this one for the key was gone."""
        rivals = ranked(key, {self._entry, *self._gone_s})
        above = rivals[: rivals.index(self._entry)]
        return max([self._since_s, *(self._gone_s[entry] for entry in above)])

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - self._retention_s
        while self._claims:
            key, claim = next(iter(self._claims.items()))
            if claim.claimed_s > oldest_s:
                return
            del self._claims[key]


def _reply(answer: ClaimAnswer) -> ClaimReply:
    match answer:
        case Granted():
            return ClaimReply(granted=answer)
        case Earlier():
            return ClaimReply(earlier=answer)
        case ClaimRefusal():
            return ClaimReply(refusal=answer)
