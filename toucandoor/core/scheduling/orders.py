"""What the scheduler asks of the tasks that do input and output."""

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
    """Send a start."""

    run: Run
    order: StartOrder


@dataclass(frozen=True, slots=True, eq=False)
class StopRun:
    """Send a stop."""

    run: Run
    token: FencingToken


@dataclass(frozen=True, slots=True, eq=False)
class PaceRun:
    """Set the share of its speed at which a run works."""

    run: Run
    percent: int
    token: FencingToken


@dataclass(frozen=True, slots=True, eq=False)
class HoldWorker:
    """Extend a backend server's lease and fetch its listing."""

    worker: WorkerView
    token: FencingToken
    lease_until_ms: int | None
    acknowledged: int
    wait_s: float


@dataclass(frozen=True, slots=True, eq=False)
class AskAdvice:
    """Ask the queue's adviser about a step."""

    step: StepKey
    workers: tuple[WorkerId, ...]


Order = StartRun | StopRun | PaceRun | HoldWorker | AskAdvice


@dataclass(frozen=True, slots=True, eq=False)
class Commit:
    """Write the progress of jobs; runs that it plans start only once it is in the store.

    Attributes:
        transaction: What to write.
        jobs: Jobs with the version of their progress that is written.
        planned: Runs whose start the write makes safe.
    """

    transaction: Transaction
    jobs: tuple[tuple[JobProgress, int], ...]
    planned: tuple[Run, ...]
