"""Empties the backend servers of evacuated data centres, for the owner of the schedule."""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from toucandoor.core.evacuation.departures import DeparturePolicy, LeaveWithoutLoss, Obstacle
from toucandoor.core.scheduling.cordons import EVACUATION_CORDON
from toucandoor.core.scheduling.worker_view import Run, RunState

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from toucandoor.core.evacuation.requests import EvacuationRequest, EvacuationRequests
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.ids import DataCentreId

_LOGGER = logging.getLogger(__name__)

PLAN_INTERVAL_S: Final = 0.2
"""Interval between two plans of departures; a stop takes about as long. Each plan goes through all
runs of the evacuated data centres."""
LOG_INTERVAL_S: Final = 2.0
"""Interval between two log lines on a data centre that is not empty yet."""
UNKNOWN_AFTER_S: Final = 2.0
"""Time after which a data centre without servers or VMs counts as unknown: by then a new owner has
read the VM list, which also contains VMs that are off."""


@dataclass(slots=True)
class DataCentreStatus:
    """Progress of an evacuation.

    Attributes:
        data_centre: The data centre.
        since_s: When the request was first seen, on the monotonic clock.
        runs: Runs left, long-running ones included.
        long_running: Long-running runs left.
        obstacles: Runs left by the reason for which they stay.
        empty: Whether the log says that no run is left.
        known: Whether the data centre has servers or VMs.
        unknown: Whether the log says that the data centre is unknown.
        logged_s: When its state was last logged.
    """

    data_centre: DataCentreId
    since_s: float
    runs: int = 0
    long_running: int = 0
    obstacles: Counter[Obstacle] = field(default_factory=Counter)
    empty: bool = False
    known: bool = False
    unknown: bool = False
    logged_s: float = float("-inf")


