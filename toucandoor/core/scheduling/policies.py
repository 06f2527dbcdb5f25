"""Puts together the policies of a scheduler; baselines replace those that are switched off."""

from __future__ import annotations

from typing import TYPE_CHECKING

from toucandoor.core.admission.submission import AcceptAll
from toucandoor.core.copies.models import CopyPolicy, NoCopies
from toucandoor.core.copies.spare_capacity import SpareCapacityCopies
from toucandoor.core.failure_domains.down_vms import (
    DiscardRunsOnDownVms,
    DownVms,
    IgnoreDownVms,
)
from toucandoor.core.failure_domains.models import FailureDomains, NoFailureDomains
from toucandoor.core.failure_domains.rack_spread import NoRackSpread, RackSpread, SpreadByPromise
from toucandoor.core.failure_domains.racks import ObservedFailureDomains
from toucandoor.core.fair_order.rates import valid_rates
from toucandoor.core.mechanisms import Mechanism
from toucandoor.core.overload.admission import AdmissionByLoad
from toucandoor.core.pools.lending import LendingPolicy, NoLending
from toucandoor.core.scheduling.task_grouping import FewestServers, FullestFirst, TaskGrouping
from toucandoor.ids import ConfigVersion

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from toucandoor.clock import Clock
    from toucandoor.core.admission.submission import SubmissionPolicy
    from toucandoor.core.jobs.configuration import JobConfiguration
    from toucandoor.core.overload.followed_report import FollowedReport
    from toucandoor.core.pools.lending import VmLendingPolicy
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.core.scheduling.worker_registry import WorkerRegistry


class Policies:
    """Creates the policies of one term of ownership.

    Args:
        switched_off: Mechanisms that baselines replace.
    """

    def __init__(self, switched_off: Collection[Mechanism] = ()) -> None:
        self._off = frozenset(switched_off)

    def failure_domains(self, clock: Clock) -> FailureDomains:
        """Return the evidence on racks and servers."""
        if Mechanism.FAILURE_DOMAINS in self._off:
            return NoFailureDomains()
        return ObservedFailureDomains(clock)

    def task_grouping(self) -> TaskGrouping:
        """Return in which order servers are filled with the tasks of a step."""
        return FullestFirst() if Mechanism.TASK_GROUPING in self._off else FewestServers()

    def down_vms(self, registry: WorkerRegistry) -> DownVms:
        """Return what becomes of runs on VMs that are down."""
        return (
            IgnoreDownVms() if Mechanism.DOWN_VMS in self._off else DiscardRunsOnDownVms(registry)
        )

    def rack_spread(self) -> RackSpread:
        """Return how long-running steps are spread over racks."""
        return NoRackSpread() if Mechanism.RACK_SPREAD in self._off else SpreadByPromise()

    def lending(self) -> VmLendingPolicy:
        """Return which VMs move to another pool."""
        return NoLending() if Mechanism.LENDING in self._off else LendingPolicy()

    def load_refusals(
        self,
        report: FollowedReport,
        record_age: Callable[[float | None], None],
        names_since: Callable[[], ConfigVersion] = lambda: ConfigVersion(0),
    ) -> SubmissionPolicy:
        """Return which submissions a node refuses by the owner's load reports."""
        if Mechanism.LOAD_REFUSALS in self._off:
            return AcceptAll()
        return AdmissionByLoad(report, record_age=record_age, names_since=names_since)

    def copies(self, state: ScheduleState) -> CopyPolicy:
        """Return which tasks get a second run."""
        return NoCopies() if Mechanism.COPIES in self._off else SpareCapacityCopies(state)

    def shares_decide(self, configuration: JobConfiguration) -> bool:
        """Return whether the teams' shares decide which waiting step gets room next."""
        return Mechanism.FAIR_SHARES not in self._off and bool(valid_rates(configuration))
