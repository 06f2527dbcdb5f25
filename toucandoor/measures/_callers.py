"""Callers that send small jobs without pause, and what they saw."""

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

Send = Callable[[bytes, bool], int]
"""Sends a body, idempotent or not, and returns the status its caller got; 0 for none."""


def through_entries(deployment: LocalDeployment, deadline_s: float) -> Send:
    """Return a way to send through the deployment's entries in turn."""
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


def through_baseline(dispatcher: SimpleDispatcher) -> Send:
    """Return a way to send through the baseline."""
    return lambda body, _idempotent: dispatcher.request(body)[0]


@dataclass(frozen=True, slots=True)
class Seen:
    """One request as its caller saw it; times are monotonic."""

    started_s: float
    ended_s: float
    status: int

    def is_bad(self, slow_s: float) -> bool:
        """Return whether it got no answer or a late one."""
        return self.status != 200 or self.ended_s - self.started_s > slow_s


class Callers:
    """A number of callers, half of whose jobs are idempotent, at work in the background."""

    def __init__(self, send: Send, callers: int, run_s: float) -> None:
        self._send = send
        self._callers = callers
        self._run_s = run_s
        self._stop = threading.Event()
        self._threads = ThreadPoolExecutor(callers)
        self.seen: list[Seen] = []

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
            self.seen.append(Seen(started_s, time.monotonic(), status))
            if status != 200:
                time.sleep(0.05)
