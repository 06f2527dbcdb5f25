"""The scheduler's view of one boot of a backend server: its clock, lease, runs and capacity."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from toucandoor.core.jobs.models import NO_RESOURCES, Resources
from toucandoor.core.scheduling import const
from toucandoor.core.scheduling.cordons import EVACUATION_CORDON, Cordon, CordonSource
from toucandoor.core.scheduling.start_log import StartLog
from toucandoor.core.scheduling.workers import WorkerTarget

if TYPE_CHECKING:
    from toucandoor.core.scheduling.progress import Task
    from toucandoor.core.scheduling.start_log import VmOrder
    from toucandoor.core.scheduling.workers import RunKey, WorkerEntry
    from toucandoor.ids import JobId


class RunState(Enum):
    """Progress of a run as known to the scheduler."""

    PLANNED = "planned"
    """Assigned to a backend server; its record is not in the store yet."""
    STARTING = "starting"
    """Recorded in the store; the start may be in flight or may have been carried out."""
    RUNNING = "running"
    """Confirmed by the backend server."""
    RECOVERED = "recovered"
    """Read from the store by a new owner; the backend server has not confirmed it yet."""


class DiscardReason(Enum):
    """Why a run was discarded without a reported end."""

    STOPPED_UNSENT = "stopped before its start was sent"
    NOT_ALLOWED = "its start is not allowed any more"
    SERVER_SILENT = "its server does not answer"
    START_REFUSED = "its start was refused"
    NOT_REPORTED = "its server does not report it"
    SERVER_LOST = "lost with its server"


@dataclass(slots=True, eq=False)
class Run:
    """One run of a task on one boot of a backend server.

    Attributes:
        key: Task and attempt number of the run.
        task: The task.
        worker: Boot of the backend server that it is assigned to.
        state: Progress of the run.
        created_s: When it was planned or recovered, on the monotonic clock.
        confirmed_s: When the server first confirmed it; None before that.
        reported: Whether this boot of the server has listed it in a status report, to this owner
            or a former one.
        stop_requested: Whether it is to be stopped before its work is done.
        stop_answered_s: When a stop was last confirmed, on the monotonic clock; None before that.
        stop_acknowledged: Whether the server refuses this attempt number from now on.
        starts_sent: Number of start orders sent.
        starts_unanswered: Number of them without an answer: in flight, or carried out late or not
            at all. A run of a former owner counts as one unless its record says that it is settled.
        starts_undeliverable: Number of starts that no connection was made for in time.
        settled_noted: Whether its record says, or will say, that it is settled.
        from_former_boot: Whether its starts were sent to an earlier boot of the server.
        harmless_before: Whether it was `harmless` on that boot.
        begun_before: Whether it was `begun` on that boot.
        loss_counted: Whether it counts as lost for its task, and no later boot has reported it.
        order_sent_s: When the latest start or stop was sent.
        order_in_flight: Whether a start or stop awaits its answer.
        next_order_s: Earliest time of the next start or stop.
        speed_percent: Share of its full speed that the server last reported.
        speed_limit_percent: Share of its full speed that it was last limited to.
        recent_metric: Last reported `ActiveRun.recent_metric`.
        checkpoint: Saved progress from which it starts.
        suspect: Whether its task may crash the server, by the runs before this one.
        isolated: Whether no other run is placed beside it.
        start_log: When its start was ordered and what came back.
    """

    key: RunKey
    task: Task
    worker: WorkerView
    state: RunState
    created_s: float
    confirmed_s: float | None = None
    reported: bool = False
    stop_requested: bool = False
    stop_answered_s: float | None = None
    stop_acknowledged: bool = False
    starts_sent: int = 0
    starts_unanswered: int = 0
    starts_undeliverable: int = 0
    settled_noted: bool = False
    from_former_boot: bool = False
    harmless_before: bool = False
    begun_before: bool = False
    loss_counted: bool = False
    order_sent_s: float = 0.0
    order_in_flight: bool = False
    next_order_s: float = 0.0
    speed_percent: int = 0
    speed_limit_percent: int = 100
    recent_metric: int = 0
    checkpoint: str = ""
    suspect: bool = False
    isolated: bool = False
    start_log: StartLog = field(default_factory=StartLog)

    def confirm(self, now_s: float) -> None:
        """Record that the server has confirmed it; only the first time counts."""
        if self.confirmed_s is None:
            self.confirmed_s = now_s
            self.task.plans_discarded = 0

    @property
    def begun(self) -> bool:
        """Whether a boot has confirmed or reported it."""
        return self.confirmed_s is not None or self.reported or self.begun_before

    @property
    def harmless(self) -> bool:
        """Whether the server has reported it for so long that it is not what crashes the server."""
        if self.harmless_before:
            return True
        if self.confirmed_s is None or not self.reported:
            return False
        return self.worker.reported_s - self.confirmed_s >= const.HARMLESS_AFTER_S

    @property
    def may_be_on_later_boot(self) -> bool:
        """Whether a later boot under the same id may run it, now or later.

        Orders name a server by its id, so that a later boot takes those for an earlier one.
        """
        if self.starts_unanswered > 0:
            return True
        return self.starts_sent > 0 and not self.reported

    @property
    def settled(self) -> bool:
        """Whether it is certainly on this boot, or has ended there, and on no other one.

        The end of the boot is then its end. A start without an answer, which a later boot under the
        same id may still take, excludes that.
        """
        identified = self.worker.entry.booted_unix_ms > 0
        return identified and self.reported and self.starts_unanswered == 0

    @property
    def never_sent(self) -> bool:
        """Whether no server can know of it, as no start of it was ever sent."""
        planned_here = self.state in (RunState.PLANNED, RunState.STARTING)
        return planned_here and self.starts_sent == 0 and not self.from_former_boot

    def awaits_report(self, now_s: float) -> bool:
        """Return whether a status report must show if it has begun, as no answer has so far."""
        if self.state is not RunState.STARTING or not self.starts_unanswered:
            return False
        if self.stop_requested or self.worker.report_sent_s > self.order_sent_s:
            return False
        return not self.order_in_flight or now_s >= self.order_sent_s + const.START_ANSWER_S

    @property
    def is_copy(self) -> bool:
        """Whether an earlier run of the task exists or may exist."""
        return len(self.task.runs) > 1 and self.task.runs[0] is not self


@dataclass(slots=True, eq=False)
class WorkerView:
    """One boot of a backend server.

    Attributes:
        entry: Its latest entry in the platform's list.
        listed: Whether the platform's list still contains it.
        ended: Whether this boot has ended, or another one answers at its address, such as a later
            boot of the same server. An order to this boot could be carried out by the other one,
            which may have the same id and numbers its ended runs from 1 again.
        contacted: Whether it has answered a heartbeat of this owner; reset when it must answer
            another one before it gets new tasks.
        contact_required_s: When that was last reset; a heartbeat sent before does not count.
        runs: Runs that exist or may exist on it.
        known_since_s: When this owner first knew of this boot, on the monotonic clock.
        steady_from_s: When it will have been up for so long that the loss of a run on it says
            something about the task.
        lost_runs: Runs that were discarded because its lease expired, until it answers or is known
            to have ended.
        suspect_runs: Number of its runs whose tasks may crash it.
        isolated_runs: Number of those that no other run is placed beside.
        unknown_runs: Runs that it has reported and whose jobs are not in the schedule, with the
            earliest time of the next order to stop each.
        used: Capacity reserved by these runs.
        free: Capacity that no run has reserved.
        used_ratio: Largest share of any of its resources that runs have reserved.
        clock_ms: Its steady clock at the time `clock_read_s`; None while unknown.
        clock_read_s: When the answer with that clock arrived.
        lease_until_ms: End of the latest lease sent, on its clock; 0 for none.
        former_lease_until_s: Time by which every lease from a former owner has expired.
        ends_processed: Highest `EndedRun.sequence` that has been processed.
        ends_committed: Highest `EndedRun.sequence` whose effects are in the store, so that the
            server may forget it.
        acknowledgement_in_flight: `ends_committed` as sent in the latest heartbeat.
        acknowledgement_confirmed: `ends_committed` as sent in the latest answered heartbeat.
        uncommitted: Jobs, with the version of their progress, that must be in the store before the
            next acknowledgement.
        heartbeat_in_flight: Whether a heartbeat awaits its answer.
        next_heartbeat_s: Earliest time of the next heartbeat.
        paused_until_s: Time before which it gets no new tasks.
        failures: Time and job of recently failed runs.
        slow: Whether tasks take so long on it that it is chosen last and gets one at a time.
        cordons: Why it gets no new tasks, besides what it says of itself.
        held: Capacity kept free for tasks that are being stopped elsewhere.
        leaves_s: Earliest time at which a draining server leaves; infinity while it does not drain.
        cold_until_s: Time before which it is slow because of its recent start.
        heartbeat_failures: Consecutive failed heartbeats during which it answered nothing else.
        heartbeat_sent_s: When the latest heartbeat was sent.
        heartbeat_wait_s: Longest wait that it asked for.
        heartbeat_lost: Whether it got no answer, though the server has answered another order since
            it was sent.
        answered_s: When it last answered any order.
        speed_limited_s: When speed limits of its runs were last changed.
        reported_s: When its latest status report arrived.
        report_sent_s: When the heartbeat that this report answers was sent.
        vm_order: Order that has ended it or may have, for log lines; None for none.
        vm_order_s: When that was answered, or was not in time.
    """

    entry: WorkerEntry
    listed: bool = True
    ended: bool = False
    contacted: bool = False
    contact_required_s: float = 0.0
    known_since_s: float = 0.0
    runs: dict[RunKey, Run] = field(default_factory=dict)
    lost_runs: list[Run] = field(default_factory=list)
    suspect_runs: int = 0
    isolated_runs: int = 0
    unknown_runs: dict[RunKey, float] = field(default_factory=dict)
    used: Resources = NO_RESOURCES
    free: Resources = field(init=False)
    used_ratio: float = field(init=False)
    clock_ms: int | None = None
    clock_read_s: float = 0.0
    lease_until_ms: int = 0
    former_lease_until_s: float = 0.0
    ends_processed: int = 0
    ends_committed: int = 0
    acknowledgement_in_flight: int = 0
    acknowledgement_confirmed: int = 0
    uncommitted: list[tuple[JobId, int]] = field(default_factory=list)
    heartbeat_in_flight: bool = False
    next_heartbeat_s: float = 0.0
    paused_until_s: float = 0.0
    failures: list[tuple[float, JobId]] = field(default_factory=list)
    slow: bool = False
    cordons: set[Cordon] = field(default_factory=set)
    held: Resources = NO_RESOURCES
    leaves_s: float = float("inf")
    cold_until_s: float = 0.0
    steady_from_s: float = 0.0
    heartbeat_failures: int = 0
    heartbeat_sent_s: float = 0.0
    heartbeat_wait_s: float = 0.0
    heartbeat_lost: bool = False
    answered_s: float = 0.0
    speed_limited_s: float = 0.0
    reported_s: float = 0.0
    report_sent_s: float = 0.0
    vm_order: VmOrder | None = None
    vm_order_s: float = 0.0

    def __post_init__(self) -> None:
        """Compute the free capacity."""
        self._update_free()

    def record_vm_order(self, order: VmOrder, now_s: float) -> None:
        """Record an order for its VM that has ended it or may have."""
        self.vm_order, self.vm_order_s = order, now_s

    @property
    def target(self) -> WorkerTarget:
        """Id and address for orders."""
        return WorkerTarget(self.entry.worker_id, self.entry.address)

    @property
    def evacuated(self) -> bool:
        """Whether its data centre is evacuated."""
        return bool(self.cordons) and EVACUATION_CORDON in self.cordons

    @property
    def vacated(self) -> bool:
        """Whether a maintenance wave empties its VM."""
        return any(cordon.source is CordonSource.WAVE for cordon in self.cordons)

    @property
    def leaves(self) -> bool:
        """Whether what runs on it has to go on elsewhere."""
        return self.entry.draining or self.evacuated or self.vacated

    @property
    def empty(self) -> bool:
        """Whether its VM could be taken away without a loss for any task."""
        return not self.runs and not self.uncommitted and self.held == NO_RESOURCES

    def add(self, run: Run) -> None:
        """Add a run and reserve its capacity."""
        self.runs[run.key] = run
        self.used = self.used + run.task.step.reserved
        self.suspect_runs += run.suspect
        self.isolated_runs += run.isolated
        self._update_free()

    def remove(self, run: Run) -> None:
        """Remove a run and free its capacity."""
        if self.runs.pop(run.key, None) is not None:
            self.used = self.used - run.task.step.reserved
            self.suspect_runs -= run.suspect
            self.isolated_runs -= run.isolated
            self._update_free()

    def clear_suspect(self, run: Run) -> None:
        """Record that the task of one of its runs does not crash it."""
        self.suspect_runs -= run.suspect
        self.isolated_runs -= run.isolated
        run.suspect = run.isolated = False

    def hold(self, amount: Resources) -> None:
        """Keep capacity free for a task that is being stopped elsewhere."""
        self.held = self.held + amount
        self._update_free()

    def release(self, amount: Resources) -> None:
        """Make capacity available that was held."""
        self.held = self.held - amount
        self._update_free()

    def update_entry(self, entry: WorkerEntry, now_s: float) -> None:
        """Replace the entry by a newer one of this boot."""
        self.entry = entry
        self._update_free()
        if entry.draining:
            self.leaves_s = min(self.leaves_s, now_s + (entry.remaining_ms or 0) / 1000)
        else:
            self.leaves_s = float("inf")

    def _update_free(self) -> None:
        capacity, used = self.entry.capacity, self.used
        self.free = capacity - used - self.held
        self.used_ratio = max(
            used.cpu_millicores / capacity.cpu_millicores if capacity.cpu_millicores else 0.0,
            used.memory_mb / capacity.memory_mb if capacity.memory_mb else 0.0,
        )

    @property
    def overcommitted(self) -> bool:
        """Whether its runs have reserved more than its capacity, which has shrunk."""
        return not self.used.fits_in(self.entry.capacity)

    def update_clock(self, clock_ms: int, now_s: float) -> None:
        """Store the server's clock from an answer that has just arrived."""
        self.clock_ms = clock_ms
        self.clock_read_s = now_s

    def lease_end_ms(self, lease_s: float, now_s: float) -> int | None:
        """Return the end of a lease that begins now, on the server's clock.

        None if the server's clock is not known yet.
        """
        if self.clock_ms is None:
            return None
        return int(self.clock_ms + (now_s - self.clock_read_s + lease_s) * 1000)

    def lease_expires_in_s(self, now_s: float) -> float | None:
        """Return the longest time, in seconds, until every lease that it may hold has expired.

        None if the server's clock is not known; 0 or less once all leases have expired.
        """
        left_s = self.former_lease_until_s - now_s
        if self.lease_until_ms == 0:
            return left_s
        if self.clock_ms is None:
            return None
        slowest_ratio = 1 - const.WORKER_CLOCK_DRIFT_RATIO
        reached_ms = self.clock_ms + (now_s - self.clock_read_s) * slowest_ratio * 1000
        own_left_ms = self.lease_until_ms + const.LEASE_EXPIRY_MARGIN_S * 1000 - reached_ms
        return max(left_s, own_left_ms / 1000 / slowest_ratio)

    def lease_expired(self, now_s: float) -> bool:
        """Return whether every lease that it may hold has expired."""
        left_s = self.lease_expires_in_s(now_s)
        return left_s is not None and left_s <= 0

    @property
    def unresponsive(self) -> bool:
        """Whether its last heartbeat failed, or it has not answered this owner yet."""
        return self.heartbeat_failures > 0 or not self.contacted

    def require_heartbeat(self, now_s: float) -> None:
        """Get no new tasks until it has answered another heartbeat."""
        self.contacted = False
        self.contact_required_s = self.next_heartbeat_s = now_s

    def quiet(self, at_s: float) -> bool:
        """Return whether it had been silent for so long that it may have ended unnoticed.

        A server without runs gets no heartbeats.

        Args:
            at_s: A time on the monotonic clock; an answer after it counts as well.
        """
        return at_s - self.answered_s > const.QUIET_AFTER_S

    @property
    def needs_heartbeat(self) -> bool:
        """Whether there is a lease to extend, a status to fetch or an end to acknowledge."""
        wanted = (
            self.runs
            or self.unknown_runs
            or self.uncommitted
            or self.ends_committed > self.acknowledgement_confirmed
            or (self.listed and (self.heartbeat_failures > 0 or not self.contacted))
        )
        return bool(wanted) and not self.ended

    def usable(self, now_s: float) -> bool:
        """Return whether it may get new tasks."""
        return not self.cordons and self.ready(now_s)

    def ready(self, now_s: float) -> bool:
        """Return whether it could get new tasks if it were not cordoned."""
        return (
            self.listed
            and not self.ended
            and not self.unresponsive
            and not self.unknown_runs  # they use an unknown part of the capacity
            and not self.entry.draining
            and now_s >= self.paused_until_s
        )
