"""Stand-ins of the platform's backend servers over HTTP, for tests of real nodes.

They follow the platform's protocol as far as `toucandoor-node` uses it. The stand-ins in virtual
time decide what happens; here they run by the clock of the machine.
"""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Any

from toucandoor.core.jobs.models import TaskKey
from toucandoor.core.scheduling.workers import (
    EndReason,
    OrderRefusal,
    OrderRefusedError,
    RunKey,
    StartOrder,
)
from toucandoor.fakes.virtual_platform import Observations, VirtualWorker
from toucandoor.ids import FencingToken, JobId
from toucandoor.platform.fakes.store import POLL_S, HttpServer
from toucandoor.platform.operator_records import WORKER_PREFIX
from toucandoor.platform.workers import task_name

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.clock import Clock
    from toucandoor.core.scheduling.workers import WorkerEntry
    from toucandoor.fakes.virtual_platform import TaskBehaviour
    from toucandoor.ids import WorkerId
    from toucandoor.platform.fakes.store import Answer, FakePlatformStore

_REFUSALS = {
    OrderRefusal.FENCED: "fence",
    OrderRefusal.SUPERSEDED: "old",
    OrderRefusal.DEADLINE_PASSED: "late",
    OrderRefusal.NO_ROOM: "room",
}
_END_REASONS = {
    EndReason.DONE: "done",
    EndReason.FAILED: "failed",
    EndReason.STOPPED: "stopped",
    EndReason.LEASE_EXPIRED: "lapsed",
}


class FakeBackendServers:
    """Backend servers, each at an address of its own.

    Args:
        clock: The machine's clock.
        behaviour: Returns how a task runs on a backend server.

    Attributes:
        observations: Runs and violations of all servers.
    """

    def __init__(
        self, clock: Clock, behaviour: Callable[[TaskKey, WorkerId], TaskBehaviour]
    ) -> None:
        self.observations = Observations()
        self._clock = clock
        self._behaviour = behaviour
        self._lock = threading.Lock()
        self._servers: list[HttpServer] = []

    def boot(self, entry: WorkerEntry, store: FakePlatformStore) -> None:
        """Start a server at its address and write its entry to the store."""
        worker = VirtualWorker(entry, self._clock, self.observations, self._behaviour)
        self._servers.append(
            HttpServer(entry.address, lambda path, _, body: self._call(worker, path, body))
        )
        capacity = entry.capacity
        store.put(
            f"{WORKER_PREFIX}{entry.worker_id}",
            {
                "service": entry.pool,
                "address": entry.address,
                "zone": entry.data_centre,
                "state": "ready",
                "capacity": {
                    "cpu": capacity.cpu_millicores,
                    "mem_mb": capacity.memory_mb,
                    "gpu": capacity.gpus,
                },
                "labels": entry.labels,
                "sequence": 1,
                "born": entry.booted_unix_ms,
            },
        )

    def stop(self) -> None:
        """Stop all servers."""
        for server in self._servers:
            server.stop()

    def _call(self, worker: VirtualWorker, path: str, body: dict[str, Any]) -> Answer:
        token = FencingToken(body["fencing_token"])
        until_s = self._clock.monotonic_s() + body.get("wait_ms", 0) / 1000
        while True:
            with self._lock:
                try:
                    if path == "run-start":
                        run, until_ms = _run_key(body), body["deadline_ms"]
                        order = StartOrder(run, body["spec"], until_ms, token, "")
                        return 200, {"clock_ms": worker.start(order)}
                    if path == "run-stop":
                        return 200, {"clock_ms": worker.stop(_run_key(body), token)}
                    report = worker.heartbeat(token, body.get("deadline_ms"), body["last_seen"])
                except OrderRefusedError as err:
                    return 409, {"reason": _REFUSALS[err.refusal], "clock_ms": err.clock_ms}
            if report.ended or self._clock.monotonic_s() >= until_s:
                return 200, {
                    "clock_ms": report.clock_ms,
                    "born": report.booted_unix_ms,
                    "active": [
                        [*_run_row(each.run), each.checkpoint, each.speed_percent]
                        for each in report.active
                    ],
                    "finished": [
                        [each.sequence, *_run_row(each.run), _END_REASONS[each.reason]]
                        for each in report.ended
                    ],
                }
            time.sleep(POLL_S)


def _run_key(body: dict[str, Any]) -> RunKey:
    job_id, *numbers = body["task"].split(".")
    return RunKey(TaskKey(JobId(job_id), *map(int, numbers)), body["attempt"])


def _run_row(run: RunKey) -> list[Any]:
    return [task_name(run.task), run.attempt]
