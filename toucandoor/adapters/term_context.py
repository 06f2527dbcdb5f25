"""What the parts of a term of ownership share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.adapters.configuration_watch import ConfigurationWatch
    from toucandoor.adapters.node_metrics import NodeMetrics
    from toucandoor.clock import Clock
    from toucandoor.core.records import RecordStore
    from toucandoor.core.scheduling.scheduler import Scheduler
    from toucandoor.core.scheduling.workers import AdvicePort, VmPort, WorkerPort
    from toucandoor.ids import EntryId
    from toucandoor.platform.settings import NodeSettings


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What an owner works with."""

    entry_id: EntryId
    settings: NodeSettings
    clock: Clock
    store: RecordStore
    workers: WorkerPort
    vms: VmPort
    advice: AdvicePort
    configuration: ConfigurationWatch
    metrics: NodeMetrics


@dataclass(frozen=True, slots=True)
class TermContext:
    """A term as its parts see it.

    Attributes:
        around: What the owner works with.
        scheduler: The schedule; only events that were posted may touch it.
        post: Has a function called by the term's loop.
        submit: Has a function called by a thread of the pool for orders.
        submit_hold: The same, by the pool for long polls.
        may_act: Whether the ownership is valid now.
    """

    around: Surroundings
    scheduler: Scheduler
    post: Callable[[Callable[[], None]], None]
    submit: Callable[[Callable[[], None]], None]
    submit_hold: Callable[[Callable[[], None]], None]
    may_act: Callable[[], bool]
