"""The configuration that jobs are taken in and scheduled under, one immutable version at a time."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property

from toucandoor.core.jobs.models import NO_RESOURCES, QueueTerms, Resources
from toucandoor.ids import ConfigVersion, PoolId, QueueId, TeamId

DEFAULT_BODY_BYTES_MAX = 262144
"""Largest body taken where the configuration names no bound."""


@dataclass(frozen=True, slots=True)
class AdviserTimes:
    """How a queue's adviser works.

    Attributes:
        decision_s: Time it takes for an answer.
        per_worker_s: Time it takes more for each backend server asked about.
        validity_s: How long its tickets hold.
    """

    decision_s: float
    per_worker_s: float
    validity_s: float


@dataclass(frozen=True, slots=True)
class JobQueue:
    """Where callers hand jobs in.

    Attributes:
        name: Its name.
        host: Host of its URL; empty for any.
        path_prefix: Beginning of its paths; the job's id follows.
        pool: Pool that runs its tasks.
        public: Whether it is open to all, without a key.
        priority: 0 comes first.
        attempts_max: Failed runs of a task after which its job has failed.
        slack_ratio: Objective as a multiple of the job's longest chain of work.
        target_duration_s: What the objective adds to that.
        advice: Its adviser; None where any backend server of the pool will do.
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
        """What the queue promises to a job that is accepted now."""
        return QueueTerms(
            pool=self.pool,
            priority=self.priority,
            attempts_max=self.attempts_max,
            slack_ratio=self.slack_ratio,
            target_duration_ms=self.target_duration_s * 1000,
        )


@dataclass(frozen=True, slots=True)
class JobPool:
    """VMs that serve the same queues.

    Attributes:
        name: Its name.
        refuses_overload: Whether its backend servers refuse what does not fit.
        spare: Whether its VMs are off and wait to be lent.
    """

    name: PoolId
    refuses_overload: bool
    spare: bool


@dataclass(frozen=True, slots=True)
class JobTeam:
    """A team that hands in jobs.

    Attributes:
        name: Its name.
        keys: Keys that stand for it.
        jobs_per_s: Its share when all is full, in jobs a second.
        ceiling: What it may have running across the fleet; 0 of a kind for no bound.
    """

    name: TeamId
    keys: frozenset[str]
    jobs_per_s: float
    ceiling: Resources = NO_RESOURCES


@dataclass(frozen=True)
class JobConfiguration:
    """One version of the operators' configuration.

    Attributes:
        version: Grows with each change, in uneven steps.
        queues: Queues by name.
        pools: Pools by name.
        teams: Teams by name.
        body_bytes_max: Largest body taken from a caller.
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
        """Return the team that a key stands for, None for an unknown key."""
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
        """Return the queue with the longest prefix of a path, None where there is none."""
        found = [
            queue
            for queues in (self._by_host.get(host, ()), self._by_host.get("", ()))
            for queue in queues
            if path.startswith(queue.path_prefix)
        ]
        return max(found, key=lambda queue: len(queue.path_prefix), default=None)
