"""Baseline of the request path: least connections, with retries on other backend servers."""

from __future__ import annotations

import threading
import uuid

import urllib3

ATTEMPTS_MAX = 3
TIMEOUT_S = 5.0


class SimpleDispatcher:
    """Sends requests to backend servers as a simple proxy does."""

    def __init__(self, addresses: list[str]) -> None:
        self._running = dict.fromkeys(addresses, 0)
        self._lock = threading.Lock()
        self._pool = urllib3.PoolManager(num_pools=64, maxsize=64, retries=False)

    def send_request(self, body: bytes) -> tuple[int, bytes]:
        """Send a request; return the status and body for its caller, 503 after the last attempt."""
        tried: set[str] = set()
        for _ in range(ATTEMPTS_MAX):
            with self._lock:
                untried = {a: n for a, n in self._running.items() if a not in tried}
                address = min(untried, key=lambda each: untried[each])
                self._running[address] += 1
            tried.add(address)
            try:
                response = self._pool.request(
                    "POST",
                    f"http://{address}/v1/tasks",
                    body=body,
                    headers={"X-Task-Id": uuid.uuid4().hex, "X-Task-Lease-S": "30"},
                    timeout=TIMEOUT_S,
                )
                if response.status == 200:
                    return 200, response.data
            except urllib3.exceptions.HTTPError:
                pass
            finally:
                with self._lock:
                    self._running[address] -= 1
        return 503, b""
