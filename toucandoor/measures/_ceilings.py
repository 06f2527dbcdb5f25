"""Simulation of the permit protocol in virtual time, with fake entries, store and network."""

from __future__ import annotations

import dataclasses
import itertools
from collections import Counter, defaultdict
from random import Random
from typing import TYPE_CHECKING

from toucandoor.adapters.entry_ceilings import to_wire_envelope
from toucandoor.core.ceilings.const import COORDINATOR_ID, PEERS_ID
from toucandoor.core.ceilings.coordinator import PermitCoordinator
from toucandoor.core.ceilings.coordinator_state import CoordinatorState
from toucandoor.core.ceilings.entry import EntryPermits, MemberState
from toucandoor.core.ceilings.ledger import ceiling_in_force, total_permits
from toucandoor.core.ceilings.models import (
    CeilingMessage,
    DataCentreExpired,
    Envelope,
    IncarnationExpired,
    Member,
    WriteLedger,
)
from toucandoor.core.leases.serving import FixedLease
from toucandoor.ids import (
    AttemptId,
    ConfigVersion,
    DataCentreId,
    EntryId,
    IncarnationId,
    TeamId,
)
from toucandoor.measures._ceilings_fakes import (
    CUT_OFF_GRACE_S,
    ENTRY_LEASE_S,
    LEASE_EXPIRY_MARGIN_S,
    TASK_LEASE_S,
    EventQueue,
    FakeEntry,
    FakeStore,
    FormerCoordinator,
    NetworkFaults,
    Task,
)
from toucandoor.messages import encode

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from toucandoor.core.ceilings.policy import PermitPolicy


