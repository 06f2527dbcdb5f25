"""Writes the records that only the schedule's owner writes."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from toucandoor.core.ownership.lease import OWNER_KEY
from toucandoor.core.records import TransactionConflictError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from toucandoor.core.records import Record, RecordStore, Transaction
    from toucandoor.ids import FencingToken


class OwnerRecords:
    """Writes records so that a write that the store carries out late replaces no later one.

    Each write expects the ownership, and the revision that the write before has left of each of its
    records. Writes of one record must not overlap; those of different ones may, in several threads.

    Args:
        store: The platform's store.
        token: Fencing token of the schedule's owner: the revision of the ownership record.
    """

    def __init__(self, store: RecordStore, token: FencingToken) -> None:
        self._store = store
        self._token = int(token)
        self._revisions: dict[str, int] = {}

    def loaded(self, records: Iterable[Record]) -> None:
        """Process records that the owner has read at the start of its term."""
        self._revisions.update((record.key, record.revision) for record in records)

    def write(self, transaction: Transaction) -> None:
        """Write records.

        Raises:
            TransactionConflictError: Another owner has been detected, or an earlier write has taken
                effect at the same time.
            ToucandoorError: The records were not written, or may not have been.
        """
        try:
            self._write(transaction)
        except TransactionConflictError as err:
            # An earlier write without an answer has taken effect, or the record is not known yet.
            present = {record.key: record.revision for record in err.present}
            if present.get(OWNER_KEY) != self._token:
                raise
            self._revisions.update((key, present.get(key, 0)) for key in transaction.writes)
            self._write(transaction)

    def _write(self, transaction: Transaction) -> None:
        known = {key: self._revisions.get(key, 0) for key in transaction.writes}
        expected = transaction.expected | known | {OWNER_KEY: self._token}
        revision = self._store.write(replace(transaction, expected=expected))
        self._revisions.update(dict.fromkeys(transaction.writes, revision))
