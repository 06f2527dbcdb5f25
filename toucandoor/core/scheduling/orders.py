"""Orders and writes that the scheduler returns for other components to carry out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from toucandoor.core.jobs.models import StepKey
    from toucandoor.core.records import Transaction
    from toucandoor.core.scheduling.progress import JobProgress
    from toucandoor.core.scheduling.worker_view import Run, WorkerView
    from toucandoor.core.scheduling.workers import StartOrder
    from toucandoor.ids import FencingToken, WorkerId


@dataclass(frozen=True, slots=True, eq=False)
class StartRun:
    """Send a start order for a run."""

    run: Run
    order: StartOrder


@dataclass(frozen=True, slots=True, eq=False)
class StopRun:
    """Send a stop order for a run."""

    run: Run
    token: FencingToken


@dataclass(frozen=True, slots=True, eq=False)
class LimitSpeed:
    """Limit a run to a share of its full speed."""

    run: Run
    percent: int
    token: FencingToken


@dataclass(frozen=True, slots=True, eq=False)
class SendHeartbeat:
    """Send a heartbeat to a backend server, which extends its lease and returns its status report.

    Attributes:
        worker: Boot of the backend server.
        token: Fencing token of the schedule's owner.
        lease_until_ms: New end of the lease on the server's clock; None to leave it unchanged.
        acknowledged: Highest `EndedRun.sequence` that the server may forget.
        wait_s: Longest wait for a run to end before the server answers.
    """

    worker: WorkerView
    token: FencingToken
    lease_until_ms: int | None
    acknowledged: int
    wait_s: float


@dataclass(frozen=True, slots=True, eq=False)
class RequestAdvice:
    """Ask the queue's adviser which of the given backend servers may run a step.

    Attributes:
        step: The step.
        workers: The servers.
        timeout_s: Longest wait for the answer.
    """

    step: StepKey
    workers: tuple[WorkerId, ...]
    timeout_s: float


Order = StartRun | StopRun | LimitSpeed | SendHeartbeat | RequestAdvice


@dataclass(frozen=True, slots=True, eq=False)
class Commit:
    """Write the progress of jobs; planned runs may start only once the write is in the store.

    Attributes:
        transaction: The write.
        jobs: Jobs with the version of their progress that is written.
        planned: Runs that may start once the write is in the store.
    """

    transaction: Transaction
    jobs: tuple[tuple[JobProgress, int], ...]
    planned: tuple[Run, ...]
