"""Service and weighted virtual time of each team within one pool."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from toucandoor.core.shares.const import DEFAULT_CORRECTABLE_MAX, DEFAULT_WEIGHT
from toucandoor.core.shares.models import EntryService, ServiceMeter, TaskUsage

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from toucandoor.ids import AttemptId, EntryId, TeamId


@dataclass(slots=True)
class _Account:
    """Service of one team; all sums are in the unit of the ledger's meter.

    Attributes:
        local_ended: Service of this entry's ended attempts.
        peer_service: Service given by the other entries.
        running: Number of this entry's running attempts.
        running_rate: Sum of the rates of the running attempts.
        started_sum: Sum of the start times of the running attempts, each times its rate, so that
            their service at any moment is ``running_rate * now_s - started_sum``.
        waiting: Number of waiting requests here.
        virtual_offset: Added to the virtual time, so that an idle team keeps no credit and a change
            of weight does not change the virtual time.
    """

    weight: float
    local_ended: float = 0.0
    peer_service: float = 0.0
    running: int = 0
    running_rate: float = 0.0
    started_sum: float = 0.0
    waiting: int = 0
    virtual_offset: float = 0.0

    @property
    def active(self) -> bool:
        """Return whether the team has waiting requests or running attempts here."""
        return self.waiting > 0 or self.running > 0


@dataclass(frozen=True, slots=True)
class _RunningAttempt:
    team: TeamId
    started_s: float
    rate: float


class ShareLedger:
    """Counts each team's service in one pool and computes the virtual time that orders the teams.

    Service is running time, multiplied by a rate where attempts use different amounts of capacity.
    A team's virtual time is its service divided by its weight. The team with the least virtual
    time starts next. Service is measured, never taken from declared running times; it is corrected
    by the backend servers' usage reports and includes the service that other entries report.

    Args:
        weights: Weight of each team; others have `DEFAULT_WEIGHT`.
        meter: Unit of the service.
        correctable_max: Most ended attempts that usage reports may still correct.
    """

    def __init__(
        self,
        weights: Mapping[TeamId, float],
        meter: ServiceMeter = ServiceMeter.RUN_TIME,
        correctable_max: int = DEFAULT_CORRECTABLE_MAX,
    ) -> None:
        self._correctable_max = correctable_max
        self._meter = meter
        self._accounts = {team: _Account(weight) for team, weight in weights.items()}
        self._running: dict[AttemptId, _RunningAttempt] = {}
        self._correctable: OrderedDict[AttemptId, tuple[_RunningAttempt, float]] = OrderedDict()
        self._peers: dict[EntryId, EntryService] = {}
        self._virtual_time_floor = 0.0

    def set_weights(self, weights: Mapping[TeamId, float], now_s: float) -> None:
        """Set the weights of a new configuration; no virtual time jumps at the change."""
        for team, weight in weights.items():
            account = self._account(team)
            before = self._virtual_time(account, now_s)
            account.weight = weight
            account.virtual_offset += before - self._virtual_time(account, now_s)

    def set_meter(self, meter: ServiceMeter) -> None:
        """Set the unit of the service; a change resets all service counted so far."""
        if meter is self._meter:
            return
        self._meter = meter
        self._virtual_time_floor = 0.0
        self._correctable.clear()
        self._peers.clear()
        for account in self._accounts.values():
            account.local_ended = account.peer_service = account.virtual_offset = 0.0

    def set_level(self, now_s: float) -> None:
        """Make the virtual times of all teams equal: service received so far no longer counts."""
        self._virtual_time_floor = max(
            (self._virtual_time(each, now_s) for each in self._accounts.values()), default=0.0
        )
        for account in self._accounts.values():
            account.virtual_offset += self._virtual_time_floor - self._virtual_time(account, now_s)

    def forget_idle(self, kept: Collection[TeamId]) -> None:
        """Drop the accounts of teams that are neither active nor among the given ones."""
        for team in [
            team
            for team, account in self._accounts.items()
            if not account.active and team not in kept
        ]:
            del self._accounts[team]

    def on_enqueued(self, team: TeamId, now_s: float) -> None:
        """Record that a request of the team starts to wait."""
        account = self._account(team)
        if not account.active:
            self._forfeit_idle_credit(account, now_s)
        account.waiting += 1

    def on_dequeued(self, team: TeamId) -> None:
        """Record that a request of the team no longer waits."""
        account = self._account(team)
        account.waiting = max(0, account.waiting - 1)

    def on_attempt_started(
        self, team: TeamId, attempt_id: AttemptId, now_s: float, rate: float = 1.0
    ) -> None:
        """Count the service of an attempt from now on; a second call changes nothing.

        Args:
            team: Its team.
            attempt_id: The attempt.
            now_s: The monotonic time.
            rate: Service that it receives in a second, such as the share of a server that it
                reserves. Completed jobs are counted without it.
        """
        if attempt_id in self._running:
            return
        account = self._account(team)
        if not account.active:
            self._forfeit_idle_credit(account, now_s)
        self._running[attempt_id] = _RunningAttempt(team, now_s, rate)
        account.running += 1
        account.running_rate += rate
        account.started_sum += rate * now_s

    def on_attempt_ended(self, attempt_id: AttemptId, now_s: float, *, completed: bool) -> None:
        """Count an attempt's final service; a second call changes nothing.

        Args:
            completed: Whether the attempt was answered.
        """
        running = self._running.pop(attempt_id, None)
        if running is None:
            return
        account = self._account(running.team)
        account.running -= 1
        account.running_rate -= running.rate
        account.started_sum -= running.rate * running.started_s
        if not account.running:
            # Rounding errors of fractional rates would add up, multiplied by the uptime.
            account.running_rate = account.started_sum = 0.0
        if self._meter is ServiceMeter.COMPLETED_JOB:
            account.local_ended += 1.0 if completed else 0.0
            return
        run_s = max(0.0, now_s - running.started_s)
        account.local_ended += run_s * running.rate
        self._correctable[attempt_id] = (running, run_s)
        if len(self._correctable) > self._correctable_max:
            self._correctable.popitem(last=False)

    def correct_run_time(self, report: TaskUsage) -> None:
        """Replace the measured running time of an ended attempt by the reported one.

        A report that is not final and below the counted running time is outdated and ignored.
        """
        known = self._correctable.get(report.attempt_id)
        if known is None:
            return
        attempt, charged_s = known
        if not report.final and report.run_s <= charged_s:
            return
        self._account(attempt.team).local_ended += (report.run_s - charged_s) * attempt.rate
        if report.final:
            del self._correctable[report.attempt_id]
        else:
            self._correctable[report.attempt_id] = (attempt, report.run_s)

    def merge_peer_service(self, report: EntryService) -> None:
        """Add another entry's service since its last report; old and duplicate reports are ignored.

        Counting starts with the first report of an incarnation: service from before it is not
        counted here.
        """
        last = self._peers.get(report.entry)
        if last and (report.incarnation, report.sequence) <= (last.incarnation, last.sequence):
            return
        self._peers[report.entry] = report
        if last is None or last.incarnation != report.incarnation:
            return
        for team, service in report.service.items():
            self._account(team).peer_service += service - last.service.get(team, 0.0)

    def local_service(self, now_s: float) -> dict[TeamId, float]:
        """Return this entry's own service by team, to report to the other entries."""
        return {
            team: self._local_service(account, now_s) for team, account in self._accounts.items()
        }

    def virtual_time(self, team: TeamId, now_s: float) -> float:
        """Return the team's virtual time: service divided by weight."""
        return self._virtual_time(self._account(team), now_s)

    def lead(self, team: TeamId, now_s: float) -> float:
        """Return the team's virtual time ahead of the active team with the lowest one."""
        return self.virtual_time(team, now_s) - self._lowest_virtual_time(now_s)

    def pace(self) -> float:
        """Return the virtual time that passes in a second for teams that get their exact shares.

        It is 0 while nothing runs.
        """
        active = [each for each in self._accounts.values() if each.active]
        weight = sum(each.weight for each in active)
        return sum(each.running_rate for each in active) / weight if weight else 0.0

    def _account(self, team: TeamId) -> _Account:
        return self._accounts.setdefault(team, _Account(DEFAULT_WEIGHT))

    def _local_service(self, account: _Account, now_s: float) -> float:
        if self._meter is ServiceMeter.COMPLETED_JOB:
            return account.local_ended + account.running
        return account.local_ended + account.running_rate * now_s - account.started_sum

    def _virtual_time(self, account: _Account, now_s: float) -> float:
        return (
            self._local_service(account, now_s) + account.peer_service
        ) / account.weight + account.virtual_offset

    def _lowest_virtual_time(self, now_s: float) -> float:
        active = [
            self._virtual_time(each, now_s) for each in self._accounts.values() if each.active
        ]
        self._virtual_time_floor = max(
            self._virtual_time_floor, min(active, default=self._virtual_time_floor)
        )
        return self._virtual_time_floor

    def _forfeit_idle_credit(self, account: _Account, now_s: float) -> None:
        """Raise an idle team's virtual time to the lowest active one; idle time earns no credit."""
        account.virtual_offset += max(
            0.0, self._lowest_virtual_time(now_s) - self._virtual_time(account, now_s)
        )
