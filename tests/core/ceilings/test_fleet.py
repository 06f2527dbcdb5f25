"""State machine of a whole fleet of permit holders under any mixture of faults."""

from __future__ import annotations

import json
import unittest
from pathlib import Path

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from toucandoor.ids import DataCentreId, TeamId
from toucandoor.measures._ceilings import PermitSimulation
from toucandoor.measures._ceilings_fakes import CUT_OFF_GRACE_S, FakeEntry, NetworkFaults

NORTH, SOUTH, WEST = DataCentreId("north"), DataCentreId("south"), DataCentreId("west")
TEAMS = (TeamId("red"), TeamId("blue"))
ENTRIES = st.integers(0, 5)
DATA_CENTRES = st.sampled_from([NORTH, SOUTH, WEST])
RATIOS = st.sampled_from([0.0, 0.1, 0.5])


class FleetMachine(RuleBasedStateMachine):
    """Injects faults in any order; at the end no step may have run a team above its ceiling."""

    @initialize(seed=st.integers(0, 1000), keeps_permits=st.booleans())
    def start(self, seed: int, keeps_permits: bool = False) -> None:
        ceilings = {TEAMS[0]: 40, TEAMS[1]: 3}
        self.simulation = PermitSimulation(
            {NORTH: 2, SOUTH: 2, WEST: 2},
            ceilings,
            seed,
            step_s=0.25,
            keeps_permits=keeps_permits,
        )
        self.simulation.run_s = lambda: self.simulation.random.choice([0.3, 2.0, 200.0])
        for index in (0, 2, 4):
            self.demand(index, TEAMS[0], 500)
            self.demand(index + 1, TEAMS[1], 500)
        self.simulation.run(2)

    def entry(self, index: int) -> FakeEntry:
        return self.simulation.entries[index]

    @rule(seconds=st.sampled_from([0.25, 1, 5, 20, 60]))
    def advance(self, seconds: float) -> None:
        self.simulation.run(seconds)

    @rule(index=ENTRIES, team=st.sampled_from(TEAMS), waiting=st.sampled_from([0, 500]))
    def demand(self, index: int, team: TeamId, waiting: int) -> None:
        self.simulation.waiting[self.entry(index).entry][team] = waiting
        self.simulation.run(0.5)

    @rule(index=ENTRIES)
    def pause_or_resume(self, index: int) -> None:
        self.entry(index).paused = not self.entry(index).paused

    @rule(index=ENTRIES)
    def pause_longer_than_the_leases(self, index: int) -> None:
        self.entry(index).paused = True
        self.simulation.run(45)
        self.simulation.entries[index].paused = False
        self.simulation.run(1)

    @rule(index=ENTRIES)
    def kill(self, index: int) -> None:
        self.simulation.restart_entry(self.entry(index))

    @rule(index=ENTRIES)
    def cut_entry(self, index: int) -> None:
        self.entry(index).partitioned = not self.entry(index).partitioned

    @rule(data_centre=DATA_CENTRES, kill=st.booleans())
    def coordinator_fails(self, data_centre: DataCentreId, kill: bool) -> None:
        if kill:
            self.simulation.start_coordinator(data_centre)
            return
        self.simulation.paused_coordinators ^= {data_centre}

    @rule(data_centre=DATA_CENTRES, sees_store=st.booleans())
    def second_coordinator(self, data_centre: DataCentreId, sees_store: bool) -> None:
        self.simulation.start_coordinator(
            data_centre, keep_former=True, former_reaches_store=sees_store
        )

    @rule(data_centre=DATA_CENTRES)
    def cut_or_heal_data_centre(self, data_centre: DataCentreId) -> None:
        self.simulation.toggle_partition(data_centre)

    @precondition(lambda self: self.simulation.partitioned_since_s)
    @rule()
    def outlast_the_grace_time(self) -> None:
        self.simulation.run(CUT_OFF_GRACE_S + 45)

    @rule()
    def store_outage(self) -> None:
        self.simulation.store.available = not self.simulation.store.available

    @rule(
        index=ENTRIES,
        fails=st.sampled_from(["none", "borrower", "lender"]),
        kill=st.booleans(),
        fault_s=st.sampled_from([2, 8, 45]),
        store_returns=st.booleans(),
    )
    def restart_without_the_store(
        self, index: int, fails: str, kill: bool, fault_s: float, store_returns: bool
    ) -> None:
        """Restart an entry during an outage; then pause or kill the borrower or its lender."""
        simulation, fake = self.simulation, self.entry(index)
        others = [e for e in simulation.entries if e.data_centre == fake.data_centre]
        lender = next(e for e in others if e.entry != fake.entry)
        simulation.waiting[lender.entry][TEAMS[0]] = 500
        simulation.run(3)
        simulation.store.available = False
        simulation.restart_entry(fake)
        simulation.waiting[lender.entry][TEAMS[0]] = 0
        simulation.waiting[fake.entry][TEAMS[0]] = 500
        simulation.run(8)
        borrower = next(e for e in simulation.entries if e.entry == fake.entry)
        failing = {"borrower": borrower, "lender": lender}.get(fails)
        if failing is not None and kill:
            simulation.restart_entry(failing)
        elif failing is not None:
            failing.paused = True
        simulation.waiting[lender.entry][TEAMS[0]] = 500
        simulation.run(fault_s)
        simulation.store.available = store_returns
        lender.paused = borrower.paused = False
        simulation.run(45 if store_returns else 1)

    @rule(lost=RATIOS, doubled=RATIOS, late=RATIOS, answers=RATIOS, writes=RATIOS)
    def disturb(
        self, lost: float, doubled: float, late: float, answers: float, writes: float
    ) -> None:
        self.simulation.network_faults = NetworkFaults(lost, doubled, late, 3.0, answers, writes)

    @rule(red=st.sampled_from([0, 5, 40, 80]), blue=st.sampled_from([1, 3]))
    def change_ceilings(self, red: int, blue: int) -> None:
        self.simulation.set_ceilings({TEAMS[0]: red, TEAMS[1]: blue})

    def teardown(self) -> None:
        if not hasattr(self, "simulation"):
            return
        assert self.simulation.overruns == 0
        assert self.simulation.conservation_breaches == 0
        self.check_recovery()

    def check_recovery(self) -> None:
        """Check that one entry can use the whole ceiling again once all faults have ended."""
        simulation = self.simulation
        simulation.clear_faults()
        for waiting in simulation.waiting.values():
            waiting.subtract(waiting.copy())
        simulation.set_ceilings({TEAMS[0]: 40, TEAMS[1]: 3})
        simulation.run(250)
        simulation.run_s = lambda: 500.0
        simulation.waiting[simulation.entries[0].entry].update({TEAMS[0]: 100, TEAMS[1]: 100})
        simulation.run(20)
        assert simulation.overruns == 0
        assert simulation.running(TEAMS[0]) == 40, simulation.running(TEAMS[0])
        assert simulation.running(TEAMS[1]) == 3, simulation.running(TEAMS[1])


FleetMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=24,
    phases=[Phase.explicit, Phase.generate],
    stateful_step_count=15,
    suppress_health_check=list(HealthCheck),
)


class FleetTest(FleetMachine.TestCase, unittest.TestCase):
    pass


class FoundSessionsTest(unittest.TestCase):
    """Replays sessions of the machine that failed in longer searches."""

    def test_found_sessions(self) -> None:
        sessions = json.loads((Path(__file__).parent / "found_sessions.json").read_text())
        for number, steps in enumerate(sessions):
            with self.subTest(session=number):
                machine = FleetMachine()
                for name, arguments in steps:
                    getattr(machine, name)(**arguments)
                machine.teardown()
