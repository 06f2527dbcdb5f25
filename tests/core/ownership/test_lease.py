"""The holder of the ownership stops acting before the store can grant it to another entry VM."""

from __future__ import annotations

import unittest

from toucandoor.clock import ManualClock
from toucandoor.core.ownership.lease import (
    OWNER_TTL_S,
    VALIDITY_MARGIN_S,
    OwnerRecord,
    OwnershipLease,
    decode_owner,
    encode_owner,
)
from toucandoor.ids import EntryId


class OwnershipLeaseTest(unittest.TestCase):
    """Validity by the holder's own clock."""

    def test_it_ends_before_the_lease_in_the_store_expires(self) -> None:
        clock = ManualClock()
        lease = OwnershipLease(clock, clock.monotonic_s(), OWNER_TTL_S)
        clock.advance(OWNER_TTL_S - VALIDITY_MARGIN_S - 0.01)
        self.assertTrue(lease.valid)
        clock.advance(0.02)
        self.assertFalse(lease.valid)

    def test_it_counts_from_before_the_renewal_was_sent(self) -> None:
        clock = ManualClock()
        lease = OwnershipLease(clock, clock.monotonic_s(), OWNER_TTL_S)
        sent_s = clock.monotonic_s()
        clock.advance(OWNER_TTL_S)
        lease.record_renewal(sent_s)
        self.assertFalse(lease.valid)

    def test_a_renewal_makes_it_valid_again(self) -> None:
        clock = ManualClock()
        lease = OwnershipLease(clock, clock.monotonic_s(), OWNER_TTL_S)
        clock.advance(5.0)
        lease.record_renewal(clock.monotonic_s())
        self.assertTrue(lease.valid)

    def test_record(self) -> None:
        record = OwnerRecord(EntryId("edge-1"), "abc")
        self.assertEqual(decode_owner(encode_owner(record)), record)


if __name__ == "__main__":
    unittest.main()
