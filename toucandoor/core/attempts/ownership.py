"""Ownership of idempotency keys and the claims made on them.

Each key is owned by exactly one entry. An entry claims a non-idempotent request with an
Idempotency-Key from the key's owner before it sends anything. The owner keeps the last attempt
announced for the key, so that a repeated submission through any entry can query that attempt's
backend server instead of running the request again.
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

# msgspec resolves these annotations at run time to decode the messages.
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
        """Return an unambiguous encoding of the key for hashing."""
        return "\x00".join((self.queue, self.team or "", self.key)).encode()


class ClaimRefusal(Enum):
    """Reason why an owner refuses a claim; the refused submission was not run."""

    NOT_OWNER = "not_owner"
    """This entry does not own the key."""
    OWNER_YOUNGER = "owner_younger"
    """The key may have been used before this entry became its owner."""
    TOO_OLD = "too_old"
    """The key was created before the retention period; its claim may already be removed."""
    FULL = "full"
    """The owner already keeps its maximum number of claims."""


@dataclass(frozen=True, slots=True)
class AnnouncedAttempt:
    """An attempt that a claimant announced to the owner before sending its first byte.

    Attributes:
        sent_s: Unix time of the announcement, in seconds.
    """

    attempt_id: AttemptId
    vm: VmId
    address: str
    sent_s: float


@dataclass(frozen=True, slots=True)
class ClaimGranted:
    """The claimant may run the request; claims with lower numbers are no longer valid."""

    number: int


@dataclass(frozen=True, slots=True)
class EarlierClaim:
    """Another submission of the key already holds the claim.

    Attributes:
        entry: Entry that holds the claim.
        attempt: The attempt to query; None while no attempt was announced for the claim.
        number: Number of the claim.
    """

    entry: EntryId
    attempt: AnnouncedAttempt | None
    number: int


ClaimAnswer = ClaimGranted | EarlierClaim | ClaimRefusal


class ClaimAction(Enum):
    """Operation that a claimant requests from an owner."""

    CLAIM = "claim"
    ANNOUNCE = "announce"
    NOT_RUN = "not_run"
    """Release a claim whose request did not run and never will."""
    TAKE_OVER = "take_over"


@dataclass(frozen=True, slots=True)
class ClaimCall:
    """Message from a claimant to an owner.

    Attributes:
        entry: The claimant.
        number: Number of the claim that the message refers to; 0 for a first claim.
        attempt: The attempt to announce, or for a take-over the one that the claimant last saw.
    """

    action: ClaimAction
    key: SubmissionKey
    entry: EntryId
    number: int = 0
    attempt: AnnouncedAttempt | None = None


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Reply from an owner to a claimant.

    Attributes:
        granted: The claim granted, for CLAIM and TAKE_OVER.
        earlier: The claim that already exists, for CLAIM and TAKE_OVER.
        refusal: Reason of a refusal, for CLAIM and TAKE_OVER.
        done: Whether an announcement or release was accepted; only then may an announced attempt
            be sent.
    """

    granted: ClaimGranted | None = None
    earlier: EarlierClaim | None = None
    refusal: ClaimRefusal | None = None
    done: bool = False


def key_created_s(key: str) -> float | None:
    """Return the Unix time in seconds that a version 7 UUID carries; None for any other key."""
    try:
        uuid = UUID(key)
    except ValueError:
        return None
    if uuid.variant != RFC_4122 or uuid.version != 7:
        return None
    return (uuid.int >> 80) / 1000.0


def rank_entries(key: SubmissionKey, entries: Iterable[EntryId]) -> list[EntryId]:
    """Return the entries by descending rendezvous hash for the key; the first one owns it."""
    encoded = key.to_bytes()

    def weight(entry: EntryId) -> bytes:
        return hashlib.blake2b(encoded, key=entry.encode()[:64], digest_size=8).digest()

    return sorted(entries, key=lambda entry: (weight(entry), entry), reverse=True)


@dataclass(slots=True)
class _Claim:
    entry: EntryId
    number: int
    claimed_s: float
    attempt: AnnouncedAttempt | None = None


