"""Identities of queues and teams over versions of the configuration that rename them.

A name identifies a queue or a team within one version only. A queue keeps its address, by which
callers reach it, and a team keeps its keys. The schedule's owner refers to both by ids that stay
the same for its term, and uses their present names in what it stores, reports and measures.
"""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec

from toucandoor.ids import QueueAddress, QueueId, TeamId

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from toucandoor.core.jobs.configuration import JobConfiguration
    from toucandoor.core.jobs.models import JobSpec
    from toucandoor.core.jobs.records import ProgressRecord

_LOGGER = logging.getLogger(__name__)


class _Lineage:
    """Ids of things that have a name and marks; a thing is recognised by its marks first.

    An id is the first name of its thing, with a number if another thing has had that name.

    Args:
        kind: What the things are, for the log.

    Attributes:
        renamed: Whether any id differs from the latest name of its thing.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._id_of_mark: dict[str, str] = {}
        self._id_of_name: dict[str, str] = {}
        self._name_of_id: dict[str, str] = {}
        self.renamed = False

    def set_things(self, marks_by_name: Mapping[str, Collection[str]]) -> None:
        """Assign ids to the things of a newer version.

        Args:
            marks_by_name: Marks of each thing, by its name.
        """
        known = {
            name: [self._id_of_mark[mark] for mark in sorted(marks) if mark in self._id_of_mark]
            for name, marks in marks_by_name.items()
        }
        assigned: dict[str, str] = {}
        taken: set[str] = set()

        def assign(name: str, candidates: Iterable[str | None]) -> None:
            if name in assigned:
                return
            for each in candidates:
                if each is not None and each not in taken:
                    assigned[name] = each
                    taken.add(each)
                    return

        # Of several things with a mark of the same former one, that with its name continues it.
        for name, ids in known.items():
            assign(name, [each for each in ids if each == self._id_of_name.get(name)])
        for name, ids in known.items():
            assign(name, ids)
        for name in known:
            assign(name, [self._id_of_name.get(name)])
        for name in known:
            if name not in assigned:
                assign(name, [self._new_id(name, taken)])
        marks: dict[str, str] = {}
        for name in marks_by_name:
            self._set_name(assigned[name], name)
            self._id_of_name[name] = assigned[name]
            for mark in marks_by_name[name]:
                marks.setdefault(mark, assigned[name])
        self._id_of_mark |= marks
        self.renamed = any(each != name for each, name in self._name_of_id.items())

    def _new_id(self, name: str, assigned: Collection[str]) -> str:
        candidate, number = name, 2
        while candidate in self._name_of_id or candidate in assigned:
            candidate, number = f"{name}~{number}", number + 1
        return candidate

    def _set_name(self, thing_id: str, name: str) -> None:
        former = self._name_of_id.get(thing_id, name)
        if former != name:
            _LOGGER.info(
                "configuration: %s %s is now called %s",
                self._kind,
                former,
                name,
                extra={"kind": self._kind, "known_as": thing_id},
            )
        self._name_of_id[thing_id] = name

    def find(self, mark: str, name: str) -> str | None:
        """Return the id of the thing with a mark, or with a name if the mark is unknown."""
        return self._id_of_mark.get(mark) or self._id_of_name.get(name)

    def adopt(self, mark: str, name: str) -> str:
        """Return the id of a thing that a record names; it may be in no version of this term.

        Args:
            mark: Its mark; empty if the record has none.
            name: Its name when the record was written.
        """
        found = self.find(mark, name)
        if found is None:
            found = self._new_id(name, ())
            self._set_name(found, name)
            self._id_of_name[name] = found
        if mark:
            self._id_of_mark.setdefault(mark, found)
        return found

    def name_of(self, thing_id: str) -> str:
        """Return the latest name of a thing."""
        return self._name_of_id.get(thing_id, thing_id)

    def ids_of(self, names: Iterable[str]) -> dict[str, str]:
        """Return the ids of the things of the newest version, by name."""
        return {name: self._id_of_name[name] for name in names}


class Identities:
    """Ids of the queues and teams of one owner's term."""

    def __init__(self) -> None:
        self._queues = _Lineage("queue")
        self._teams = _Lineage("team")
        self._address_of_queue: dict[QueueId, QueueAddress] = {}
        self._addresses: frozenset[QueueAddress] = frozenset()

    @property
    def renamed(self) -> bool:
        """Whether any id differs from the present name."""
        return self._queues.renamed or self._teams.renamed

    def apply(self, configuration: JobConfiguration) -> JobConfiguration:
        """Return a newer version with ids in place of the names of its queues and teams."""
        addresses = {name: queue.address for name, queue in configuration.queues.items()}
        self._queues.set_things({name: [address] for name, address in addresses.items()})
        self._teams.set_things({n: team.key_digests for n, team in configuration.teams.items()})
        queue_ids = self._queues.ids_of(addresses)
        team_ids = self._teams.ids_of(configuration.teams)
        self._addresses = frozenset(addresses.values())
        self._address_of_queue |= {QueueId(queue_ids[n]): a for n, a in addresses.items()}
        if all(name == each for ids in (queue_ids, team_ids) for name, each in ids.items()):
            return configuration
        return replace(
            configuration,
            queues={
                QueueId(queue_ids[name]): replace(queue, name=QueueId(queue_ids[name]))
                for name, queue in configuration.queues.items()
            },
            teams={
                TeamId(team_ids[name]): replace(team, name=TeamId(team_ids[name]))
                for name, team in configuration.teams.items()
            },
        )

    def adopt(self, spec: JobSpec) -> JobSpec:
        """Return a job's specification with ids in place of the names that were stored."""
        queue = QueueId(self._queues.adopt(spec.address, spec.queue))
        team = TeamId(self._teams.adopt(spec.key_digest, spec.team) if spec.team else "")
        if (queue, team) == (spec.queue, spec.team):
            return spec
        return msgspec.structs.replace(spec, queue=queue, team=team)

    def move_to_address(self, spec: JobSpec) -> JobSpec:
        """Return an adopted specification for the queue that its address has in a newer version."""
        queue = QueueId(self._queues.find(spec.address, "") or spec.queue)
        return spec if queue == spec.queue else msgspec.structs.replace(spec, queue=queue)

    def queue_name(self, queue: QueueId) -> QueueId:
        """Return the latest name of a queue."""
        return QueueId(self._queues.name_of(queue))

    def team_name(self, team: TeamId) -> TeamId:
        """Return the latest name of a team."""
        return TeamId(self._teams.name_of(team))

    def address_of_job(self, queue: QueueId, address: QueueAddress) -> QueueAddress | None:
        """Return the address by which callers reach a job; None if it is not known.

        Args:
            queue: Its queue.
            address: Address that accepted it; empty in records of older builds.
        """
        return address if address in self._addresses else self.address_of(queue)

    def address_of(self, queue: QueueId) -> QueueAddress | None:
        """Return the latest address of a queue; None if no version has named it in this term."""
        return self._address_of_queue.get(queue)

    def queue_at(self, address_or_name: str) -> QueueId:
        """Return the queue with an address; also takes the names that older builds store."""
        return QueueId(self._queues.find(address_or_name, address_or_name) or address_or_name)

    def stored(self, record: ProgressRecord) -> ProgressRecord:
        """Return the record of a job with present names in place of ids, and with its address."""
        if not self.renamed and record.address:
            return record
        return msgspec.structs.replace(
            record,
            queue=self.queue_name(record.queue),
            team=self.team_name(record.team),
            address=record.address or self.address_of(record.queue) or record.address,
        )
