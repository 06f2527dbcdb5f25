"""Client of the platform's key-value service; see docs/platform-store.md."""

from __future__ import annotations

import json
from abc import ABC, abstractmethod
from collections import Counter
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

import urllib3

from toucandoor.exceptions import (
    StoreAnswerLostError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A key's value and the store revision that wrote it."""

    key: str
    value: str
    revision: int


@dataclass(frozen=True, slots=True)
class WatchResult:
    """Changes that a watch returned.

    Attributes:
        revision: Revision of the store; the next watch starts after it.
        changed: Present values of the changed keys.
        deleted: Keys that have been deleted.
    """

    revision: int
    changed: tuple[StoredValue, ...]
    deleted: tuple[str, ...]


class Store(ABC):
    """Interface to the platform's key-value service. All calls block and raise `StoreError`."""

    @abstractmethod
    def get(self, key: str) -> StoredValue | None:
        """Return a key's value, None when it does not exist."""

    @abstractmethod
    def list(self, prefix: str) -> tuple[StoredValue, ...]:
        """Return all values below a prefix."""

    @abstractmethod
    def put(
        self, key: str, value: str, *, expected_revision: int | None, lease_id: str | None = None
    ) -> int:
        """Write a value and return its revision.

        Args:
            expected_revision: Revision the key must have; 0 if it must not exist, None for any.
            lease_id: Lease whose end deletes the key.

        Raises:
            StoreConflictError: The key has another revision.
            StoreAnswerLostError: The write may have taken effect.
            StoreUnavailableError: Nothing was written.
        """

    @abstractmethod
    def delete(self, key: str, *, expected_revision: int | None) -> None:
        """Delete a key; raises the same errors as `put`."""

    @abstractmethod
    def watch(self, prefix: str, after_revision: int, wait_s: float) -> WatchResult:
        """Wait up to `wait_s` for changes below a prefix after a revision; may return none."""

    @abstractmethod
    def grant_lease(self, ttl_s: float) -> str:
        """Return the id of a new lease."""

    @abstractmethod
    def renew_lease(self, lease_id: str) -> bool:
        """Renew a lease; False when it has expired."""

    @abstractmethod
    def revoke_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys."""


class HttpStore(Store):
    """Client of the store's HTTP interface.

    Args:
        address: ``IP:port`` of the store.
        timeout_s: Timeout to connect, and again to answer, in seconds; a watch adds its wait.

    Attributes:
        calls: Number of calls so far, by kind; a watch counts as one call.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(num_pools=2, maxsize=4, retries=False)
        self.calls: Counter[str] = Counter()

    def get(self, key: str) -> StoredValue | None:
        """Return a key's value, None when it does not exist."""
        body = self._call("get", "GET", f"/v1/kv/{quote(key, safe='')}", missing_ok=True)
        return None if body is None else _decode_value(body)

    def list(self, prefix: str) -> tuple[StoredValue, ...]:
        """Return all values below a prefix."""
        body = self._call("list", "GET", "/v1/kv?" + urlencode({"prefix": prefix}))
        return tuple(_decode_value(item) for item in body["values"])

    def put(
        self, key: str, value: str, *, expected_revision: int | None, lease_id: str | None = None
    ) -> int:
        """Write a value and return its revision."""
        body = {"value": value, "expected_revision": expected_revision, "lease_id": lease_id}
        answer = self._call("put", "PUT", f"/v1/kv/{quote(key, safe='')}", body)
        return int(answer["revision"])

    def delete(self, key: str, *, expected_revision: int | None) -> None:
        """Delete a key."""
        query = "" if expected_revision is None else f"?expected_revision={expected_revision}"
        self._call("delete", "DELETE", f"/v1/kv/{quote(key, safe='')}{query}", missing_ok=True)

    def watch(self, prefix: str, after_revision: int, wait_s: float) -> WatchResult:
        """Wait for changes below a prefix after a revision."""
        query = urlencode({"prefix": prefix, "after_revision": after_revision, "wait_s": wait_s})
        body = self._call("watch", "GET", f"/v1/watch?{query}", extra_wait_s=wait_s)
        return WatchResult(
            revision=body["revision"],
            changed=tuple(_decode_value(item) for item in body["changed"]),
            deleted=tuple(body["deleted"]),
        )

    def grant_lease(self, ttl_s: float) -> str:
        """Return the id of a new lease."""
        return str(self._call("lease", "POST", "/v1/leases", {"ttl_s": ttl_s})["lease_id"])

    def renew_lease(self, lease_id: str) -> bool:
        """Renew a lease; False when it has expired."""
        path = f"/v1/leases/{quote(lease_id, safe='')}/renew"
        return self._call("lease", "POST", path, {}, missing_ok=True) is not None

    def revoke_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys."""
        self._call("lease", "DELETE", f"/v1/leases/{quote(lease_id, safe='')}", missing_ok=True)

    def _call(
        self,
        kind: str,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        *,
        missing_ok: bool = False,
        extra_wait_s: float = 0.0,
    ) -> Any:
        self.calls[kind] += 1
        step = f"store.{kind}"
        timeout = urllib3.Timeout(connect=self._timeout_s, read=self._timeout_s + extra_wait_s)
        try:
            response = self._pool.request(
                method, f"http://{self._address}{path}", json=body, timeout=timeout
            )
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as e:
            raise StoreUnavailableError("cannot connect", step=step, peer=self._address) from e
        except urllib3.exceptions.HTTPError as e:
            raise StoreAnswerLostError("no answer", step=step, peer=self._address) from e
        return self._decode_response(response, step, missing_ok=missing_ok)

    def _decode_response(self, response: Any, step: str, *, missing_ok: bool) -> Any:
        if response.status == 404 and missing_ok:
            return None
        try:
            answer = json.loads(response.data)
        except ValueError as e:
            raise StoreAnswerLostError("answer is not JSON", step=step, peer=self._address) from e
        if response.status == 200:
            return answer
        reason = str(answer.get("reason", response.status))
        if response.status == 409:
            revision = int(answer.get("revision", 0))
            raise StoreConflictError(reason, step=step, peer=self._address, revision=revision)
        if response.status == 503:
            raise StoreUnavailableError(reason, step=step, peer=self._address)
        raise StoreError(reason, step=step, peer=self._address)


def _decode_value(item: Any) -> StoredValue:
    return StoredValue(key=item["key"], value=item["value"], revision=item["revision"])
