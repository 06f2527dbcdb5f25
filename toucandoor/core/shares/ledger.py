"""Weighted virtual time of each team within one pool."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from toucandoor.core.shares.const import DEFAULT_CORRECTIONS_MAX, DEFAULT_WEIGHT
from toucandoor.core.shares.models import EntryUse, ServiceMeter, UsageReport

if TYPE_CHECKING:
    from collections.abc import Mapping

    from toucandoor.ids import AttemptId, EntryId, TeamId


@dataclass(slots=True)
class _Account:
    """Service of one team; all sums are in the unit of the ledger's meter.

    Attributes:
        started_sum_s: Sum of the start times of what runs, so that its running time at any
            moment is ``running * now_s - started_sum_s``.
        offset: Added to the virtual time, so that an idle team keeps no credit.
    """

    weight: float
    settled: float = 0.0
    remote: float = 0.0
    running: int = 0
    started_sum_s: float = 0.0
    waiting: int = 0
    offset: float = 0.0

    @property
    def active(self) -> bool:
        """Return whether the team has anything waiting or running here."""
        return self.waiting > 0 or self.running > 0


@dataclass(frozen=True, slots=True)
class _Running:
    team: TeamId
    started_s: float


class ShareLedger:
    """Counts each team's service in one pool and orders the teams by it.

    A team's virtual time is its service divided by its weight. The team with the least virtual
    time starts next. Service is what was seen to run, never what was declared; it is corrected by
    usage reports and by the use that other entries report in their heartbeats.
    """

    def __init__(
        self, weights: Mapping[TeamId, float], meter: ServiceMeter = ServiceMeter.RUN_TIME
    ) -> None:
        self._meter = meter
        self._accounts = {team: _Account(weight) for team, weight in weights.items()}
        self._running: dict[AttemptId, _Running] = {}
        self._ended: OrderedDict[AttemptId, tuple[TeamId, float]] = OrderedDict()
        self._peers: dict[EntryId, EntryUse] = {}
        self._floor = 0.0

    def set_weights(self, weights: Mapping[TeamId, float], now_s: float) -> None:
        """Take the weights of a new configuration; no team's virtual time jumps."""
        for team, weight in weights.items():
            account = self._account(team)
            before = self._virtual(account, now_s)
            account.weight = weight
            account.offset += before - self._virtual(account, now_s)

    def set_meter(self, meter: ServiceMeter) -> None:
        """Count in another unit from now on; all teams start level again."""
        if meter is self._meter:
            return
        self._meter = meter
        self._floor = 0.0
        self._ended.clear()
        self._peers.clear()
        for account in self._accounts.values():
            account.settled = account.remote = account.offset = 0.0

    def enqueued(self, team: TeamId, now_s: float) -> None:
        """Note a request of the team that starts to wait."""
        account = self._account(team)
        if not account.active:
            self._catch_up(account, now_s)
        account.waiting += 1

    def dequeued(self, team: TeamId) -> None:
        """Note that a request of the team no longer waits."""
        account = self._account(team)
        account.waiting = max(0, account.waiting - 1)

    def started(self, team: TeamId, attempt_id: AttemptId, now_s: float) -> None:
        """Charge an attempt from now on; a second call changes nothing."""
        if attempt_id in self._running:
            return
        account = self._account(team)
        if not account.active:
            self._catch_up(account, now_s)
        self._running[attempt_id] = _Running(team, now_s)
        account.running += 1
        account.started_sum_s += now_s

    def ended(self, attempt_id: AttemptId, now_s: float, *, completed: bool) -> None:
        """Settle an attempt by the running time seen; a second call changes nothing."""
        running = self._running.pop(attempt_id, None)
        if running is None:
            return
        account = self._account(running.team)
        account.running -= 1
        account.started_sum_s -= running.started_s
        if self._meter is ServiceMeter.COMPLETED_JOB:
            account.settled += 1.0 if completed else 0.0
            return
        run_s = max(0.0, now_s - running.started_s)
        account.settled += run_s
        self._ended[attempt_id] = (running.team, run_s)
        if len(self._ended) > DEFAULT_CORRECTIONS_MAX:
            self._ended.popitem(last=False)

    def correct(self, report: UsageReport) -> None:
        """Replace the running time seen of an ended attempt by the one reported.

        A report that is not final and says less than was seen only lags and is ignored.
        """
        known = self._ended.get(report.attempt_id)
        if known is None:
            return
        team, charged_s = known
        if not report.ended and report.run_s <= charged_s:
            return
        self._account(team).settled += report.run_s - charged_s
        if report.ended:
            del self._ended[report.attempt_id]
        else:
            self._ended[report.attempt_id] = (team, report.run_s)

    def merge(self, use: EntryUse) -> None:
        """Take in another entry's service; older, doubled and first heartbeats charge nothing.

        The first heartbeat of an incarnation is where counting starts: what was served before it
        was seen here has no part in the order of the teams.
        """
        last = self._peers.get(use.entry)
        if last and (use.incarnation, use.sequence) <= (last.incarnation, last.sequence):
            return
        self._peers[use.entry] = use
        if last is None or last.incarnation != use.incarnation:
            return
        for team, service in use.service.items():
            self._account(team).remote += service - last.service.get(team, 0.0)

    def local_use(self, now_s: float) -> dict[TeamId, float]:
        """Return this entry's own service by team, for its heartbeat."""
        return {team: self._local(account, now_s) for team, account in self._accounts.items()}

    def virtual(self, team: TeamId, now_s: float) -> float:
        """Return the team's virtual time: service divided by weight."""
        return self._virtual(self._account(team), now_s)

    def lead(self, team: TeamId, now_s: float) -> float:
        """Return how far the team is ahead of the active team that has had least."""
        return self.virtual(team, now_s) - self._lowest(now_s)

    def _account(self, team: TeamId) -> _Account:
        return self._accounts.setdefault(team, _Account(DEFAULT_WEIGHT))

    def _local(self, account: _Account, now_s: float) -> float:
        if self._meter is ServiceMeter.COMPLETED_JOB:
            return account.settled + account.running
        return account.settled + account.running * now_s - account.started_sum_s

    def _virtual(self, account: _Account, now_s: float) -> float:
        return (self._local(account, now_s) + account.remote) / account.weight + account.offset

    def _lowest(self, now_s: float) -> float:
        active = [self._virtual(each, now_s) for each in self._accounts.values() if each.active]
        self._floor = max(self._floor, min(active, default=self._floor))
        return self._floor

    def _catch_up(self, account: _Account, now_s: float) -> None:
        """Start a team that was idle level with the others: idle time earns no credit."""
        account.offset += max(0.0, self._lowest(now_s) - self._virtual(account, now_s))
