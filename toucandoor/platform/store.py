"""Client for the platform's key-value store."""

from __future__ import annotations

import base64
import binascii
import logging
import time
from typing import TYPE_CHECKING, Any, Final

import msgspec

from toucandoor.core.records import (
    DEFAULT_VALUE_BYTES_MAX,
    Changes,
    HistoryLostError,
    LeaseEndedError,
    Record,
    RecordStore,
    Snapshot,
    StoreLease,
    Transaction,
    TransactionConflictError,
)
from toucandoor.core.response_times import ResponseTimes
from toucandoor.exceptions import (
    StoreAnswerLostError,
    StoreRejectedError,
    StoreUnavailableError,
)
from toucandoor.ids import StoreLeaseId
from toucandoor.platform.http import (
    Answer,
    AnswerUnreadableError,
    CallNotSentError,
    CallUnansweredError,
    PlatformHttp,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

_LOGGER = logging.getLogger(__name__)

TIMEOUT_S_MIN: Final = 0.15
"""Shortest time-out of a read, write or renewal; the store usually answers in milliseconds.
Otherwise one lost answer delays all jobs of a write, or the renewal of the ownership, by the
longest."""
WATCH_ANSWER_SLACK_S: Final = 0.8
"""Time that the answer to a watch may take beyond its waiting time; later, its connection counts as
dead."""


BASE64_RATIO: Final = 4 / 3
"""Length of a value's text to that of the value."""
LINK_SHARES: Final = 4
"""Calls at once among which the link is shared when a large value is written."""


class _Item(msgspec.Struct, frozen=True):
    key: str
    revision: int
    value: str = ""
    created: int = 0
    deleted: bool = False


class _Range(msgspec.Struct, frozen=True):
    items: list[_Item]
    at: int
    has_more: bool = False


class _Watch(msgspec.Struct, frozen=True):
    events: list[_Item]
    at: int


class _Written(msgspec.Struct, frozen=True):
    revision: int


class _Conflict(msgspec.Struct, frozen=True):
    items: list[_Item] = []


class _Lease(msgspec.Struct, frozen=True):
    ttl_ms: int
    lease_id: int = 0


class PlatformStore(RecordStore):
    """Client for the store over HTTP.

    Args:
        http: The client.
        address: ``IP:port`` of the store.
        timeout_s: Longest wait for an answer. Answers to single reads, writes and renewals are
            waited for no longer than their usual time makes likely.
        value_bytes_max: Largest value that the store accepts.
        link_bytes_per_s: Rate of this VM's link, on which large writes take longer.
    """

    def __init__(
        self,
        http: PlatformHttp,
        address: str,
        timeout_s: float,
        value_bytes_max: int = DEFAULT_VALUE_BYTES_MAX,
        link_bytes_per_s: float = float("inf"),
    ) -> None:
        self._value_bytes_max = value_bytes_max
        self._link_bytes_per_s = link_bytes_per_s
        self._http = http
        self._address = address
        self._timeout_s = timeout_s
        self._response_times = ResponseTimes(min(TIMEOUT_S_MIN, timeout_s), timeout_s)

    def read(self, key: str) -> Record | None:
        """Return a record; None if it does not exist."""
        answer = self._call_timed("read", "GET", "/-/kv-key", query={"key": key})
        if answer.status == 404:
            return None
        return _record(answer, answer.decode(_Item))

    def read_pages(self, prefix: str) -> Iterator[Snapshot]:
        """Yield the records below a prefix in pages."""
        query = {"prefix": prefix}
        while True:
            answer = self._call("read_prefix", "GET", "/-/kv-range", query=query)
            page = answer.decode(_Range)
            records = tuple(_record(answer, item) for item in page.items)
            yield Snapshot(records, page.at, len(answer.body))
            if not page.has_more:
                return
            if not page.items:
                # Otherwise the records that follow would count as removed.
                reason = f"a page below {prefix} is empty, but not the last"
                raise AnswerUnreadableError(reason, step=answer.step, peer=answer.peer)
            query = {"prefix": prefix, "after": page.items[-1].key}

    def watch(self, prefix: str, after_revision: int, wait_s: float) -> Changes:
        """Wait for changes after a revision."""
        query = {
            "prefix": prefix,
            "after": str(after_revision),
            "wait_ms": str(int(wait_s * 1000)),
        }
        timeout_s = wait_s + WATCH_ANSWER_SLACK_S
        answer = self._call("watch", "GET", "/-/kv-watch", query=query, timeout_s=timeout_s)
        if answer.status == 410:
            raise HistoryLostError(
                "the store no longer has all changes after the given revision",
                step=answer.step,
                peer=answer.peer,
            )
        page = answer.decode(_Watch)
        written = tuple(_record(answer, item) for item in page.events if not item.deleted)
        deleted = tuple(item.key for item in page.events if item.deleted)
        # A deletion that carries no revision of its own is dated by the end of the watch.
        deletion_revisions = tuple(
            item.revision if item.revision > after_revision else page.at
            for item in page.events
            if item.deleted
        )
        return Changes(written, deleted, page.at, deletion_revisions)

    def write(self, transaction: Transaction) -> int:
        """Write a transaction and return its revision."""
        self._check_sizes(transaction)
        lease = {} if transaction.lease_id is None else {"lease_id": transaction.lease_id}
        body = {
            "expected_revision": [
                {"key": key, "revision": revision} for key, revision in transaction.expected.items()
            ],
            "write": [
                {"key": key, "value": base64.b64encode(value).decode(), **lease}
                for key, value in transaction.writes.items()
            ],
            "remove": list(transaction.removals),
        }
        size_bytes = sum(map(len, transaction.writes.values()))
        answer = self._call_timed("write", "POST", "/-/kv-txn", body=body, size_bytes=size_bytes)
        if answer.status == 412:
            present = tuple(
                _record(answer, item)
                for item in answer.decode(_Conflict).items
                if item.revision > 0 and not item.deleted
            )
            raise TransactionConflictError(
                "a key has another revision than expected",
                step=answer.step,
                peer=answer.peer,
                present=present,
            )
        if answer.status == 404:
            raise LeaseEndedError("the store has no such lease", step=answer.step, peer=answer.peer)
        return answer.decode(_Written).revision

    def _check_sizes(self, transaction: Transaction) -> None:
        for key, value in transaction.writes.items():
            if len(value) > self._value_bytes_max:
                raise StoreRejectedError(
                    f"the value of {key} has {len(value)} bytes, of at most "
                    f"{self._value_bytes_max}",
                    step="store.write",
                    peer=self._address,
                )

    def grant_lease(self, ttl_s: float) -> StoreLease:
        """Grant a lease and return it."""
        body = {"ttl_ms": int(ttl_s * 1000)}
        lease = self._call("grant_lease", "POST", "/-/kv-lease", body=body).decode(_Lease)
        return StoreLease(StoreLeaseId(lease.lease_id), lease.ttl_ms / 1000)

    def renew_lease(self, lease_id: StoreLeaseId, timeout_s: float | None = None) -> None:
        """Renew a lease."""
        path = f"/-/kv-keep/{lease_id}"
        answer = self._call_timed("renew_lease", "POST", path, timeout_s_max=timeout_s)
        if answer.status == 404:
            raise LeaseEndedError("the store has no such lease", step=answer.step, peer=answer.peer)

    def end_lease(self, lease_id: StoreLeaseId) -> None:
        """End a lease; its keys are removed."""
        self._call("end_lease", "DELETE", f"/-/kv-lease-end/{lease_id}")

    def _call_timed(
        self,
        name: str,
        method: str,
        path: str,
        *,
        body: Any = None,
        query: Mapping[str, str] | None = None,
        timeout_s_max: float | None = None,
        size_bytes: int = 0,
    ) -> Answer:
        """Make a call whose time-out follows the usual times of answers.

        Args:
            size_bytes: Size of the values that are written; they take time on the link.
        """
        timeout_s = self._response_times.timeout_s
        if timeout_s_max is not None:
            timeout_s = min(timeout_s, timeout_s_max)
        sending_s = size_bytes * BASE64_RATIO / self._link_bytes_per_s
        timeout_s += LINK_SHARES * sending_s
        started_s = time.monotonic()
        try:
            answer = self._call(name, method, path, body=body, query=query, timeout_s=timeout_s)
        except StoreAnswerLostError:
            self._response_times.record_unanswered()
            raise
        self._response_times.record(max(0.0, time.monotonic() - started_s - sending_s))
        return answer

    def _call(
        self,
        name: str,
        method: str,
        path: str,
        *,
        body: Any = None,
        query: Mapping[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> Answer:
        step = f"store.{name}"
        try:
            answer = self._http.call(
                method,
                self._address,
                path,
                step=step,
                timeout_s=self._timeout_s if timeout_s is None else timeout_s,
                connect_timeout_s=self._timeout_s,
                body=body,
                query=query,
            )
        except CallNotSentError as err:
            raise StoreUnavailableError(err.reason, step=step, peer=err.peer) from err
        except CallUnansweredError as err:
            raise StoreAnswerLostError(err.reason, step=step, peer=err.peer) from err
        if answer.status in (429, 503):
            # 429 (over the rate limit) and 503 (out of service) mean that nothing was done.
            raise StoreUnavailableError(str(answer.status), step=step, peer=answer.peer)
        if answer.status in (200, 404, 410, 412):
            return answer
        text = answer.body[:100].decode(errors="replace")
        error = StoreRejectedError if 400 <= answer.status < 500 else StoreUnavailableError
        raise error(f"{answer.status} {text}", step=step, peer=answer.peer)


def _record(answer: Answer, item: _Item) -> Record:
    try:
        value = base64.b64decode(item.value, validate=True)
    except binascii.Error as err:
        reason = f"value of {item.key} is not base64"
        raise AnswerUnreadableError(reason, step=answer.step, peer=answer.peer) from err
    return Record(item.key, value, item.revision, item.created)