class PermitSimulation:
    """Entries with permits, one coordinator in each data centre, and faults around them.

    Args:
        data_centres: Number of entries in each data centre.
        ceilings: Ceiling of each team.
        seed: Seed of all random choices.
        step_s: Virtual time between two steps.
        keeps_permits: Whether the data centres keep their permits when their lease has expired.

    Attributes:
        former_processes: Ended incarnations of entries whose tasks may still run.
        partitioned_since_s: Start of each network partition that lasts, by data centre.
        waiting: Requests that wait at each entry, by team.
        run_s: Draws the run time of the next task.
        overruns: Tasks above a ceiling, added up over all steps.
        conservation_breaches: Permits held beyond the ledger's total, added up over all steps.
        stranded_permit_s: Permits that no entry could use, times seconds; callers add to it.
        ceilings_in_force: Limits of the baselines' running tasks; see `BaselineSimulation.check`.
    """

    def __init__(
        self,
        data_centres: Mapping[DataCentreId, int],
        ceilings: Mapping[TeamId, int],
        seed: int,
        step_s: float = 0.05,
        *,
        keeps_permits: bool = False,
    ) -> None:
        self._keeps_permits = keeps_permits
        self.now_s = 0.0
        self.step_s = step_s
        self.random = Random(seed)
        self.store = FakeStore()
        self.network_faults = NetworkFaults()
        self.entries: list[FakeEntry] = []
        self.former_processes: list[FakeEntry] = []
        self._by_id: dict[EntryId, FakeEntry] = {}
        self.coordinators: dict[DataCentreId, PermitCoordinator] = {}
        self.coordinator_leases: dict[DataCentreId, FixedLease] = {}
        self.former_coordinators: list[FormerCoordinator] = []
        self.paused_coordinators: set[DataCentreId] = set()
        self.partitioned_since_s: dict[DataCentreId, float] = {}
        self.data_centres = list(data_centres)
        self.configuration_version = 0
        self.ceilings = dict(ceilings)
        self.waiting: defaultdict[EntryId, Counter[TeamId]] = defaultdict(Counter)
        self.run_s: Callable[[], float] = lambda: self.random.uniform(0.2, 2.0)
        self.tasks_started = 0
        self.overruns = 0
        self.conservation_breaches = 0
        self.messages_sent = 0
        self.stranded_permit_s = 0.0
        self.count_bytes = False
        self.message_bytes = 0
        self.ceilings_in_force: dict[TeamId, int] = {}
        self.entries_total = sum(data_centres.values())
        self._events = EventQueue()
        self._attempts = itertools.count()
        self._starts = itertools.count()
        self.set_ceilings(self.ceilings)
        for data_centre, count in data_centres.items():
            self.start_coordinator(data_centre)
            for index in range(count):
                self.start_entry(EntryId(f"{data_centre}-{index}"), data_centre, 1)

    def set_ceilings(self, ceilings: Mapping[TeamId, int]) -> None:
        """Put a new configuration version with these ceilings in force."""
        self.configuration_version += 1
        self.ceilings = dict(ceilings)

    def start_coordinator(
        self,
        data_centre: DataCentreId,
        *,
        keep_former: bool = False,
        former_reaches_store: bool = True,
    ) -> None:
        """Start the coordinator of a data centre in place of the one that runs there, if any.

        Args:
            data_centre: Where it runs.
            keep_former: Whether the replaced coordinator goes on beside it, with a lease that
                never expires, in place of ending.
            former_reaches_store: Whether that coordinator still reaches the store.
        """
        former = self.coordinators.get(data_centre)
        if keep_former and former is not None:
            self.coordinator_leases[data_centre].until_s = float("inf")
            self.former_coordinators.append(
                FormerCoordinator(data_centre, former, former_reaches_store)
            )
        start_id = f"{data_centre}.{next(self._starts)}"
        lease = FixedLease(self.now_s + ENTRY_LEASE_S)
        self.coordinator_leases[data_centre] = lease
        self.coordinators[data_centre] = PermitCoordinator(
            data_centre, start_id, lease, keeps_permits=self._keeps_permits
        )

    def start_entry(self, entry: EntryId, data_centre: DataCentreId, incarnation: int) -> None:
        """Start an entry's process under an incarnation."""
        lease = FixedLease(self.now_s + ENTRY_LEASE_S)
        member = Member(entry, IncarnationId(incarnation))
        permits = self.make_permits(member, lease)
        fake = FakeEntry(entry, data_centre, IncarnationId(incarnation), lease, permits)
        fake.granted_until_s = lease.until_s
        self.entries.append(fake)

    def make_permits(self, member: Member, lease: FixedLease) -> PermitPolicy:
        """Return the permit policy of a starting entry."""
        permits = EntryPermits(member, lease)
        permits.set_task_lease(TASK_LEASE_S)
        return permits

    def restart_entry(self, fake: FakeEntry) -> None:
        """Kill an entry's process and start the next incarnation; the tasks go on running."""
        fake.alive = False
        self.entries.remove(fake)
        self.former_processes.append(fake)
        self.start_entry(fake.entry, fake.data_centre, fake.incarnation + 1)

    def toggle_partition(self, data_centre: DataCentreId) -> None:
        """Start or end a data centre's network partition from the platform and the others."""
        if data_centre not in self.partitioned_since_s:
            self.partitioned_since_s[data_centre] = self.now_s
            return
        del self.partitioned_since_s[data_centre]
        for other, coordinator in self.coordinators.items():
            if other not in self.paused_coordinators:
                coordinator.on_data_centre_recovered(data_centre)

    def clear_faults(self) -> None:
        """End all faults."""
        self.store.available = True
        self.network_faults = NetworkFaults()
        self.paused_coordinators.clear()
        self.former_coordinators.clear()
        for data_centre in list(self.partitioned_since_s):
            self.toggle_partition(data_centre)
        for fake in self.entries:
            fake.paused = fake.partitioned = False

    def run(self, duration_s: float) -> None:
        """Run the simulation for some virtual time."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s - 1e-9:
            self.step()

    def step(self) -> None:
        """Run one step: leases, messages, tasks, entries and coordinators, then the checks."""
        self.now_s += self.step_s
        self._renew_leases()
        self._discard_former_processes()
        self.report_expired()
        self._events.run_due(self.now_s)
        self._end_tasks()
        for fake in self.entries:
            if fake.active:
                self._run_entry(fake)
        for data_centre, coordinator in self.coordinators.items():
            if data_centre not in self.paused_coordinators:
                self._run_coordinator(data_centre, coordinator)
        self._run_former_coordinators()
        self.check()

    def running(self, team: TeamId) -> int:
        """Return how many of the team's tasks run on backend servers."""
        return self.running_by_team()[team]

    def held_by_team(self) -> Counter[TeamId]:
        """Return the permits that confirmed entries hold, unless all task leases have expired."""
        held: Counter[TeamId] = Counter()
        for fake in self.entries:
            permits = fake.permits
            if not isinstance(permits, EntryPermits) or self._task_leases_expired(fake):
                continue
            if permits.state is MemberState.CONFIRMED:
                held.update(permits.held_by_team())
        return held

    def check(self) -> None:
        """Count tasks above a team's ceiling, and permits held beyond the total in the ledger."""
        running = self.running_by_team()
        held = self.held_by_team()
        ledger = self.store.ledger
        for team in set(running) | set(held):
            self.overruns += max(0, running[team] - ceiling_in_force(ledger, team))
            self.conservation_breaches += max(0, held[team] - total_permits(ledger, team))

    def running_by_team(self) -> Counter[TeamId]:
        """Return how many tasks of each team run on backend servers."""
        counts: Counter[TeamId] = Counter()
        for fake in [*self.entries, *self.former_processes]:
            counts.update(t.team for t in fake.tasks.values() if self._is_running(t))
        return counts

    def _is_running(self, task: Task) -> bool:
        return self.now_s < min(task.end_s, task.lease_end_s)

    def _task_leases_expired(self, fake: FakeEntry) -> bool:
        return self.now_s >= fake.granted_until_s + TASK_LEASE_S

    def _renew_leases(self) -> None:
        for data_centre, lease in self.coordinator_leases.items():
            paused = data_centre in self.paused_coordinators
            if not paused and not self._is_past_grace(data_centre):
                lease.until_s = self.now_s + ENTRY_LEASE_S
        for fake in list(self.entries):
            if fake.active and not fake.partitioned and not self._is_past_grace(fake.data_centre):
                if self._lease_expired(fake):
                    self._start_new_incarnation(fake)
                fake.lease.until_s = self.now_s + ENTRY_LEASE_S
                fake.granted_until_s = fake.lease.until_s

    def _lease_expired(self, fake: FakeEntry) -> bool:
        return self.now_s >= fake.granted_until_s + LEASE_EXPIRY_MARGIN_S

    def _start_new_incarnation(self, fake: FakeEntry) -> None:
        """Give a process with a refused lease a new incarnation; its tasks stay with the last."""
        self.former_processes.append(dataclasses.replace(fake, alive=False))
        fake.tasks = {}
        fake.incarnation = IncarnationId(fake.incarnation + 1)
        if isinstance(fake.permits, EntryPermits):
            fake.permits.restart(fake.incarnation)

    def _discard_former_processes(self) -> None:
        """Discard ended processes long after their leases expired and were reported."""
        old_s = self.now_s - 10 * TASK_LEASE_S
        self.former_processes = [
            fake for fake in self.former_processes if fake.granted_until_s > old_s
        ]

    def _is_past_grace(self, data_centre: DataCentreId) -> bool:
        since_s = self.partitioned_since_s.get(data_centre)
        return since_s is not None and self.now_s - since_s > CUT_OFF_GRACE_S

    def report_expired(self) -> None:
        """Report incarnations and data centres whose leases have expired to the coordinators."""
        for fake in [*self.former_processes, *self.entries]:
            if not self._lease_expired(fake):
                continue
            event = IncarnationExpired(
                fake.entry, fake.incarnation, fake.granted_until_s + TASK_LEASE_S
            )
            for coordinator in self._all_coordinators(fake.data_centre):
                coordinator.on_incarnation_expired(event)
        for data_centre, since_s in self.partitioned_since_s.items():
            lease_end_s = since_s + CUT_OFF_GRACE_S + ENTRY_LEASE_S
            if self.now_s < lease_end_s:
                continue
            end_s = lease_end_s + TASK_LEASE_S + 1.0
            for other, coordinator in self.coordinators.items():
                if other not in self.paused_coordinators:
                    expired = DataCentreExpired(data_centre, self.now_s, end_s)
                    coordinator.on_data_centre_expired(expired)

    def _end_tasks(self) -> None:
        for fake in [*self.entries, *self.former_processes]:
            for attempt_id, task in list(fake.tasks.items()):
                renews = fake.active and fake.lease.holds(self.now_s)
                renews = renews and fake.permits.may_renew(attempt_id, self.now_s)
                if renews and self._is_running(task):
                    task.lease_end_s = self.now_s + TASK_LEASE_S
                if not self._is_running(task) and (fake.active or not fake.alive):
                    del fake.tasks[attempt_id]
                    if fake.active:
                        fake.permits.release(attempt_id, self.now_s)

    def _run_entry(self, fake: FakeEntry) -> None:
        for team in list(self.waiting[fake.entry]):
            self._start_tasks(fake, team)
            fake.permits.set_waiting(team, self.waiting[fake.entry][team], self.now_s)
        if isinstance(fake.permits, EntryPermits):
            self._send(fake.data_centre, fake.permits.me, fake.permits.tick(self.now_s))

    def _start_tasks(self, fake: FakeEntry, team: TeamId) -> None:
        waiting = self.waiting[fake.entry]
        while waiting[team] > 0:
            attempt_id = AttemptId(f"a{next(self._attempts)}")
            if not fake.permits.acquire(team, attempt_id, self.now_s):
                return
            waiting[team] -= 1
            self.tasks_started += 1
            end_s = self.now_s + self.run_s()
            fake.tasks[attempt_id] = Task(team, end_s, self.now_s + TASK_LEASE_S)

    def can_reach_store(self, data_centre: DataCentreId) -> bool:
        """Return whether a data centre can reach the store."""
        return self.store.available and data_centre not in self.partitioned_since_s

    def _run_coordinator(self, data_centre: DataCentreId, coordinator: PermitCoordinator) -> None:
        if coordinator.state is CoordinatorState.SUPERSEDED:
            self.start_coordinator(data_centre)
            return
        self._tick_coordinator(data_centre, coordinator, self.can_reach_store(data_centre))

    def _tick_coordinator(
        self, data_centre: DataCentreId, coordinator: PermitCoordinator, reaches_store: bool
    ) -> None:
        if reaches_store:
            coordinator.set_ceilings(
                ConfigVersion(self.configuration_version), self.ceilings, TASK_LEASE_S
            )
            coordinator.on_ledger(self.store.ledger, self.store.revision, self.now_s)
        output = coordinator.tick(self.now_s)
        me = Member(COORDINATOR_ID, IncarnationId(coordinator.epoch.term))
        self._send(data_centre, me, output.envelopes)
        if output.write is not None and reaches_store:
            self._write(coordinator, output.write)

    def _write(self, coordinator: PermitCoordinator, write: WriteLedger) -> None:
        if self.random.random() < self.network_faults.write_delayed_ratio:
            self._schedule(
                self.random.uniform(0, 5),
                lambda: self.store.available and self.store.compare_and_swap(write),
            )
            return
        applied = self.store.compare_and_swap(write)
        if applied and self.random.random() >= self.network_faults.answer_lost_ratio:
            coordinator.on_ledger(self.store.ledger, self.store.revision, self.now_s)

    def _all_coordinators(self, data_centre: DataCentreId) -> list[PermitCoordinator]:
        former = [f.coordinator for f in self.former_coordinators if f.data_centre == data_centre]
        return [self.coordinators[data_centre], *former]

    def _run_former_coordinators(self) -> None:
        for former in self.former_coordinators:
            reaches_store = former.reaches_store and self.can_reach_store(former.data_centre)
            self._tick_coordinator(former.data_centre, former.coordinator, reaches_store)

    def _schedule(self, delay_s: float, action: Callable[[], object]) -> None:
        self._events.add(self.now_s + delay_s, action)

    def _send(self, data_centre: DataCentreId, sender: Member, envelopes: list[Envelope]) -> None:
        for envelope in envelopes:
            self.messages_sent += 1
            if self.count_bytes:
                self.message_bytes += len(encode(to_wire_envelope(envelope)))
            if self.random.random() < self.network_faults.lost_ratio:
                continue
            copies = 2 if self.random.random() < self.network_faults.duplicated_ratio else 1
            for _ in range(copies):
                late = self.random.random() < self.network_faults.delayed_ratio
                delay_s = self.random.uniform(0, self.network_faults.delay_max_s) if late else 0.002
                self._schedule(delay_s, self._delivery(data_centre, sender, envelope))

    def _delivery(
        self, data_centre: DataCentreId, sender: Member, envelope: Envelope
    ) -> Callable[[], None]:
        return lambda: self._deliver(data_centre, sender, envelope)

    def _deliver(self, data_centre: DataCentreId, sender: Member, envelope: Envelope) -> None:
        if self._is_partitioned(sender.entry) or self._is_partitioned(envelope.to.entry):
            return
        if envelope.to.entry == COORDINATOR_ID:
            if data_centre in self.paused_coordinators:
                self._schedule(1.0, self._delivery(data_centre, sender, envelope))
                return
            for coordinator in self._all_coordinators(data_centre):
                answers = coordinator.on_message(envelope.message, self.now_s)
                me = Member(COORDINATOR_ID, IncarnationId(coordinator.epoch.term))
                self._send(data_centre, me, answers)
            return
        if envelope.to.entry == PEERS_ID:
            for peer in list(self.entries):
                if peer.data_centre == data_centre and peer.entry != sender.entry:
                    to = Envelope(Member(peer.entry, peer.incarnation), envelope.message)
                    self._deliver(data_centre, sender, to)
            return
        fake = self._find_entry(envelope.to.entry)
        if fake is not None:
            self._deliver_to_entry(fake, sender, envelope.message)

    def _deliver_to_entry(self, fake: FakeEntry, sender: Member, message: CeilingMessage) -> None:
        if not isinstance(fake.permits, EntryPermits):
            return
        if fake.paused:
            again = Envelope(fake.permits.me, message)
            self._schedule(1.0, self._delivery(fake.data_centre, sender, again))
            return
        answers = fake.permits.on_message(message, self.now_s)
        self._send(fake.data_centre, fake.permits.me, answers)

    def _find_entry(self, entry: EntryId) -> FakeEntry | None:
        fake = self._by_id.get(entry)
        if fake is None or not fake.alive:
            self._by_id = {each.entry: each for each in self.entries}
        return self._by_id.get(entry)

    def _is_partitioned(self, entry: EntryId) -> bool:
        fake = self._find_entry(entry) if entry != COORDINATOR_ID else None
        return fake is not None and fake.partitioned
