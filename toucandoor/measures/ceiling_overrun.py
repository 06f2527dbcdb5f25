"""Tasks above a team's ceiling under each kind of fault, and how fast permits follow demand."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Final

from toucandoor.core.ceilings.coordinator_state import CoordinatorState
from toucandoor.core.ceilings.entry import EntryPermits, MemberState
from toucandoor.core.ceilings.ledger import ceiling_in_force, total_permits
from toucandoor.ids import DataCentreId, TeamId
from toucandoor.measures._ceilings import PermitSimulation
from toucandoor.measures._ceilings_baselines import StaticSplitSimulation, StoreCounterSimulation
from toucandoor.measures._ceilings_fakes import (
    CUT_OFF_GRACE_S,
    ENTRY_LEASE_S,
    TASK_LEASE_S,
    FakeEntry,
    NetworkFaults,
)
from toucandoor.measures.result import Figures, MeasureResult

_USED_RATIO_MIN: Final = 0.9
_RECOVERY_S_MAX: Final = 120.0
_IN_TRANSFER_RATIO_MAX: Final = 0.01
"""Part of all permits that may be in transfer between members in normal service."""
_LOAD_S: Final = 15.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """Size of a deployment: number of entries in each data centre and ceiling of each team."""

    name: str
    entries: tuple[int, ...]
    ceilings: tuple[int, ...]

    def data_centres(self) -> dict[DataCentreId, int]:
        """Return the number of entries by data centre."""
        return {DataCentreId(f"dc{i}"): count for i, count in enumerate(self.entries)}

    def team_ceilings(self) -> dict[TeamId, int]:
        """Return the ceilings by team."""
        return {TeamId(f"team{i}"): ceiling for i, ceiling in enumerate(self.ceilings)}


DEPLOYMENTS: Final = (
    Deployment("whistleline", (3, 2, 2), (120, 60, 24, 12, 6, 2)),
    Deployment("oberland", (2, 2, 2, 2), (160, 60, 24, 12, 6, 2)),
    Deployment("target", (10,) * 6, (400,) * 5 + (60,) * 20 + (12,) * 20 + (3,) * 20),
)


def _concentrate_permits(simulation: PermitSimulation) -> FakeEntry:
    """Move nearly all permits to one entry, the worst one to lose, and return it."""
    fake = simulation.entries[0]
    for team, ceiling in simulation.ceilings.items():
        simulation.waiting[fake.entry][team] = 10 * ceiling
    simulation.run(4)
    return fake


def _store_outage(simulation: PermitSimulation) -> None:
    simulation.store.available = False
    _run_with_random_demand(simulation, 60)


def _lost_answers(simulation: PermitSimulation) -> None:
    simulation.network_faults = NetworkFaults(answer_lost_ratio=0.5, write_delayed_ratio=0.3)
    _run_with_random_demand(simulation, 40)


def _disturbed_messages(simulation: PermitSimulation) -> None:
    simulation.network_faults = NetworkFaults(
        lost_ratio=0.2, duplicated_ratio=0.2, delayed_ratio=0.3
    )
    _run_with_random_demand(simulation, 40)


def _pause(simulation: PermitSimulation) -> None:
    _concentrate_permits(simulation).paused = True
    _run_with_random_demand(simulation, ENTRY_LEASE_S + TASK_LEASE_S + 10)


def _short_pause(simulation: PermitSimulation) -> None:
    _concentrate_permits(simulation).paused = True
    _run_with_random_demand(simulation, ENTRY_LEASE_S / 2)


def _kill(simulation: PermitSimulation) -> None:
    simulation.restart_entry(_concentrate_permits(simulation))
    _run_with_random_demand(simulation, 10)


def _entry_partition(simulation: PermitSimulation) -> None:
    _concentrate_permits(simulation).partitioned = True
    _run_with_random_demand(simulation, ENTRY_LEASE_S + TASK_LEASE_S + 10)


def _data_centre_partition(simulation: PermitSimulation) -> None:
    simulation.toggle_partition(simulation.data_centres[-1])
    _run_with_random_demand(simulation, CUT_OFF_GRACE_S + ENTRY_LEASE_S + TASK_LEASE_S + 10)


def _lowered_and_raised(simulation: PermitSimulation) -> None:
    ceilings = simulation.ceilings
    simulation.set_ceilings({team: ceiling // 3 for team, ceiling in ceilings.items()})
    _run_with_random_demand(simulation, 30)
    simulation.set_ceilings(ceilings)
    _run_with_random_demand(simulation, 10)


def _coordinator_killed(simulation: PermitSimulation) -> None:
    simulation.start_coordinator(simulation.data_centres[0])
    _run_with_random_demand(simulation, 10)


def _two_coordinators(simulation: PermitSimulation) -> None:
    simulation.start_coordinator(simulation.data_centres[0], keep_former=True)
    _run_with_random_demand(simulation, 20)


def _outage_and_kill(simulation: PermitSimulation) -> None:
    simulation.store.available = False
    simulation.restart_entry(_concentrate_permits(simulation))
    _run_with_random_demand(simulation, 40)


def _partition_and_lowered(simulation: PermitSimulation) -> None:
    simulation.toggle_partition(simulation.data_centres[0])
    _lowered_and_raised(simulation)


FAULTS: Final[dict[str, Callable[[PermitSimulation], None]]] = {
    "store_outage": _store_outage,
    "lost_answers": _lost_answers,
    "disturbed_messages": _disturbed_messages,
    "short_pause": _short_pause,
    "pause": _pause,
    "kill": _kill,
    "cut_entry": _entry_partition,
    "cut_data_centre": _data_centre_partition,
    "lowered_and_raised": _lowered_and_raised,
    "coordinator_killed": _coordinator_killed,
    "two_coordinators": _two_coordinators,
    "outage_and_kill": _outage_and_kill,
    "cut_and_lowered": _partition_and_lowered,
}


_LARGE_FLEET_FAULTS: Final = (
    "pause",
    "kill",
    "lowered_and_raised",
    "two_coordinators",
    "outage_and_kill",
)


def _unusable_permits(simulation: PermitSimulation) -> int:
    """Return how many permits no entry or coordinator can use now, of all teams together."""
    ledger = simulation.store.ledger
    count = 0
    for team, ceiling in simulation.ceilings.items():
        count += ceiling_in_force(ledger, team)
        if any(simulation.can_reach_store(data_centre) for data_centre in simulation.data_centres):
            count -= max(0, ceiling - total_permits(ledger, team))
        for data_centre, coordinator in simulation.coordinators.items():
            is_paused = data_centre in simulation.paused_coordinators
            if not is_paused and coordinator.state is CoordinatorState.ACTIVE:
                count -= coordinator.unassigned(team)
    return count - sum(_usable_permits(simulation, fake) for fake in simulation.entries)


def _usable_permits(simulation: PermitSimulation, fake: FakeEntry) -> int:
    permits = fake.permits
    if not isinstance(permits, EntryPermits) or permits.state is not MemberState.CONFIRMED:
        return 0
    may_spend = fake.active and fake.lease.holds(simulation.now_s)
    return sum(permits.held_by_team().values()) if may_spend else 0


def _run_with_random_demand(simulation: PermitSimulation, duration_s: float) -> None:
    """Run with random demand by entry and team, up to the team's ceiling at each entry.

    Over all entries the demand can exceed the ceiling. Adds the permits that nobody can use to
    `stranded_permit_s`, once a second.
    """
    teams = list(simulation.ceilings)
    for _ in range(int(duration_s)):
        for team in simulation.random.sample(teams, k=max(2, len(teams) // 5)):
            entry = simulation.random.choice(simulation.entries)
            waiting = max(2, simulation.ceilings[team])
            simulation.waiting[entry.entry][team] = simulation.random.randint(0, waiting)
        simulation.run(1)
        simulation.stranded_permit_s += _unusable_permits(simulation)


def _clear_demand(simulation: PermitSimulation) -> None:
    for waiting in simulation.waiting.values():
        for team in waiting:
            waiting[team] = 0


def _run_faults(simulation: PermitSimulation, figures: Figures, *, details: bool) -> None:
    random = Random(simulation.random.random())
    simulation.run_s = lambda: random.choice((0.3, 0.5, 1.0, 2.0, 20.0))
    _run_with_random_demand(simulation, _LOAD_S)
    for name in _fault_names(simulation):
        simulation.stranded_permit_s = 0.0
        FAULTS[name](simulation)
        simulation.clear_faults()
        recovery_s = _measure_recovery_s(simulation)
        if details:
            figures[f"{name}_stranded_permit_s"] = round(simulation.stranded_permit_s)
            figures[f"{name}_recovery_s"] = recovery_s
    figures["overrun"] = simulation.overruns
    figures["permits_made"] = simulation.conservation_breaches
    figures["requests_started"] = simulation.tasks_started


def _fault_names(simulation: PermitSimulation) -> tuple[str, ...]:
    return tuple(FAULTS) if simulation.entries_total < 20 else _LARGE_FLEET_FAULTS


def _measure_recovery_s(simulation: PermitSimulation) -> float | None:
    """Return the seconds until nearly all permits are usable, None beyond `_RECOVERY_S_MAX`."""
    in_transfer_max = _IN_TRANSFER_RATIO_MAX * sum(simulation.ceilings.values())
    for seconds in range(int(_RECOVERY_S_MAX)):
        if _unusable_permits(simulation) <= in_transfer_max:
            return float(seconds)
        _run_with_random_demand(simulation, 1)
    return None


def _measure_demand_move(simulation: PermitSimulation, figures: Figures) -> None:
    """Measure how fast permits follow when all demand moves to an entry of another data centre."""
    simulation.run_s = lambda: 0.5
    simulation.run(2)
    _set_demand(simulation, 0)
    simulation.run(10)
    _clear_demand(simulation)
    simulation.run(2)
    simulation.run_s = lambda: 10_000.0
    _set_demand(simulation, -1)
    ceilings = sum(simulation.ceilings.values())
    started_s = simulation.now_s
    follow_s: float | None = None
    while simulation.now_s - started_s < 30:
        simulation.step()
        used = sum(simulation.running_by_team().values())
        if follow_s is None and used >= _USED_RATIO_MIN * ceilings:
            follow_s = round(simulation.now_s - started_s, 2)
    figures["one_entry_used_ratio"] = round(used / ceilings, 3)
    figures["follow_demand_s"] = follow_s


def _set_demand(simulation: PermitSimulation, index: int) -> None:
    for team, ceiling in simulation.ceilings.items():
        simulation.waiting[simulation.entries[index].entry][team] = 100 * ceiling


def _measure_traffic(simulation: PermitSimulation, figures: Figures) -> None:
    """Measure store writes and messages while demand moves between entries without faults."""
    random = Random(simulation.random.random())
    simulation.run_s = lambda: random.uniform(0.2, 2.0)
    _run_with_random_demand(simulation, _LOAD_S)
    writes, messages, started_s = (
        simulation.store.writes,
        simulation.messages_sent,
        simulation.now_s,
    )
    simulation.message_bytes, simulation.stranded_permit_s = 0, 0.0
    _run_with_random_demand(simulation, 60)
    minutes = (simulation.now_s - started_s) / 60
    figures["store_writes_per_minute"] = round((simulation.store.writes - writes) / minutes, 1)
    figures["messages_per_entry_per_s"] = round(
        (simulation.messages_sent - messages) / minutes / 60 / len(simulation.entries), 1
    )
    figures["message_bytes_per_entry_per_s"] = round(
        simulation.message_bytes / minutes / 60 / len(simulation.entries)
    )
    figures["under_way_ratio"] = round(
        simulation.stranded_permit_s / 60 / sum(simulation.ceilings.values()), 4
    )
    figures["ledger_bytes"] = simulation.store.bytes_max


def _measure(simulation_type: type[PermitSimulation], deployment: Deployment, seed: int) -> Figures:
    figures: Figures = {}
    is_product = simulation_type is PermitSimulation
    step_s = 0.1 if len(deployment.ceilings) < 10 else 0.25

    def make() -> PermitSimulation:
        ceilings = deployment.team_ceilings()
        return simulation_type(deployment.data_centres(), ceilings, seed, step_s)

    _run_faults(make(), figures, details=is_product)
    _measure_demand_move(make(), figures)
    if is_product:
        simulation = make()
        simulation.count_bytes = True
        _measure_traffic(simulation, figures)
    return figures


def _with_prefix(prefix: str, figures: Figures) -> Figures:
    return {f"{prefix}_{name}": value for name, value in figures.items()}


def _within_bounds(figures: Figures) -> bool:
    for name, value in figures.items():
        if name.endswith(("_overrun", "_permits_made")) and value != 0:
            return False
        if name.endswith("_used_ratio") and float(value or 0) < _USED_RATIO_MIN:
            return False
        if value is None:
            return False
    return True


def run(seed: int) -> MeasureResult:
    """Run the same faults and demand at each deployment's size, for product and baselines."""
    logging.disable(logging.WARNING)
    product: Figures = {}
    baseline: Figures = {}
    for deployment in DEPLOYMENTS:
        name = deployment.name
        product |= _with_prefix(name, _measure(PermitSimulation, deployment, seed))
        baseline |= _with_prefix(
            f"{name}_static", _measure(StaticSplitSimulation, deployment, seed)
        )
        baseline |= _with_prefix(
            f"{name}_counter", _measure(StoreCounterSimulation, deployment, seed)
        )
    parameters: Figures = {"faults_tried": 2 * len(FAULTS) + len(_LARGE_FLEET_FAULTS)}
    for deployment in DEPLOYMENTS:
        parameters[f"{deployment.name}_entries"] = sum(deployment.entries)
        parameters[f"{deployment.name}_teams"] = len(deployment.ceilings)
    bound: Figures = {"overrun": 0, "permits_made": 0, "one_entry_used_ratio": _USED_RATIO_MIN}
    counter_overruns = [v for name, v in baseline.items() if name.endswith("counter_overrun")]
    faults_had_effect = all(isinstance(v, int) and v > 0 for v in counter_overruns)
    return MeasureResult(
        measure="ceiling_overrun",
        seed=seed,
        parameters=parameters,
        product=product,
        baseline=baseline,
        bound=bound,
        holds=faults_had_effect and _within_bounds(product),
    )
