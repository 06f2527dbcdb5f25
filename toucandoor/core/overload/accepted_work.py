"""Jobs that a node has accepted itself, which the owner's report doesn't contain yet."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final, NamedTuple

from toucandoor.core.overload.const import ACCEPTED_MAX, ARRIVALS_WINDOW_S, NODES_MAX, POOLS_MAX

if TYPE_CHECKING:
    from collections.abc import Collection

    from toucandoor.ids import PoolId, QueueId

_DECAY: Final = 0.8
"""Factor on earlier counts at each report: a node accepts one job or two between two reports."""


class _Accepted(NamedTuple):
    at_s: float
    queue: QueueId
    priority: int
    core_s: float


class _Share:
    """Jobs that a node and all nodes have accepted, newer ones with more weight."""

    def __init__(self) -> None:
        self.report = (0, 0)
        self.own = 0.0
        self.all = 0.0


class AcceptedWork:
    """Estimates what all nodes have accepted since a report, by what this node has accepted.

    It isn't thread-safe.
    """

    def __init__(self) -> None:
        self._jobs: deque[_Accepted] = deque(maxlen=ACCEPTED_MAX)
        self._shares: dict[PoolId, _Share] = {}

    def add(self, queue: QueueId, priority: int, core_s: float, now_s: float) -> None:
        """Record that a job was accepted."""
        self._jobs.append(_Accepted(now_s, queue, priority, core_s))

    def on_report(
        self,
        report: tuple[int, int],
        pool: PoolId,
        queues: Collection[QueueId],
        accepted_per_s: float,
        written_s: float,
    ) -> None:
        """Update this node's share of the jobs of a pool; once for each report.

        Args:
            report: Token and sequence of the report.
            pool: The pool.
            queues: Its queues.
            accepted_per_s: Jobs that all nodes have accepted in a second.
            written_s: When the report was written, on the monotonic clock.
        """
        if pool not in self._shares and len(self._shares) >= POOLS_MAX:
            # Pools that a former configuration had; shares are estimated again within seconds.
            self._shares.clear()
        share = self._shares.setdefault(pool, _Share())
        if share.report == report:
            return
        share.report = report
        begin_s = written_s - ARRIVALS_WINDOW_S
        own = sum(begin_s < each.at_s <= written_s and each.queue in queues for each in self._jobs)
        share.own = _DECAY * share.own + own / ARRIVALS_WINDOW_S
        share.all = _DECAY * share.all + accepted_per_s

    def nodes(self, pool: PoolId) -> float:
        """Return how many nodes like this one would accept all jobs of a pool, at least 1."""
        share = self._shares.get(pool)
        if share is None or not share.own:
            return 1.0
        return min(NODES_MAX, max(1.0, share.all / share.own))

    def since(
        self, written_s: float, queues: Collection[QueueId], priority: int, core_s: float
    ) -> float:
        """Return the core-seconds of the jobs accepted since then that are started before another.

        Args:
            written_s: The time, on the monotonic clock.
            queues: Queues of the pool.
            priority: Priority of the other job.
            core_s: Its size; infinite for one that all others go before.
        """
        total = 0.0
        for each in reversed(self._jobs):
            if each.at_s <= written_s:
                break
            if each.queue in queues and (each.priority, each.core_s) <= (priority, core_s):
                total += each.core_s
        return total
