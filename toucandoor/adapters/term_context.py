"""Dependencies of an owner, and the context that the parts of a term share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from toucandoor.adapters.call_loop import CallLoop
    from toucandoor.adapters.configuration_watch import ConfigurationWatch
    from toucandoor.adapters.node_metrics import NodeMetrics
    from toucandoor.adapters.owner_records import OwnerRecords
    from toucandoor.clock import Clock
    from toucandoor.core.records import RecordStore
    from toucandoor.core.scheduling.scheduler import Scheduler
    from toucandoor.core.scheduling.workers import AdvicePort, VmPort, WorkerPort
    from toucandoor.ids import EntryId
    from toucandoor.platform.settings import NodeSettings


@dataclass(frozen=True, slots=True)
class OwnerDependencies:
    """Clients and settings that an owner uses.

    Attributes:
        entry_id: Id of this entry VM.
        settings: Settings of the process.
        clock: Source of monotonic and wall-clock time.
        store: Client of the platform's store.
        workers: Client of the backend servers.
        call_loop: Event loop on which that client is called.
        vms: Client of the platform's VMs.
        advice: Client of the adviser of queues.
        configuration: Watches the configuration and the maintenance waves, and has the newest ones.
        metrics: Metrics of the process.
    """

    entry_id: EntryId
    settings: NodeSettings
    clock: Clock
    store: RecordStore
    workers: WorkerPort
    call_loop: CallLoop
    vms: VmPort
    advice: AdvicePort
    configuration: ConfigurationWatch
    metrics: NodeMetrics


@dataclass(frozen=True, slots=True)
class TermContext:
    """What the parts of a term share.

    Attributes:
        dependencies: Clients and settings of the owner.
        records: Writes the records that only the owner writes, except the progress of jobs.
        scheduler: The scheduler; only posted events may change it, as it is not thread-safe.
        post: Queues an event for the term's event loop.
        submit: Runs a function in the thread pool for blocking calls.
        submit_calls: Runs coroutines on the event loop for calls to backend servers.
        may_act: Returns whether the term is running, its ownership is valid, and no other owner has
            been detected.
    """

    dependencies: OwnerDependencies
    records: OwnerRecords
    scheduler: Scheduler
    post: Callable[[Callable[[], None]], None]
    submit: Callable[[Callable[[], None]], None]
    submit_calls: Callable[[Sequence[Callable[[], Awaitable[None]]]], None]
    may_act: Callable[[], bool]
