"""Configuration for accepting and scheduling jobs; each version is immutable."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property

from toucandoor.core.jobs.models import NO_RESOURCES, QueueTerms, Resources
from toucandoor.core.keys import secret_digest
from toucandoor.ids import ConfigVersion, KeyDigest, PoolId, QueueAddress, QueueId, TeamId

DEFAULT_BODY_BYTES_MAX = 262144
"""Largest accepted request body if the configuration gives no limit."""
KEY_DIGEST_CHARS = 16
"""Length of a key's digest in the records of jobs."""
NO_KEY = KeyDigest("")
"""Digest of a caller's key that sends none."""


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
    def address(self) -> QueueAddress:
        """Address by which callers reach it."""
        return queue_address(self.host, self.path_prefix)

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


def queue_address(host: str, path_prefix: str) -> QueueAddress:
    """Return the address of a queue; the host is empty for any."""
    return QueueAddress(host + path_prefix)


def key_digest(key: str) -> KeyDigest:
    """Return the digest of an API key for records; empty for no key."""
    return KeyDigest(secret_digest(key)[:KEY_DIGEST_CHARS]) if key else NO_KEY


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

    @property
    def key_digests(self) -> frozenset[KeyDigest]:
        """Digests of its keys."""
        return frozenset(key_digest(key) for key in self.keys if key)


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
        names_since: Newest version, up to this one, that gave a name to another queue or team than
            the version before; 0 if none is known.
    """

    version: ConfigVersion
    queues: dict[QueueId, JobQueue]
    pools: dict[PoolId, JobPool]
    teams: dict[TeamId, JobTeam]
    body_bytes_max: int = DEFAULT_BODY_BYTES_MAX
    source: bytes = field(default=b"", repr=False, compare=False)
    names_since: ConfigVersion = field(default=ConfigVersion(0), compare=False)

    @cached_property
    def _team_by_key(self) -> dict[str, TeamId]:
        return {key: team.name for team in self.teams.values() for key in team.keys}

    def team_of(self, key: str) -> TeamId | None:
        """Return the team that a key identifies; None for an unknown key."""
        return self._team_by_key.get(key)

    @cached_property
    def _addresses(self) -> frozenset[QueueAddress]:
        return frozenset(queue.address for queue in self.queues.values())

    def owns_job(self, queue: JobQueue, host: str, address: QueueAddress, name: QueueId) -> bool:
        """Return whether a job belongs to the queue by which a caller asks for it.

        Args:
            queue: The queue.
            host: Host that the caller has named.
            address: Address of the queue that accepted the job; empty in records of older builds.
            name: Name of that queue when the record was written.
        """
        if not address:
            return name == queue.name
        if address in (queue.address, *(queue_address(h, queue.path_prefix) for h in (host, ""))):
            return True
        # The queue may have moved to another address.
        return name == queue.name and address not in self._addresses

    def reuses_names_of(self, former: JobConfiguration) -> bool:
        """Return whether a queue's address or a team's key has another name than before."""
        names = {queue.address: name for name, queue in former.queues.items()}
        if any(names.get(queue.address, name) != name for name, queue in self.queues.items()):
            return True
        return any(
            former.team_of(key) not in (None, team.name)
            for team in self.teams.values()
            for key in team.keys
        )

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