class IdempotencyOwner:
    """Claims of the idempotency keys that this entry owns.

    All times are Unix seconds, because the age of a key is compared between machines.

    Args:
        entry: This entry.
        since_s: Time from which every other entry knows this one.
        retention_s: Time in seconds for which a claim is kept.
        skew_s: Largest tolerated difference between wall clocks, in seconds.
        keys_max: Maximum number of claims kept at once.
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
        self._removed_at_s: dict[EntryId, float] = {}
        self._claims: OrderedDict[SubmissionKey, _Claim] = OrderedDict()
        # Starts above all numbers that an earlier process of this entry assigned.
        self._next_number = int(since_s * 1000)

    def update_entries(self, entries: Iterable[EntryId], now_s: float) -> None:
        """Replace the set of entries that may own keys: all that are not known to have ended."""
        present = frozenset(entries) | {self._entry}
        for removed in self._entries - present:
            self._removed_at_s[removed] = now_s
        self._entries = present
        oldest_s = now_s - self._retention_s
        self._removed_at_s = {
            entry: at_s for entry, at_s in self._removed_at_s.items() if at_s > oldest_s
        }

    def owner_of(self, key: SubmissionKey) -> EntryId:
        """Return the entry that owns the key."""
        return rank_entries(key, self._entries)[0]

    def claim(self, key: SubmissionKey, entry: EntryId, now_s: float) -> ClaimAnswer:
        """Grant or refuse an entry's claim to run a request under the key."""
        self._remove_expired(now_s)
        if self.owner_of(key) != self._entry:
            return ClaimRefusal.NOT_OWNER
        current = self._claims.get(key)
        if current is not None:
            return EarlierClaim(current.entry, current.attempt, current.number)
        refusal = self._age_refusal(key, now_s)
        if refusal is not None:
            return refusal
        if len(self._claims) >= self._keys_max:
            return ClaimRefusal.FULL
        return self._grant(key, entry, now_s)

    def handle(self, call: ClaimCall, now_s: float) -> ClaimReply:
        """Execute a claimant's message and return the reply."""
        match call.action:
            case ClaimAction.CLAIM:
                return _make_reply(self.claim(call.key, call.entry, now_s))
            case ClaimAction.TAKE_OVER:
                seen = EarlierClaim(call.entry, call.attempt, call.number)
                return _make_reply(self.take_over(call.key, seen, call.entry, now_s))
            case ClaimAction.ANNOUNCE:
                attempt = call.attempt
                return ClaimReply(
                    done=attempt is not None and self.announce(call.key, call.number, attempt)
                )
            case ClaimAction.NOT_RUN:
                self.release(call.key, call.number)
                return ClaimReply(done=True)

    def announce(self, key: SubmissionKey, number: int, attempt: AnnouncedAttempt) -> bool:
        """Record an attempt before its first byte; return False when it must not be sent."""
        current = self._claims.get(key)
        if current is None or current.number != number or self.owner_of(key) != self._entry:
            return False
        current.attempt = attempt
        return True

    def release(self, key: SubmissionKey, number: int) -> None:
        """Remove a claim whose request did not run and never will."""
        current = self._claims.get(key)
        if current is not None and current.number == number:
            del self._claims[key]

    def take_over(
        self, key: SubmissionKey, seen: EarlierClaim, entry: EntryId, now_s: float
    ) -> ClaimAnswer:
        """Transfer a claim whose attempt did not run and never will to another entry.

        The claim gets a new number, so that the earlier claimant can no longer announce attempts.
        If another attempt was announced in the meantime, it may run, and the entry gets that
        attempt to query instead.

        Args:
            seen: The claim and attempt that the entry found not to have run.
            entry: The entry that takes the claim over.
        """
        current = self._claims.get(key)
        if current is None or current.number != seen.number or current.attempt != seen.attempt:
            return self.claim(key, entry, now_s)
        del self._claims[key]
        return self._grant(key, entry, now_s)

    def _grant(self, key: SubmissionKey, entry: EntryId, now_s: float) -> ClaimGranted:
        claim = _Claim(entry, self._next_number, now_s)
        self._next_number += 1
        self._claims[key] = claim
        return ClaimGranted(claim.number)

    def _age_refusal(self, key: SubmissionKey, now_s: float) -> ClaimRefusal | None:
        """Return the reason to refuse a key that may have a claim unknown to this entry.

        Such a claim may have been removed after the retention period, or granted by an entry that
        owned the key before this one. A key without a valid time counts as old as the retention.
        """
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
        """Return the time from which this entry owns the key.

        That is when the last entry that ranks above it for the key was removed.
        """
        ranking = rank_entries(key, {self._entry, *self._removed_at_s})
        above = ranking[: ranking.index(self._entry)]
        return max([self._since_s, *(self._removed_at_s[entry] for entry in above)])

    def _remove_expired(self, now_s: float) -> None:
        oldest_s = now_s - self._retention_s
        while self._claims:
            key, claim = next(iter(self._claims.items()))
            if claim.claimed_s > oldest_s:
                return
            del self._claims[key]


def _make_reply(answer: ClaimAnswer) -> ClaimReply:
    match answer:
        case ClaimGranted():
            return ClaimReply(granted=answer)
        case EarlierClaim():
            return ClaimReply(earlier=answer)
        case ClaimRefusal():
            return ClaimReply(refusal=answer)
