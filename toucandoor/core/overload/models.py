"""Report of the schedule's owner on its overloaded pools."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from toucandoor.ids import ConfigVersion, PoolId, QueueId, TeamId

if TYPE_CHECKING:
    from collections.abc import Callable


class RateStatus(Enum):
    """Whether a job is within the rate to which its team is entitled."""

    WITHIN = "within"
    BEYOND = "beyond"


class WaitCause(Enum):
    """Why work of a team waits."""

    CEILING = "ceiling"
    """The team's own ceiling, whatever the load of the pools."""
    POOL = "pool"
    """The load of the pool; only reported for teams beyond their rate."""


class PoolReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """Load of one pool.

    Attributes:
        pool: Name of the pool.
        wait_within_s: Time until work of a team within its rate starts, if it is accepted now.
        wait_beyond_s: The same for work beyond a team's rate.
        drain_cores: Cores that become free in a second, for the work that waits.
    """

    pool: PoolId
    wait_within_s: float = 0.0
    wait_beyond_s: float = 0.0
    drain_cores: float = 0.0


class TeamWait(msgspec.Struct, frozen=True, array_like=True):
    """Shortest time that a late job of a team waits in a queue, and the size of those that don't.

    Attributes:
        team: The team.
        queue: The queue.
        cause: Why it waits.
        late_s: Time until a job that is accepted now starts once it can no longer meet its
            objective: the jobs accepted before it then have their turn first.
        started_core_s: Size, as processor time, of the largest jobs that have lately been started
            before that. A job of this size or smaller may still be in time.
    """

    team: TeamId
    queue: QueueId
    cause: WaitCause
    late_s: float
    started_core_s: float


class SizeWait(msgspec.Struct, frozen=True, array_like=True):
    """Wait of the jobs of at least some size that can still meet their objective.

    Attributes:
        core_s: The size, as processor time.
        wait_s: Time until one that is accepted now starts.
        drain_cores: Cores that reduce this wait.
    """

    core_s: float
    wait_s: float
    drain_cores: float


class QueueWait(msgspec.Struct, frozen=True, array_like=True):
    """Wait in a queue of jobs within their teams' rates.

    Attributes:
        queue: The queue.
        late_s: Time until a job that is accepted now starts once it can't meet its objective.
        drain_cores: Cores that reduce this time.
        sizes: Waits until then, by ascending size.
    """

    queue: QueueId
    late_s: float
    drain_cores: float
    sizes: tuple[SizeWait, ...]


class WithinWait(msgspec.Struct, frozen=True, array_like=True):
    """Wait in a pool in which jobs within their teams' rates can't all be done.

    Attributes:
        pool: The pool.
        share_left_core_s: What each team that has lately been given some of it may still be given
            of its share; teams aren't refused up to this, and others never.
        accepted_per_s: Jobs that were accepted in a second.
        queues: Waits in its queues.
    """

    pool: PoolId
    share_left_core_s: dict[TeamId, float]
    accepted_per_s: float
    queues: tuple[QueueWait, ...]


class LoadReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """Overloaded pools, and the teams that are beyond their rate.

    Attributes:
        token: Fencing token of the owner that wrote it.
        sequence: Grows with each report of that owner, from 1.
        written_unix_ms: When it was written, by the owner's wall clock.
        pools: Overloaded pools; none once all have recovered.
        beyond: Teams that hand in more than the rate to which they are entitled.
        ceiling_wait_s: For each team whose own ceiling delays its work, the time until work that is
            accepted now would start, in the queue where that takes longest.
        waits: For each queue in which jobs of a team may be refused, how long they wait.
        within: Pools in which jobs within their teams' rates may be refused.
        configuration: Version whose names of queues and teams it uses; 0 in reports of older
            builds.
    """

    token: int
    sequence: int
    written_unix_ms: int
    pools: tuple[PoolReport, ...] = ()
    beyond: tuple[TeamId, ...] = ()
    ceiling_wait_s: dict[TeamId, float] = {}
    waits: tuple[TeamWait, ...] = ()
    within: tuple[WithinWait, ...] = ()
    configuration: ConfigVersion = ConfigVersion(0)

    def with_names(
        self, queue_name: Callable[[QueueId], QueueId], team_name: Callable[[TeamId], TeamId]
    ) -> LoadReport:
        """Return this report with names in place of the ids of queues and teams.

        Args:
            queue_name: Returns the name of a queue.
            team_name: Returns the name of a team.
        """
        replace = msgspec.structs.replace
        return replace(
            self,
            beyond=tuple(sorted(map(team_name, self.beyond))),
            ceiling_wait_s={team_name(team): s for team, s in self.ceiling_wait_s.items()},
            waits=tuple(
                replace(each, team=team_name(each.team), queue=queue_name(each.queue))
                for each in self.waits
            ),
            within=tuple(
                replace(
                    each,
                    share_left_core_s={
                        team_name(team): left for team, left in each.share_left_core_s.items()
                    },
                    queues=tuple(
                        replace(wait, queue=queue_name(wait.queue)) for wait in each.queues
                    ),
                )
                for each in self.within
            ),
        )

    @property
    def empty(self) -> bool:
        """Whether no pool is overloaded and no team is delayed by its ceiling."""
        return not self.pools and not self.waits and not self.within
