"""Models of backend servers, VMs and runs, and the interfaces for orders to them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from toucandoor.exceptions import ToucandoorError

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.core.jobs.models import Resources, StepKey, TaskKey
    from toucandoor.ids import DataCentreId, FencingToken, PoolId, VmId, WorkerId


class Boot(NamedTuple):
    """Identifies one boot of a backend server; a later boot may have the same `worker_id`."""

    worker_id: WorkerId
    booted_unix_ms: int


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """Entry of a backend server in the platform's list, written by the server itself.

    Attributes:
        worker_id: Id of the server; a restart in place may keep it.
        pool: Pool that it serves.
        address: ``IP:port`` for orders; empty if unknown.
        data_centre: Data centre in which it runs.
        capacity: Resources that it offers to tasks.
        labels: Its kind and its rack.
        draining: Whether it is about to leave and must get no new tasks.
        booted_unix_ms: Start of this boot; 0 if not given.
        remaining_ms: Least time until it leaves; None if it stays or gives no time.
        vm_id: VM on which it runs; None if not given.
        cold_s: Time from the writing of the entry for which it remains slow after its start.
    """

    worker_id: WorkerId
    pool: PoolId
    address: str
    data_centre: DataCentreId
    capacity: Resources
    labels: tuple[str, ...]
    draining: bool
    booted_unix_ms: int
    remaining_ms: int | None = None
    vm_id: VmId | None = None
    cold_s: float = 0.0

    @property
    def boot(self) -> Boot:
        """Identity of this boot."""
        return Boot(self.worker_id, self.booted_unix_ms)

    @property
    def rack(self) -> str:
        """Rack of the server; empty if not given."""
        return self.labels[-1] if len(self.labels) > 1 else ""


class RunKey(NamedTuple):
    """Identifies one run of a task by the task and the number of the start."""

    task: TaskKey
    attempt: int


class EndReason(Enum):
    """Reason for the end of a run."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease_lapsed"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """A run in progress, as listed in a status report.

    Attributes:
        run: Key of the run.
        checkpoint: Latest saved progress; empty for none.
        speed_percent: Present share of its full speed, 0 to 100.
        recent_metric: Rough figure over the last half second: for a task that serves users, the
            tail of its response time in milliseconds, otherwise its processor use in thousandths
            of a core.
    """

    run: RunKey
    checkpoint: str
    speed_percent: int
    recent_metric: int


@dataclass(frozen=True, slots=True)
class EndedRun:
    """An ended run; each status report repeats it until it has been acknowledged.

    Attributes:
        sequence: Sequence number of the end among all ended runs of this boot, from 1.
        run: Key of the run.
        reason: How it ended.
        checkpoint: Saved progress; empty for none.
    """

    sequence: int
    run: RunKey
    reason: EndReason
    checkpoint: str


@dataclass(frozen=True, slots=True)
class StatusReport:
    """Runs of a backend server as it reports them in answer to a heartbeat.

    Attributes:
        clock_ms: Its steady clock at the time of the answer.
        booted_unix_ms: Start of the boot that answered; 0 if not given.
        active: Runs in progress.
        ended: Ended runs that have not been acknowledged yet, the earliest first.
        complete: Whether it lists all of these; otherwise a run that it does not contain may have
            ended as well.
    """

    clock_ms: int
    booted_unix_ms: int
    active: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]
    complete: bool


class OrderRefusal(Enum):
    """Reason for which a backend server refused an order.

    `FENCED` means that the server has seen a higher fencing token; `SUPERSEDED` means that it
    refuses this attempt of the task, since it has ended, was stopped or is followed by a later one.
    """

    FENCED = "fenced"
    SUPERSEDED = "superseded"
    DEADLINE_PASSED = "deadline_passed"
    NO_ROOM = "no_room"
    TICKET_INVALID = "ticket_invalid"
    UNHEALTHY = "unhealthy"
    OTHER_BOOT = "other_boot"
    REJECTED = "rejected"


class OrderRefusedError(ToucandoorError):
    """A backend server refused an order and did not carry it out.

    Args:
        refusal: Reason that the server gave.
        clock_ms: Steady clock of the server; None if not given.
    """

    def __init__(
        self, refusal: OrderRefusal, *, step: str, peer: str, clock_ms: int | None = None
    ) -> None:
        super().__init__(refusal.value, step=step, peer=peer)
        self.refusal = refusal
        self.clock_ms = clock_ms


class OrderUnansweredError(ToucandoorError):
    """An order got no answer; it may have been carried out, or may still be."""


class OrderNotSentError(OrderUnansweredError):
    """An order was certainly not sent, as there was no connection to the server."""


class OrderWithheldError(ToucandoorError):
    """An order was certainly not sent, as the permission for it had ended."""


