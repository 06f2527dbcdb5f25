"""What the scheduler knows of one boot of a backend server: its clock, lease, runs and room."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from toucandoor.core.jobs.models import NOTHING, Resources
from toucandoor.core.scheduling import const
from toucandoor.core.scheduling.workers import WorkerTarget

if TYPE_CHECKING:

    from toucandoor.core.scheduling.progress import Task
    from toucandoor.core.scheduling.workers import RunKey, WorkerEntry
    from toucandoor.ids import JobId


class RunState(Enum):
    """How far a run is, as the scheduler knows it."""

    PLANNED = "planned"
    """Chosen; its record is not in the store yet."""
    STARTING = "starting"
    """In the store; the order may be under way or may have been carried out."""
    RUNNING = "running"
    """The backend server has said that it has it."""
    RECOVERED = "recovered"
    """Found in the store by a new owner; the backend server has not been asked yet."""


@dataclass(slots=True, eq=False)
class Run:
    """One run of a task on one boot of a backend server.

    Attributes:
        key: Which run.
        task: The task that it runs.
        worker: Where.
        state: How far it is.
        since_s: When it was planned or recovered, on the monotonic clock.
        confirmed_s: When the server first confirmed it; None before.
        stop_wanted: Whether it is to end without its work done.
        stop_sent_s: When the last stop was sent; None before.
        stop_acknowledged: Whether the server will refuse this attempt from now on.
        starts_sent: Number of start orders sent.
        order_sent_s: When the latest start or stop was sent.
        order_in_flight: Whether a start or stop awaits its answer.
        next_order_s: Earliest time of the next order.
        percent: Share of its speed at which it works.
        pace_percent: Share that was ordered last.
        recent: The server's rough figure of the last half second.
        checkpoint: Latest saved progress.
    """

    key: RunKey
    task: Task
    worker: WorkerView
    state: RunState
    since_s: float
    confirmed_s: float | None = None
    stop_wanted: bool = False
    stop_sent_s: float | None = None
    stop_acknowledged: bool = False
    starts_sent: int = 0
    order_sent_s: float = 0.0
    order_in_flight: bool = False
    next_order_s: float = 0.0
    percent: int = 0
    pace_percent: int = 100
    recent: int = 0
    checkpoint: str = ""


@dataclass(slots=True, eq=False)
class WorkerView:
    """One boot of a backend server.

    Attributes:
        entry: What it last said of itself.
        listed: Whether the platform's list still names it.
        ended: Whether something else has answered at its address, such as its own later boot. An
            order to it would reach that one: its id is the same, and numbers of ends begin anew.
        held: Whether it has answered a hold of this owner.
        runs: Runs that it has or may have.
        used: Room that they take.
        clock_ms: Its steady clock at the time `clock_read_s`; None while unknown.
        clock_read_s: When that clock's answer came in.
        lease_until_ms: End of the latest lease that was sent, on its clock; 0 for none.
        unknown_lease_until_s: Time by which a former owner's lease has surely ended.
        ends_seen: Highest number of an end that was processed.
        ends_acknowledged: Highest number of an end that may be forgotten.
        acknowledging: Acknowledgement in the hold that awaits its answer.
        acknowledgement_sent: Highest acknowledgement that the server has answered.
        uncommitted: Jobs, with the version of their progress, whose write the next
            acknowledgement waits for.
        hold_in_flight: Whether a hold awaits its answer.
        next_hold_s: Earliest time of the next hold.
        paused_until_s: It gets no new tasks before.
        failures: Time and job of runs that failed lately.
        probing: Whether one task is to show that it works again.
        cordoned: Whether maintenance keeps new tasks away.
        leaving: Whether its VM is being moved to another pool.
        hold_failures: Holds in a row without an answer, since it last answered anything.
        hold_sent_s: When the latest hold was sent.
        answered_s: When it last answered anything.
        paced_s: When speeds on it were changed last.
    """

    entry: WorkerEntry
    listed: bool = True
    ended: bool = False
    held: bool = False
    runs: dict[RunKey, Run] = field(default_factory=dict)
    used: Resources = NOTHING
    clock_ms: int | None = None
    clock_read_s: float = 0.0
    lease_until_ms: int = 0
    unknown_lease_until_s: float = 0.0
    ends_seen: int = 0
    ends_acknowledged: int = 0
    acknowledging: int = 0
    acknowledgement_sent: int = 0
    uncommitted: list[tuple[JobId, int]] = field(default_factory=list)
    hold_in_flight: bool = False
    next_hold_s: float = 0.0
    paused_until_s: float = 0.0
    failures: list[tuple[float, JobId]] = field(default_factory=list)
    probing: bool = False
    cordoned: bool = False
    leaving: bool = False
    hold_failures: int = 0
    hold_sent_s: float = 0.0
    answered_s: float = 0.0
    paced_s: float = 0.0

    @property
    def target(self) -> WorkerTarget:
        """Where its orders go."""
        return WorkerTarget(self.entry.worker_id, self.entry.address)

    @property
    def free(self) -> Resources:
        """Room that no run takes."""
        return self.entry.capacity - self.used

    def add(self, run: Run) -> None:
        """Take room for a run."""
        self.runs[run.key] = run
        self.used = self.used + run.task.step.room

    def remove(self, run: Run) -> None:
        """Give a run's room back."""
        if self.runs.pop(run.key, None) is not None:
            self.used = self.used - run.task.step.room

    def read_clock(self, clock_ms: int, now_s: float) -> None:
        """Note the server's clock from an answer that has just come in."""
        self.clock_ms = clock_ms
        self.clock_read_s = now_s

    def lease_end_ms(self, lease_s: float, now_s: float) -> int | None:
        """Return the end of a lease that begins now, on the server's clock; None if unknown."""
        if self.clock_ms is None:
            return None
        return int(self.clock_ms + (now_s - self.clock_read_s + lease_s) * 1000)

    def lapses_in_s(self, now_s: float) -> float | None:
        """Return the time by which every lease that it may hold has surely ended.

        None where its clock is not known; 0 or less once they have ended.
        """
        left_s = self.unknown_lease_until_s - now_s
        if self.lease_until_ms == 0:
            return left_s
        if self.clock_ms is None:
            return None
        slowest_ratio = 1 - const.WORKER_CLOCK_DRIFT_RATIO
        reached_ms = self.clock_ms + (now_s - self.clock_read_s) * slowest_ratio * 1000
        own_left_ms = self.lease_until_ms + const.LAPSE_MARGIN_S * 1000 - reached_ms
        return max(left_s, own_left_ms / 1000 / slowest_ratio)

    def lapsed(self, now_s: float) -> bool:
        """Return whether every lease that it may hold has surely ended."""
        left_s = self.lapses_in_s(now_s)
        return left_s is not None and left_s <= 0

    @property
    def silent(self) -> bool:
        """Whether it has not answered lately, or this owner has not heard it yet."""
        return self.hold_failures > 0 or not self.held

    @property
    def wants_hold(self) -> bool:
        """Whether there is anything to extend, to learn or to acknowledge."""
        if self.ended:
            return False
        owed = self.ends_acknowledged > self.acknowledgement_sent
        unknown = self.listed and not self.held
        return bool(self.runs or self.uncommitted or owed or unknown)

    def usable(self, now_s: float) -> bool:
        """Return whether it may get new tasks."""
        return (
            self.listed
            and not self.ended
            and not self.silent
            and not self.entry.draining
            and not self.cordoned
            and not self.leaving
            and now_s >= self.paused_until_s
        )
