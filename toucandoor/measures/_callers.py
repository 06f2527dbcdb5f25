"""Callers that send small requests one after another, and record the outcome of each."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from types import TracebackType
from typing import Self

import urllib3

from toucandoor.measures._deployment import LocalDeployment
from toucandoor.measures._faulty_pool import SECRET
from toucandoor.measures._simple_dispatcher import SimpleDispatcher

SendRequest = Callable[[bytes, bool], int]
"""Sends a body, idempotent or not; returns the HTTP status, 0 if there was no answer."""


def make_entry_sender(deployment: LocalDeployment, deadline_s: float) -> SendRequest:
    """Return a function that sends through the deployment's entries in turn."""
    entries = len(deployment.entry_vms)
    turn = iter(range(10**9))

    def send(body: bytes, idempotent: bool) -> int:
        headers = {
            "Toucandoor-Idempotent": "true" if idempotent else "false",
            "Toucandoor-Deadline-S": str(deadline_s),
        }
        entry = next(turn) % entries
        try:
            return deployment.request("q", body, key=SECRET, headers=headers, entry=entry).status
        except urllib3.exceptions.HTTPError:
            return 0

    return send


def make_baseline_sender(dispatcher: SimpleDispatcher) -> SendRequest:
    """Return a function that sends through the baseline."""
    return lambda body, _idempotent: dispatcher.send_request(body)[0]


@dataclass(frozen=True, slots=True)
class ObservedRequest:
    """Outcome of one request for its caller; times are monotonic."""

    started_s: float
    ended_s: float
    status: int

    def failed_or_slow(self, slow_s: float) -> bool:
        """Return whether it failed or took longer than a limit."""
        return self.status != 200 or self.ended_s - self.started_s > slow_s


class Callers:
    """Callers in background threads; every second request of a caller is idempotent."""

    def __init__(self, send: SendRequest, callers: int, run_s: float) -> None:
        self._send = send
        self._callers = callers
        self._run_s = run_s
        self._stop = threading.Event()
        self._threads = ThreadPoolExecutor(callers)
        self.observed: list[ObservedRequest] = []

    def __enter__(self) -> Self:
        for caller in range(self._callers):
            self._threads.submit(self._call, caller)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stop.set()
        self._threads.shutdown()

    def _call(self, caller: int) -> None:
        count = 0
        while not self._stop.is_set():
            count += 1
            body = json.dumps({"run_s": self._run_s, "result": f"{caller}-{count}"}).encode()
            started_s = time.monotonic()
            status = self._send(body, count % 2 == 0)
            self.observed.append(ObservedRequest(started_s, time.monotonic(), status))
            if status != 200:
                time.sleep(0.05)