@dataclass(frozen=True, slots=True)
class WorkerTarget:
    """Id and address of the backend server that an order is sent to."""

    worker_id: WorkerId
    address: str


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run.

    Attributes:
        run: Key of the run.
        payload: Text of the job that every task gets.
        lease_until_ms: End of the backend server's lease on its own clock.
        token: Fencing token of the schedule's owner.
        checkpoint: Progress to resume from; empty for none.
        ticket: Permission from the queue's adviser; empty if none is needed.
    """

    run: RunKey
    payload: str
    lease_until_ms: int
    token: FencingToken
    checkpoint: str
    ticket: str = ""


class WorkerPort(ABC):
    """Client for orders to backend servers; its calls run on an event loop.

    Every call raises `OrderRefusedError` if the server refused the order and did nothing, and
    `OrderUnansweredError` if no answer came.
    """

    @abstractmethod
    async def async_start(
        self, target: WorkerTarget, order: StartOrder, may_send: Callable[[], bool]
    ) -> int:
        """Start a run and return the server's clock in ms; repeating a start is no error.

        Args:
            target: The backend server.
            order: The run to start.
            may_send: Asked right before the order is sent, as that may be some time after the call.

        Raises:
            OrderNotSentError: No connection could be made, or none was free in time.
            OrderWithheldError: `may_send` returned false.
        """

    @abstractmethod
    async def async_stop(self, target: WorkerTarget, run: RunKey, token: FencingToken) -> int:
        """Stop a run and return the server's clock in ms.

        From then on the server refuses this and all lower attempt numbers of the task.
        """

    @abstractmethod
    async def async_heartbeat(
        self,
        target: WorkerTarget,
        token: FencingToken,
        *,
        lease_until_ms: int | None,
        acknowledged: int,
        wait_s: float,
        runs: int,
    ) -> StatusReport:
        """Extend the lease, acknowledge ended runs, and wait for the next run to end.

        Args:
            target: The backend server.
            token: Fencing token of the schedule's owner.
            lease_until_ms: New end of the lease on the server's clock; None to leave it unchanged.
            acknowledged: Highest `EndedRun.sequence` that the server may forget.
            wait_s: Longest wait for a run to end before the server answers.
            runs: Number of runs that the answer is expected to list.

        Returns:
            The server's status report.
        """

    @abstractmethod
    async def async_limit_speed(
        self, target: WorkerTarget, run: RunKey, percent: int, token: FencingToken
    ) -> int:
        """Limit a run to 0 to 100 percent of its speed and return the server's clock in ms."""


class VmState(Enum):
    """State of a VM in the VM list."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"
    UNKNOWN = "unknown"
    """A state of a later version of the platform; what runs on the VM may go on."""


@dataclass(frozen=True, slots=True)
class VmEntry:
    """Entry of a VM in the platform's VM list."""

    vm_id: VmId
    pool: PoolId
    state: VmState
    data_centre: DataCentreId
    labels: tuple[str, ...]
    capacity: Resources
    worker_id: WorkerId | None


class VmRefusal(Enum):
    """Reason for which the platform refused an order on a VM."""

    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not_in_wave"
    RATE_LIMITED = "rate_limited"
    UNAVAILABLE = "unavailable"
    REJECTED = "rejected"


class VmRefusedError(ToucandoorError):
    """The platform refused an order on a VM and did not carry it out."""

    def __init__(self, refusal: VmRefusal, *, step: str, peer: str) -> None:
        super().__init__(refusal.value, step=step, peer=peer)
        self.refusal = refusal


class VmPort(ABC):
    """Client for the platform's VMs.

    Calls block, and raise `VmRefusedError` or `OrderUnansweredError`. Each order names its holder,
    the entry VM of the schedule's owner, and the owner's fencing token.
    """

    @abstractmethod
    def list(self) -> tuple[VmEntry, ...]:
        """Return all VMs."""

    @abstractmethod
    def move(self, vm_id: VmId, pool: PoolId, holder: str, token: FencingToken) -> None:
        """Move a VM to another pool; this ends all runs on it."""

    @abstractmethod
    def start_maintenance(self, vm_id: VmId, wave: int, holder: str, token: FencingToken) -> None:
        """Start the maintenance of a VM; this ends all runs on it."""


@dataclass(frozen=True, slots=True)
class Advice:
    """Answer of a queue's adviser: the backend servers that may run a step.

    Attributes:
        tickets: Ticket for each allowed backend server.
        validity_s: Time for which the tickets are valid from the answer on; 0 where it is known for
            each ticket.
    """

    tickets: dict[WorkerId, str]
    validity_s: float = 0.0


class AdvicePort(ABC):
    """Client for the adviser of queues.

    Calls block, and raise `OrderRefusedError` or `OrderUnansweredError`.
    """

    @abstractmethod
    def advise(self, step_key: StepKey, workers: tuple[WorkerId, ...], timeout_s: float) -> Advice:
        """Return which of the given backend servers may run a step.

        Args:
            step_key: The step.
            workers: The servers; the answer takes some time for each of them.
            timeout_s: Longest wait for the answer.
        """
