"""Stand-in for the platform's key-value service and its VM list.

Keeps everything in memory. Faults are set through ``POST /control/faults``; see
docs/platform-store.md for both interfaces.
"""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote

from toucandoor.adapters.wsgi import Environ, StartResponse, read_json, respond_json

VALUE_BYTES_MAX = 1024 * 1024


@dataclass(slots=True)
class _Stored:
    value: str
    revision: int
    lease_id: str | None


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    expires_s: float


class FakeStore:
    """Compare-and-swap, leases and watches over one dictionary and one lock.

    Methods return the HTTP status and the body of the response.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._values: dict[str, _Stored] = {}
        self._history: list[tuple[int, str]] = []
        self._leases: dict[str, _Lease] = {}
        self._revision = 0

    def get(self, key: str) -> tuple[int, Any]:
        """Return a key's value and revision."""
        with self._changed:
            self._drop_expired()
            stored = self._values.get(key)
            if stored is None:
                return 404, {"reason": "no such key"}
            return 200, self._to_json(key, stored)

    def list(self, prefix: str) -> tuple[int, Any]:
        """Return all values below a prefix."""
        with self._changed:
            self._drop_expired()
            values = [self._to_json(k, v) for k, v in self._values.items() if k.startswith(prefix)]
            return 200, {"values": values, "revision": self._revision}

    def put(self, key: str, body: dict[str, Any]) -> tuple[int, Any]:
        """Write a value if the key has the expected revision."""
        value, expected = body.get("value"), body.get("expected_revision")
        lease_id = body.get("lease_id")
        if not isinstance(value, str) or len(value.encode()) > VALUE_BYTES_MAX:
            return 400, {"reason": "value must be a string of at most 1 MiB"}
        with self._changed:
            self._drop_expired()
            present = self._values[key].revision if key in self._values else 0
            if expected is not None and expected != present:
                return 409, {"reason": "another revision", "revision": present}
            if lease_id is not None and lease_id not in self._leases:
                return 400, {"reason": "no such lease"}
            self._record_change(key)
            self._values[key] = _Stored(value, self._revision, lease_id)
            return 200, {"revision": self._revision}

    def delete(self, key: str, expected: int | None) -> tuple[int, Any]:
        """Delete a key if it has the expected revision."""
        with self._changed:
            self._drop_expired()
            if key not in self._values:
                return 404, {"reason": "no such key"}
            present = self._values[key].revision
            if expected is not None and expected != present:
                return 409, {"reason": "another revision", "revision": present}
            del self._values[key]
            self._record_change(key)
            return 200, {"revision": self._revision}

    def watch(self, prefix: str, after_revision: int, wait_s: float) -> tuple[int, Any]:
        """Wait for changes below a prefix after a revision, for at most `wait_s`."""
        deadline_s = time.monotonic() + wait_s
        with self._changed:
            while True:
                self._drop_expired()
                keys = {k for r, k in self._history if r > after_revision and k.startswith(prefix)}
                left_s = deadline_s - time.monotonic()
                if keys or left_s <= 0:
                    break
                self._changed.wait(min(left_s, 0.5))
            changed = [self._to_json(k, self._values[k]) for k in sorted(keys) if k in self._values]
            deleted = sorted(k for k in keys if k not in self._values)
            return 200, {"revision": self._revision, "changed": changed, "deleted": deleted}

    def grant_lease(self, ttl_s: float) -> tuple[int, Any]:
        """Grant a new lease."""
        with self._changed:
            self._revision += 1
            lease_id = f"lease-{self._revision}"
            self._leases[lease_id] = _Lease(ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease_id": lease_id, "ttl_s": ttl_s}

    def renew_lease(self, lease_id: str) -> tuple[int, Any]:
        """Renew a lease that has not expired."""
        with self._changed:
            self._drop_expired()
            lease = self._leases.get(lease_id)
            if lease is None:
                return 404, {"reason": "no such lease"}
            lease.expires_s = time.monotonic() + lease.ttl_s
            return 200, {"ttl_s": lease.ttl_s}

    def revoke_lease(self, lease_id: str) -> tuple[int, Any]:
        """End a lease and delete its keys."""
        with self._changed:
            self._end_lease(lease_id)
            return 200, {}

    def extend_leases(self, seconds: float) -> None:
        """Extend all leases, as a store does after an outage of its own."""
        with self._changed:
            for lease in self._leases.values():
                lease.expires_s += seconds

    def _to_json(self, key: str, stored: _Stored) -> dict[str, Any]:
        return {"key": key, "value": stored.value, "revision": stored.revision}

    def _record_change(self, key: str) -> None:
        self._revision += 1
        self._history.append((self._revision, key))
        del self._history[:-10_000]
        self._changed.notify_all()

    def _drop_expired(self) -> None:
        now_s = time.monotonic()
        for lease_id in [i for i, lease in self._leases.items() if lease.expires_s <= now_s]:
            self._end_lease(lease_id)

    def _end_lease(self, lease_id: str) -> None:
        self._leases.pop(lease_id, None)
        for key in [k for k, v in self._values.items() if v.lease_id == lease_id]:
            del self._values[key]
            self._record_change(key)


@dataclass(slots=True)
class Faults:
    """Faults that the stand-in simulates at present.

    Attributes:
        down: Every call is refused.
        delay_s: Added to the duration of every call, in seconds.
        lose_answers: Writes take effect, but their answers are not sent.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: bool = False


class FakePlatform:
    """WSGI application of the store, the VM list and the control interface for faults."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self.vms: dict[str, dict[str, Any]] = {}

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Serve one call."""
        path, method = unquote(environ["PATH_INFO"]), environ["REQUEST_METHOD"]
        query = {k: v[0] for k, v in parse_qs(environ.get("QUERY_STRING", "")).items()}
        try:
            if path.startswith("/control/"):
                return respond_json(start_response, *self._control(method, path, environ))
            status, body = self._serve_with_faults(method, path, query, environ)
        except (ValueError, KeyError, TypeError) as err:
            status, body = 400, {"reason": f"bad request: {err!r}"}
        return respond_json(start_response, status, body)

    def _serve_with_faults(
        self, method: str, path: str, query: dict[str, str], environ: Environ
    ) -> tuple[int, Any]:
        self.calls[f"{method} {path.split('/')[2]}"] += 1
        if self.faults.delay_s:
            time.sleep(self.faults.delay_s)
        if self.faults.down:
            return 503, {"reason": "the store is down"}
        status, body = self._serve(method, path, query, environ)
        if self.faults.lose_answers and method in ("PUT", "DELETE"):
            environ["wsgi.input"].read()
            time.sleep(30)
        if self.faults.down:
            return 503, {"reason": "the store went down"}
        return status, body

    def _serve(
        self, method: str, path: str, query: dict[str, str], environ: Environ
    ) -> tuple[int, Any]:
        match (method, path.split("/", 3)[2:]):
            case ("GET", ["vms"]):
                return 200, {"vms": list(self.vms.values())}
            case ("GET", ["kv"]):
                return self.store.list(query["prefix"])
            case ("GET", ["kv", key]):
                return self.store.get(key)
            case ("PUT", ["kv", key]):
                return self.store.put(key, read_json(environ))
            case ("DELETE", ["kv", key]):
                expected = query.get("expected_revision")
                return self.store.delete(key, None if expected is None else int(expected))
            case ("GET", ["watch"]):
                wait_s = min(float(query.get("wait_s", "0")), 60.0)
                return self.store.watch(query["prefix"], int(query["after_revision"]), wait_s)
            case ("POST", ["leases"]):
                return self.store.grant_lease(float(read_json(environ)["ttl_s"]))
            case ("POST", ["leases", rest]) if rest.endswith("/renew"):
                return self.store.renew_lease(rest.removesuffix("/renew"))
            case ("DELETE", ["leases", lease_id]):
                return self.store.revoke_lease(lease_id)
        return 404, {"reason": f"no such call: {method} {path}"}

    def _control(self, method: str, path: str, environ: Environ) -> tuple[int, Any]:
        match (method, path):
            case ("POST", "/control/faults"):
                self.faults = Faults(**read_json(environ))
                return 200, {}
            case ("POST", "/control/vms"):
                self.vms = {vm["id"]: vm for vm in read_json(environ)["vms"]}
                return 200, {}
            case ("GET", "/control/calls"):
                return 200, dict(self.calls)
        return 404, {"reason": f"no such call: {method} {path}"}