class Evacuator:
    """Applies the requests in force to the schedule.

    Args:
        state: The schedule's state.
        requests: Requests in force; None if the deployment does not support them.
        policy: Decides which runs leave before their end; None for `LeaveWithoutLoss`.
    """

    def __init__(
        self,
        state: ScheduleState,
        requests: EvacuationRequests | None,
        policy: DeparturePolicy | None = None,
    ) -> None:
        self._state = state
        self._requests = requests
        self._policy = policy or LeaveWithoutLoss(requests.move_s if requests is not None else 0.0)
        self._applied: Mapping[DataCentreId, EvacuationRequest] = MappingProxyType({})
        self._statuses: dict[DataCentreId, DataCentreStatus] = {}
        self._next_plan_s = 0.0
        self._stale = False
        self._unknown_requests = 0

    @property
    def statuses(self) -> Iterable[DataCentreStatus]:
        """Progress of each evacuation under way."""
        return self._statuses.values()

    def may_start(self, run: Run) -> bool:
        """Return whether the start of a run may be sent now. Safe to call from any thread."""
        if self._requests is None:
            return True
        return self._requests.may_start(run.worker.entry.data_centre, self._state.now_s)

    @property
    def ignored_records(self) -> int:
        """Requests that were ignored: invalid records, and data centres that are not known."""
        invalid = self._requests.ignored if self._requests is not None else 0
        return invalid + self._unknown_requests

    def evacuated(self, data_centre: DataCentreId) -> bool:
        """Return whether a data centre is evacuated. Safe to call from any thread."""
        return self._requests is not None and data_centre in self._requests.in_force

    def add_known(self, data_centres: Iterable[DataCentreId]) -> None:
        """Add data centres that exist, also those that have VMs only."""
        if self._requests is not None:
            self._requests.add_known(data_centres)

    # Before the placement of waiting tasks

    def prepare(self) -> bool:
        """Apply the requests to the servers and to runs that have not been started.

        Returns:
            Whether tasks may be placed; not while the requests in force are not surely known.
        """
        if self._requests is None:
            return True
        now_s = self._state.now_s
        in_force = self._requests.in_force
        if in_force or self._applied:
            self._mark_servers(in_force)
            changed = in_force is not self._applied
            if changed:
                self._update_statuses(in_force)
            # Nothing is planned there later, so all runs are searched only after a change.
            self._withdraw_unsent(self._evacuated_runs() if changed else self._awaiting_orders())
        fresh = self._requests.known_within(now_s, self._requests.fresh_s)
        if fresh is self._stale:
            self._stale = not fresh
            _LOGGER.info(
                "evacuation: tasks are started again, as the requests are known"
                if fresh
                else "evacuation: no task is started until the requests in force are known again"
            )
        return fresh

    def _mark_servers(self, in_force: Mapping[DataCentreId, EvacuationRequest]) -> None:
        self.add_known({each.entry.data_centre for each in self._state.workers.values()})
        for worker in self._state.workers.values():
            evacuated = worker.entry.data_centre in in_force
            if worker.evacuated is not evacuated:
                if evacuated:
                    worker.cordons.add(EVACUATION_CORDON)
                else:
                    worker.cordons.discard(EVACUATION_CORDON)
                self._state.changed_pools.add(worker.entry.pool)

    def _update_statuses(self, in_force: Mapping[DataCentreId, EvacuationRequest]) -> None:
        for data_centre, request in in_force.items():
            if data_centre not in self._statuses:
                self._statuses[data_centre] = DataCentreStatus(data_centre, request.seen_s)
                _LOGGER.info(
                    "evacuation: %s is evacuated",
                    data_centre,
                    extra=self._age_fields(self._statuses[data_centre]),
                )
        for data_centre in self._statuses.keys() - in_force.keys():
            status = self._statuses.pop(data_centre)
            _LOGGER.info(
                "evacuation: the request for %s has ended",
                data_centre,
                extra=self._age_fields(status),
            )
        self._applied = in_force

    def _age_fields(self, status: DataCentreStatus) -> dict[str, object]:
        return {
            "data_centre": status.data_centre,
            "age_s": round(self._state.now_s - status.since_s, 3),
        }

    def _evacuated_runs(self) -> list[Run]:
        return [
            run
            for worker in self._state.workers.values()
            if worker.evacuated
            for run in worker.runs.values()
        ]

    def _awaiting_orders(self) -> list[Run]:
        return [run for run in self._state.runs_awaiting_orders if run.worker.evacuated]

    def _withdraw_unsent(self, runs: Iterable[Run]) -> None:
        """Discard runs without a sent start, and stop those whose start was not answered."""
        for run in runs:
            # Another run of its gang may have ended it.
            if run.key in run.worker.runs and self._withdraw(run):
                self._state.stop_rest_of_gang(run)

    def _withdraw(self, run: Run) -> bool:
        """Prevent a run that is not known to have started; return whether it was one."""
        if run.state not in (RunState.PLANNED, RunState.STARTING) or run.order_in_flight:
            return False
        if run.stop_requested:
            return False
        self._state.request_stop(run)
        return True

    # After the placement of waiting tasks

    def advance(self) -> None:
        """Stop the runs that can leave, and update the statuses."""
        now_s = self._state.now_s
        if not self._applied or now_s < self._next_plan_s:
            return
        self._next_plan_s = now_s + PLAN_INTERVAL_S
        runs = self._evacuated_runs()
        made = self._policy.plan(self._state, runs, now_s)
        for run in made.stops:
            made.count(run, Obstacle.STOPPING)
            if not run.stop_requested:
                self._state.request_stop(run)
        left = Counter(run.worker.entry.data_centre for run in runs)
        lasting = Counter(
            run.worker.entry.data_centre for run in runs if run.task.step.long_running
        )
        for data_centre, status in self._statuses.items():
            status.runs = left[data_centre]
            status.long_running = lasting[data_centre]
            status.obstacles = made.obstacles.get(data_centre, Counter())
            self._log(status, now_s)

    def _log(self, status: DataCentreStatus, now_s: float) -> None:
        status.known = self._requests is not None and status.data_centre in self._requests.known
        if not status.known:
            if not status.unknown and now_s - status.since_s >= UNKNOWN_AFTER_S:
                status.unknown = True
                self._unknown_requests += 1
                _LOGGER.warning(
                    "evacuation: %s is not a known data centre",
                    status.data_centre,
                    extra=self._age_fields(status),
                )
            return
        fields = self._age_fields(status)
        if not status.runs:
            if not status.empty:
                status.empty = True
                _LOGGER.info("evacuation: %s is empty", status.data_centre, extra=fields)
            return
        status.empty = False
        if now_s - status.logged_s < LOG_INTERVAL_S:
            return
        status.logged_s = now_s
        reasons = {obstacle.value: count for obstacle, count in status.obstacles.items() if count}
        _LOGGER.info(
            "evacuation: %s is not empty",
            status.data_centre,
            extra=fields
            | {
                "runs": status.runs,
                "lasting_runs": status.long_running,
                "reason": ", ".join(f"{name}: {count}" for name, count in reasons.items()),
            },
        )
