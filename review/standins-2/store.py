"""Stand-in of the platform's metadata store, by the page on it."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING, Any

from loop_http import Call, LoopServer, NoAnswerError

if TYPE_CHECKING:
    from collections.abc import Callable

PAGE_ITEMS = 500


@dataclass
class Item:
    """A stored item."""

    value: bytes
    revision: int
    created: int
    lease: int = 0


@dataclass
class Lease:
    """A lease of keys."""

    ttl_ms: int
    until_s: float


class Store:
    """Items, leases and history; `late` decides which writes are done late and not answered.

    Attributes:
        late: Returns after how many seconds a write is done, without an answer; None to do and
            answer it at once.
        on_write: Called with each key that is written and its value.
    """

    def __init__(self, host: str, port: int) -> None:
        self.server = LoopServer(host, port, self._answer)
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.late: Callable[[dict[str, Any]], float | None] = lambda _body: None
        self.on_write: Callable[[str, bytes], None] = lambda _key, _value: None
        self._history: list[tuple[int, str, Item | None]] = []
        self._leases: dict[int, Lease] = {}
        self._lease_ids = count(7)
        self._changed = asyncio.Event()
        self._tasks: set[Any] = set()

    async def up(self) -> None:
        """Start to serve."""
        await self.server.up()
        self._tasks.add(asyncio.ensure_future(self._end_leases()))

    def put(self, key: str, value: Any) -> None:
        """Write an item as the operator or a worker does."""
        self._write(key, json.dumps(value).encode(), 0, self._next())

    def delete(self, key: str) -> None:
        """Remove an item."""
        if key in self.items:
            self._remove(key, self._next())

    def value(self, key: str) -> Any:
        """Return an item's value as JSON; None if it does not exist."""
        item = self.items.get(key)
        return None if item is None else json.loads(item.value)

    def _next(self) -> int:
        self.revision += 1
        return self.revision

    def _write(self, key: str, value: bytes, lease: int, revision: int) -> None:
        old = self.items.get(key)
        created = revision if old is None else old.created
        self.items[key] = Item(value, revision, created, lease)
        self._history.append((revision, key, self.items[key]))
        self.on_write(key, value)
        self._wake()

    def _remove(self, key: str, revision: int) -> None:
        del self.items[key]
        self._history.append((revision, key, None))
        self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _end_leases(self) -> None:
        while True:
            await asyncio.sleep(0.005)
            now_s = time.monotonic()
            for number in [n for n, lease in self._leases.items() if lease.until_s <= now_s]:
                self._end_lease(number)

    def _end_lease(self, number: int) -> None:
        del self._leases[number]
        for key in [key for key, item in self.items.items() if item.lease == number]:
            self._remove(key, self._next())

    async def _answer(self, call: Call) -> tuple[int, Any]:
        name, _, rest = call.path.removeprefix("/-/").partition("/")
        match name:
            case "kv-key":
                key = call.query["key"]
                item = self.items.get(key)
                return (404, {}) if item is None else (200, _shown(key, item))
            case "kv-range":
                return 200, self._range(call.query["prefix"], call.query.get("after", ""))
            case "kv-watch":
                return await self._watch(call.query)
            case "kv-txn":
                late_s = self.late(call.body)
                if late_s is None:
                    return self._transact(call.body)
                asyncio.get_running_loop().call_later(late_s, self._transact, call.body)
                raise NoAnswerError
            case "kv-lease":
                number, ttl_ms = next(self._lease_ids), max(1000, int(call.body["ttl_ms"]))
                self._leases[number] = Lease(ttl_ms, time.monotonic() + ttl_ms / 1000)
                return 200, {"lease_id": number, "ttl_ms": ttl_ms}
            case "kv-keep" if int(rest) in self._leases:
                lease = self._leases[int(rest)]
                lease.until_s = time.monotonic() + lease.ttl_ms / 1000
                return 200, {"lease_id": int(rest), "ttl_ms": lease.ttl_ms}
            case "kv-lease-end" if int(rest) in self._leases:
                self._end_lease(int(rest))
                return 200, {}
        return 404, {}

    def _range(self, prefix: str, after: str) -> dict[str, Any]:
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        return {
            "items": [_shown(key, self.items[key]) for key in keys[:PAGE_ITEMS]],
            "has_more": len(keys) > PAGE_ITEMS,
            "at": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix, after = query["prefix"], int(query["after"])
        until_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            changed = self._changed
            events = [
                (
                    {"key": key, "revision": revision, "deleted": True}
                    if item is None
                    else _shown(key, item)
                )
                for revision, key, item in self._history
                if revision > after and key.startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, Any]) -> tuple[int, Any]:
        expected = {each["key"]: each["revision"] for each in body.get("expected_revision", [])}
        writes = body.get("write", [])
        for each in writes:
            if each["key"].startswith(("op/", "servers/")):
                return 403, {}
            if each.get("lease_id", 0) and each["lease_id"] not in self._leases:
                return 404, {}
        present = {key: self.items[key] for key in expected if key in self.items}
        if any((present[k].revision if k in present else 0) != r for k, r in expected.items()):
            return 412, {"items": [_shown(key, item) for key, item in present.items()]}
        revision = self._next()
        for each in writes:
            value = base64.b64decode(each["value"])
            self._write(each["key"], value, each.get("lease_id", 0), revision)
        for key in body.get("remove", []):
            if key in self.items:
                self._remove(key, revision)
        return 200, {"revision": revision}


def _shown(key: str, item: Item) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.created,
        "lease_id": item.lease,
    }
