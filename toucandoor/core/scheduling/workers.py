"""Backend servers as the scheduler sees them, and the interface by which it gives them orders."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from toucandoor.exceptions import ToucandoorError

if TYPE_CHECKING:
    from toucandoor.core.jobs.models import Resources, StepKey, TaskKey
    from toucandoor.ids import DataCentreId, FencingToken, PoolId, VmId, WorkerId


class Boot(NamedTuple):
    """Names one boot of a backend server; a later one may have the same id."""

    worker_id: WorkerId
    born_unix_ms: int


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """What a backend server says of itself in the platform's list.

    Attributes:
        worker_id: Its life's id.
        pool: Pool that it serves.
        address: ``IP:port`` for orders.
        data_centre: Where it is.
        capacity: Room for tasks.
        labels: Its kind and its rack.
        draining: Whether it leaves and must get nothing new.
        born_unix_ms: Start of this boot; 0 where it does not say.
        remaining_ms: Least time until it leaves; None while it stays or does not say.
        vm_id: VM that it is on; None where it does not say.
    """

    worker_id: WorkerId
    pool: PoolId
    address: str
    data_centre: DataCentreId
    capacity: Resources
    labels: tuple[str, ...]
    draining: bool
    born_unix_ms: int
    remaining_ms: int | None = None
    vm_id: VmId | None = None

    @property
    def boot(self) -> Boot:
        """Name of this boot."""
        return Boot(self.worker_id, self.born_unix_ms)

    @property
    def rack(self) -> str:
        """Rack that it stands in, empty where it names none."""
        return self.labels[-1] if len(self.labels) > 1 else ""


class RunKey(NamedTuple):
    """Names one run of a task."""

    task: TaskKey
    attempt: int


class EndReason(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_LAPSED = "lease_lapsed"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """A run that a backend server has.

    Attributes:
        run: Which run.
        checkpoint: Latest saved progress, empty for none.
        percent: Share of its speed at which it works; 100 when it is fully at work.
        recent: Rough figure of the last half second: for a task that serves users the tail of its
            response time in milliseconds, else the processor it uses in thousandths of a core.
    """

    run: RunKey
    checkpoint: str
    percent: int
    recent: int


@dataclass(frozen=True, slots=True)
class EndedRun:
    """An end that a backend server lists until it has been acknowledged.

    Attributes:
        number: Place in the list of this boot; grows from 1.
        run: Which run.
        reason: How it ended.
        checkpoint: Saved progress, empty for none.
    """

    number: int
    run: RunKey
    reason: EndReason
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Listing:
    """A backend server's own account of its runs.

    Attributes:
        clock_ms: Its steady clock when it answered.
        born_unix_ms: Start of the boot that answered; 0 where it does not say.
        active: Runs it has.
        ended: Ends that were not acknowledged yet.
    """

    clock_ms: int
    born_unix_ms: int
    active: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]


class OrderRefusal(Enum):
    """Why a backend server did not carry out an order."""

    FENCED = "fenced"
    SUPERSEDED = "superseded"
    DEADLINE_PASSED = "deadline_passed"
    NO_ROOM = "no_room"
    TICKET_INVALID = "ticket_invalid"
    UNHEALTHY = "unhealthy"
    OTHER_BOOT = "other_boot"
    REJECTED = "rejected"


class OrderRefusedError(ToucandoorError):
    """A backend server did nothing for an order and said why.

    Args:
        refusal: Its reason.
        clock_ms: Its steady clock, where it said so.
    """

    def __init__(
        self, refusal: OrderRefusal, *, step: str, peer: str, clock_ms: int | None = None
    ) -> None:
        super().__init__(refusal.value, step=step, peer=peer)
        self.refusal = refusal
        self.clock_ms = clock_ms


class OrderUnansweredError(ToucandoorError):
    """No answer came; the order may have been carried out, or may be later."""


@dataclass(frozen=True, slots=True)
class WorkerTarget:
    """Where an order goes."""

    worker_id: WorkerId
    address: str


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run.

    Attributes:
        run: Which run.
        payload: The job's text.
        lease_until_ms: End of the backend server's lease on its own clock.
        token: Fencing token of the schedule's owner.
        checkpoint: Progress to resume from, empty for none.
        ticket: Permission of the queue's adviser, empty where none is needed.
    """

    run: RunKey
    payload: str
    lease_until_ms: int
    token: FencingToken
    checkpoint: str
    ticket: str = ""


class WorkerPort(ABC):
    """Orders to backend servers. Calls block.

    All raise `OrderRefusedError` where nothing was done, and `OrderUnansweredError` otherwise.
    """

    @abstractmethod
    def start(self, target: WorkerTarget, order: StartOrder) -> int:
        """Start a run; one that is there already is no error. Return the server's clock in ms."""

    @abstractmethod
    def stop(self, target: WorkerTarget, run: RunKey, token: FencingToken) -> int:
        """Stop a run and refuse it and lower attempts from now on. Return the clock in ms."""

    @abstractmethod
    def hold(
        self,
        target: WorkerTarget,
        token: FencingToken,
        *,
        lease_until_ms: int | None,
        acknowledged: int,
        wait_s: float,
    ) -> Listing:
        """Extend the lease, acknowledge ends, and wait for the next end.

        Args:
            target: The backend server.
            token: Fencing token of the schedule's owner.
            lease_until_ms: New end of the lease on its clock; None to leave it.
            acknowledged: Ends up to this number may be forgotten.
            wait_s: How long it may wait for an end before it answers.
        """

    @abstractmethod
    def pace(self, target: WorkerTarget, run: RunKey, percent: int, token: FencingToken) -> int:
        """Let a run work at a share of its speed, 0 to 100. Return the clock in ms."""


class VmState(Enum):
    """What the platform says of a VM."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class VmEntry:
    """A VM in the platform's list of machines."""

    vm_id: VmId
    pool: PoolId
    state: VmState
    data_centre: DataCentreId
    labels: tuple[str, ...]
    capacity: Resources
    worker_id: WorkerId | None


class VmRefusal(Enum):
    """Why the platform did not carry out an order on a VM."""

    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not_in_wave"
    RATE_LIMITED = "rate_limited"
    UNAVAILABLE = "unavailable"
    REJECTED = "rejected"


class VmRefusedError(ToucandoorError):
    """The platform did nothing for an order on a VM and said why."""

    def __init__(self, refusal: VmRefusal, *, step: str, peer: str) -> None:
        super().__init__(refusal.value, step=step, peer=peer)
        self.refusal = refusal


class VmPort(ABC):
    """The platform's machines. Calls block and raise `VmRefusedError` or `OrderUnansweredError`."""

    @abstractmethod
    def list(self) -> tuple[VmEntry, ...]:
        """Return all VMs."""

    @abstractmethod
    def move(self, vm_id: VmId, pool: PoolId, holder: str, token: FencingToken) -> None:
        """Move a VM to another pool; everything on it ends."""

    @abstractmethod
    def maintain(self, vm_id: VmId, wave: int, holder: str, token: FencingToken) -> None:
        """Begin a VM's maintenance; everything on it ends."""


@dataclass(frozen=True, slots=True)
class Advice:
    """Which backend servers may run a step.

    Attributes:
        tickets: Ticket by backend server.
        validity_s: How long the tickets hold.
    """

    tickets: dict[WorkerId, str]
    validity_s: float


class AdvicePort(ABC):
    """The adviser of queues. Calls block; same errors as `WorkerPort`."""

    @abstractmethod
    def advise(self, step_key: StepKey, workers: tuple[WorkerId, ...]) -> Advice:
        """Ask which of these backend servers may run the step."""
