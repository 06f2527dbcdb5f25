"""Configuration for accepting and scheduling jobs; each version is immutable."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property

from toucandoor.core.jobs.models import NO_RESOURCES, QueueTerms, Resources
from toucandoor.ids import ConfigVersion, PoolId, QueueId, TeamId

DEFAULT_BODY_BYTES_MAX = 262144
"""Largest accepted request body if the configuration gives no limit."""


@dataclass(frozen=True, slots=True)
class AdviserTimes:
    """Response times of a queue's adviser and the validity of its answers.

    Attributes:
        decision_s: Fixed part of the time that an answer takes.
        per_worker_s: Additional time for each backend server in the request.
        validity_s: Time for which the tickets in an answer are valid.
    """

    decision_s: float
    per_worker_s: float
    validity_s: float


@dataclass(frozen=True, slots=True)
class JobQueue:
    """A queue to which callers submit jobs.

    Attributes:
        name: Name of the queue.
        host: Host of its URL; empty for any.
        path_prefix: Start of its paths; the id of the job follows.
        pool: Pool that runs its tasks.
        public: Whether it accepts jobs without a key.
        priority: Priority; 0 is the highest.
        attempts_max: Failed runs of a task at which its job fails.
        slack_ratio: Factor on the run time of the job's longest chain of steps, for its objective.
        target_duration_s: Time that the objective adds to that.
        adviser: Times of its adviser; None if every backend server of the pool may run its tasks.
    """

    name: QueueId
    host: str
    path_prefix: str
    pool: PoolId
    public: bool
    priority: int
    attempts_max: int
    slack_ratio: float
    target_duration_s: float
    adviser: AdviserTimes | None = None

    @property
    def terms(self) -> QueueTerms:
        """Terms for a job that is accepted now."""
        return QueueTerms(
            pool=self.pool,
            priority=self.priority,
            attempts_max=self.attempts_max,
            slack_ratio=self.slack_ratio,
            target_duration_ms=self.target_duration_s * 1000,
        )


@dataclass(frozen=True, slots=True)
class JobPool:
    """A pool of VMs that serve the same queues.

    Attributes:
        name: Name of the pool.
        refuses_overload: Whether its backend servers refuse tasks that exceed their capacity.
        spare: Whether its VMs are switched off and can be lent to other pools.
    """

    name: PoolId
    refuses_overload: bool
    spare: bool


@dataclass(frozen=True, slots=True)
class JobTeam:
    """A team that submits jobs.

    Attributes:
        name: Name of the team.
        keys: Keys that identify the team.
        jobs_per_s: Its share under full load, in jobs per second; 0 for none. Invalid values are
            possible and are ignored where it is used.
        ceiling: Most resources that its running tasks may need across the fleet; 0 in a field means
            no limit.
    """

    name: TeamId
    keys: frozenset[str]
    jobs_per_s: float
    ceiling: Resources = NO_RESOURCES


@dataclass(frozen=True)
class JobConfiguration:
    """One version of the operators' configuration.

    Attributes:
        version: Grows with each change, not always by one.
        queues: Queues by name.
        pools: Pools by name.
        teams: Teams by name.
        body_bytes_max: Largest accepted request body, in bytes.
        source: Encoded record from which this version was decoded.
    """

    version: ConfigVersion
    queues: dict[QueueId, JobQueue]
    pools: dict[PoolId, JobPool]
    teams: dict[TeamId, JobTeam]
    body_bytes_max: int = DEFAULT_BODY_BYTES_MAX
    source: bytes = field(default=b"", repr=False, compare=False)

    @cached_property
    def _team_by_key(self) -> dict[str, TeamId]:
        return {key: team.name for team in self.teams.values() for key in team.keys}

    def team_of(self, key: str) -> TeamId | None:
        """Return the team that a key identifies; None for an unknown key."""
        return self._team_by_key.get(key)

    @cached_property
    def _by_host(self) -> dict[str, tuple[JobQueue, ...]]:
        hosts: dict[str, list[JobQueue]] = {}
        for queue in self.queues.values():
            hosts.setdefault(queue.host, []).append(queue)
        return {
            host: tuple(sorted(queues, key=lambda queue: -len(queue.path_prefix)))
            for host, queues in hosts.items()
        }

    def queue_for(self, host: str, path: str) -> JobQueue | None:
        """Return the queue with the longest matching path prefix; None if no queue matches."""
        found = [
            queue
            for queues in (self._by_host.get(host, ()), self._by_host.get("", ()))
            for queue in queues
            if path.startswith(queue.path_prefix)
        ]
        return max(found, key=lambda queue: len(queue.path_prefix), default=None)
