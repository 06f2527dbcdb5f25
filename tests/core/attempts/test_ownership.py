"""Tests of the ownership of idempotency keys."""

from __future__ import annotations

import unittest
import uuid
from collections import Counter
from dataclasses import replace

from toucandoor.core.attempts.ownership import (
    AnnouncedAttempt,
    ClaimGranted,
    ClaimRefusal,
    EarlierClaim,
    IdempotencyOwner,
    SubmissionKey,
    key_created_s,
    rank_entries,
)
from toucandoor.ids import AttemptId, EntryId, QueueId, TeamId, VmId

ENTRIES = [EntryId(f"entry-{n}") for n in range(8)]
ATTEMPT = AnnouncedAttempt(AttemptId("a1"), VmId("vm-1"), "vm-1:80", 200.0)


def uuid7(at_s: float, tail: int = 1) -> str:
    value = (int(at_s * 1000) << 80) | (7 << 76) | (2 << 62) | tail
    return str(uuid.UUID(int=value))


def key(text: str) -> SubmissionKey:
    return SubmissionKey(QueueId("q"), TeamId("a"), text)


def owned_by(entry: EntryId, at_s: float, above: EntryId | None = None) -> SubmissionKey:
    """Return a key that the entry owns; with ``above``, only once that entry was removed."""
    for tail in range(10_000):
        submission = key(uuid7(at_s, tail))
        order = rank_entries(submission, ENTRIES)
        if (order[0] == entry and above is None) or order[:2] == [above, entry]:
            return submission
    raise AssertionError("no such key")


class OwnershipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.owner = IdempotencyOwner(ENTRIES[0], since_s=100.0)
        self.owner.update_entries(ENTRIES, 100.0)
        self.first, self.second = ClaimGranted(100_000), ClaimGranted(100_001)

    def earlier(self, attempt: AnnouncedAttempt | None = None) -> EarlierClaim:
        return EarlierClaim(ENTRIES[1], attempt, self.first.number)

    def test_an_attempt_announced_before_a_take_over_is_not_passed_over(self) -> None:
        submission = owned_by(ENTRIES[0], 200.0)
        self.owner.claim(submission, ENTRIES[1], 200.0)
        self.owner.announce(submission, self.first.number, ATTEMPT)
        for late in (None, replace(ATTEMPT, attempt_id=AttemptId("a0"))):
            answer = self.owner.take_over(submission, self.earlier(late), ENTRIES[2], 201.0)
            self.assertEqual(answer, self.earlier(ATTEMPT))

    def test_all_entries_agree_and_keys_spread(self) -> None:
        owners = Counter(rank_entries(key(str(n)), ENTRIES)[0] for n in range(4000))
        self.assertEqual(rank_entries(key("x"), ENTRIES), rank_entries(key("x"), reversed(ENTRIES)))
        self.assertTrue(all(350 < owners[entry] < 650 for entry in ENTRIES), owners)

    def test_a_leaving_entry_moves_only_its_own_keys(self) -> None:
        for number in range(500):
            before = rank_entries(key(str(number)), ENTRIES)[0]
            after = rank_entries(key(str(number)), ENTRIES[1:])[0]
            if before != ENTRIES[0]:
                self.assertEqual(before, after)

    def test_a_repeat_gets_the_earlier_attempt(self) -> None:
        submission = owned_by(ENTRIES[0], 200.0)
        granted = self.owner.claim(submission, ENTRIES[1], 200.0)
        self.assertEqual(granted, self.first)
        self.assertEqual(self.owner.claim(submission, ENTRIES[2], 200.1), self.earlier())
        self.assertTrue(self.owner.announce(submission, self.first.number, ATTEMPT))
        self.assertEqual(
            self.owner.claim(submission, ENTRIES[2], 200.2),
            self.earlier(ATTEMPT),
        )

    def test_the_earlier_claimant_can_send_nothing_after_a_take_over(self) -> None:
        submission = owned_by(ENTRIES[0], 200.0)
        self.owner.claim(submission, ENTRIES[1], 200.0)
        self.assertEqual(
            self.owner.take_over(submission, self.earlier(), ENTRIES[2], 201.0), self.second
        )
        self.assertFalse(self.owner.announce(submission, self.first.number, ATTEMPT))
        self.assertTrue(self.owner.announce(submission, self.second.number, ATTEMPT))

    def test_two_racing_take_overs_grant_once(self) -> None:
        submission = owned_by(ENTRIES[0], 200.0)
        self.owner.claim(submission, ENTRIES[1], 200.0)
        self.owner.take_over(submission, self.earlier(), ENTRIES[2], 201.0)
        self.assertEqual(
            self.owner.take_over(submission, self.earlier(), ENTRIES[3], 201.0),
            EarlierClaim(ENTRIES[2], None, self.second.number),
        )

    def test_a_claim_that_was_not_run_may_be_made_again(self) -> None:
        submission = owned_by(ENTRIES[0], 200.0)
        self.owner.claim(submission, ENTRIES[1], 200.0)
        self.owner.release(submission, self.first.number)
        self.assertEqual(self.owner.claim(submission, ENTRIES[2], 201.0), self.second)

    def test_an_owner_younger_than_the_key_does_not_guess(self) -> None:
        submission = owned_by(ENTRIES[0], 99.0)
        self.assertEqual(
            self.owner.claim(submission, ENTRIES[1], 101.0), ClaimRefusal.OWNER_YOUNGER
        )

    def test_a_key_without_time_waits_until_the_owner_is_old_enough(self) -> None:
        texts = (f"order-{n}" for n in range(999))
        submission = next(key(t) for t in texts if rank_entries(key(t), ENTRIES)[0] == ENTRIES[0])
        self.assertEqual(
            self.owner.claim(submission, ENTRIES[1], 200.0), ClaimRefusal.OWNER_YOUNGER
        )
        self.assertEqual(self.owner.claim(submission, ENTRIES[1], 702.0), self.first)

    def test_keys_of_a_removed_entry_must_be_younger_than_its_removal(self) -> None:
        before = owned_by(ENTRIES[0], 250.0, above=ENTRIES[5])
        after = owned_by(ENTRIES[0], 305.0, above=ENTRIES[5])
        self.assertEqual(self.owner.claim(before, ENTRIES[1], 260.0), ClaimRefusal.NOT_OWNER)
        self.owner.update_entries([e for e in ENTRIES if e != ENTRIES[5]], 300.0)
        self.assertEqual(self.owner.claim(before, ENTRIES[1], 306.0), ClaimRefusal.OWNER_YOUNGER)
        self.assertEqual(self.owner.claim(after, ENTRIES[1], 306.0), self.first)

    def test_a_forgotten_key_is_too_old_to_be_run_again(self) -> None:
        submission = owned_by(ENTRIES[0], 200.0)
        self.owner.claim(submission, ENTRIES[1], 200.0)
        self.assertEqual(self.owner.claim(submission, ENTRIES[1], 900.0), ClaimRefusal.TOO_OLD)

    def test_a_key_from_the_future_has_no_time(self) -> None:
        submission = owned_by(ENTRIES[0], 5000.0)
        self.assertEqual(
            self.owner.claim(submission, ENTRIES[1], 200.0), ClaimRefusal.OWNER_YOUNGER
        )

    def test_a_restarted_owner_knows_no_earlier_number(self) -> None:
        submission = owned_by(ENTRIES[0], 200.0)
        self.owner.claim(submission, ENTRIES[1], 200.0)
        restarted = IdempotencyOwner(ENTRIES[0], since_s=201.0)
        restarted.update_entries(ENTRIES, 201.0)
        self.assertFalse(restarted.announce(submission, self.first.number, ATTEMPT))
        self.assertEqual(restarted.claim(submission, ENTRIES[1], 201.5), ClaimRefusal.OWNER_YOUNGER)

    def test_only_version_7_carries_a_time(self) -> None:
        self.assertEqual(key_created_s(uuid7(1234.5)), 1234.5)
        self.assertIsNone(key_created_s(str(uuid.UUID(int=5, version=4))))
        self.assertIsNone(key_created_s("order-7"))
