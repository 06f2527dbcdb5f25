"""A random series of faults around starts that are carried out late, lost or never sent."""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from tests.core.scheduling.common import CAPACITY, NEEDS, POOL, configuration, job
from toucandoor.core.jobs.models import JobState, Step, TaskKey
from toucandoor.core.scheduling import const
from toucandoor.fakes.virtual_calls import CallOutcome
from toucandoor.fakes.virtual_fleet import LEASE_S, VirtualFleet
from toucandoor.fakes.virtual_platform import TaskBehaviour
from toucandoor.fakes.virtual_waves import VirtualWaves
from toucandoor.ids import VmId, WorkerId

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.core.jobs.models import JobSpec
    from toucandoor.fakes.virtual_platform import VirtualWorker

VMS = 6
RACKS = 3
LASTING = 4
"""Long-running tasks; with the others they need less than half of the capacity."""
FAULTS = 40
RUN_WITHIN_S = 3.0
"""Longest time for which a task that can run may have no run, by the platform's rules."""
SETTLED_S = LEASE_S * (1 + const.WORKER_CLOCK_DRIFT_RATIO) + const.LEASE_EXPIRY_MARGIN_S
"""Time after which the leases of runs on servers that are gone have expired, also those that a
new owner waits for."""
SAMPLE_S = 0.1
ENDS_WITHIN_S = 45.0
"""Time from the begin of the calm time until all finite jobs have ended."""


@dataclass(frozen=True, slots=True)
class Conditions:
    """What may happen in a series.

    Attributes:
        late_s: Shortest and longest delay of a late call.
        survives: Whether a late order for a server reaches a later boot under its id.
        in_place: Whether servers start again under their ids.
        replaced: Whether VMs get servers with other ids.
        strangers: Whether a server of another service may get the address of one that has ended.
        old_ids: Whether a server may come back under the id of one that another has replaced.
        owners: Whether the owner of the schedule changes.
    """

    late_s: tuple[float, float] = (2.0, 12.0)
    survives: bool = False
    in_place: bool = True
    replaced: bool = True
    strangers: bool = True
    old_ids: bool = False
    owners: bool = True


class LateStartSeries:
    """Plays one seed.

    The faults and their times are drawn before, and what becomes of a call depends on nothing but
    the seed, its kind and its time, so that builds can be compared seed by seed.

    Args:
        seed: Seed of all random choices.
        conditions: What may happen.

    Attributes:
        log: The faults, with their times.
        failures: What was wrong.
        longest_gap_s: Longest time without a run of a long-running task.
    """

    def __init__(self, seed: int, conditions: Conditions) -> None:
        self._seed = seed
        self._conditions = conditions
        self._random = random.Random(f"faults {seed}")
        self._trouble: dict[str, float] = {}
        self._specs: dict[str, JobSpec] = {}
        self._boots = VMS
        self._ids: dict[VmId, list[str]] = {}
        self._strangers: set[WorkerId] = set()
        self.log: list[str] = []
        self.failures: list[str] = []
        self.longest_gap_s = 0.0
        self._without_s: dict[TaskKey, float] = {}
        self._fleet = VirtualFleet(configuration(attempts_max=1000), self._behave)
        self._fleet.observations.copies_allowed = self._copies_allowed
        calls = self._fleet.calls
        calls.choose_outcome = self._choose_outcome
        calls.choose_delay_s = lambda: self._draw("late").uniform(*conditions.late_s)
        calls.choose_send_delay_s = self._choose_send_delay_s
        calls.choose_answer_delay_s = self._choose_answer_delay_s
        calls.late_orders_survive_restarts = conditions.survives
        calls.address_taken = self._strangers
        calls.refuses_connections = self._random.random() < 0.5
        self._fleet.ends_per_report_max = self._random.choice([1, 500])
        for number in range(VMS):
            self._boot(VmId(f"m{number}"), f"w{number}", 0.0)
        self._fleet.take_over()
        self._waves = VirtualWaves(self._fleet)
        self._waves.choose_list_delay_s = lambda: self._draw("list").choice([0.01, 0.01, 0.3, 2.0])
        lasting = job(1, Step(LASTING, NEEDS, long_running=True, per_worker_max=seed % 3))
        self._lasting = [TaskKey(lasting.job_id, 0, 0, number) for number in range(LASTING)]
        self._submit(lasting)

    def _draw(self, what: str) -> random.Random:
        """Return random numbers that depend on the time, and not on what was drawn before."""
        now_s = self._fleet.clock.monotonic_s()
        return random.Random(f"{self._seed} {what} {now_s:.3f}")

    def play(self) -> None:
        """Inject faults, and check the time after them."""
        self._run(2.0)
        for _ in range(FAULTS):
            inject = self._random.choice(self._injections())
            fault = random.Random(self._random.random())
            now_s = self._fleet.clock.monotonic_s()
            self.log.append(f"{now_s:.2f} {inject.__name__} {inject(fault)}")
            self._run(self._random.choice([0.05, 0.3, 1.0, 2.0]))
        self._trouble.clear()
        self._strangers.clear()
        for worker in self._fleet.workers.values():
            worker.reachable = True
        self._run(self._conditions.late_s[1])
        self.log.append(f"{self._fleet.clock.monotonic_s():.2f} calm")
        self._run(SETTLED_S)
        self._without_s.clear()
        self.longest_gap_s = 0.0
        self._run(ENDS_WITHIN_S - SETTLED_S)
        if self.longest_gap_s > RUN_WITHIN_S:
            self.failures.append(f"a long-running task had no run for {self.longest_gap_s:.2f} s")
        for job_id, spec in self._specs.items():
            # One whose servers crash again and again is given up, as if it crashed them.
            state = self._fleet.state(spec.job_id)
            if state is not JobState.RUNNING if spec.steps[0].long_running else not state.final:
                self.failures.append(f"{job_id} is {state.value}")
        self.failures += self._fleet.observations.violations

    def _injections(self) -> list[Callable[[random.Random], str]]:
        conditions = self._conditions
        return [
            *[self._crash] * 4,
            *[self._cut_or_heal] * 3,
            *[self._lose_calls] * 4,
            self._stop_store,
            self._order_wave,
            *[self._submit_finite] * 3,
            *[self._change_owner] * (2 * conditions.owners),
        ]

    def _run(self, for_s: float) -> None:
        """Run on, and measure how long the long-running tasks have no run."""
        fleet = self._fleet
        until_s = fleet.clock.monotonic_s() + for_s
        while fleet.clock.monotonic_s() < until_s - 1e-9:
            step_s = min(SAMPLE_S, until_s - fleet.clock.monotonic_s())
            fleet.run(step_s)
            for boot in fleet.observations.boots:
                boot.update()
            for task in self._lasting:
                runs = fleet.observations.running.get(task)
                self._without_s[task] = 0.0 if runs else self._without_s.get(task, 0.0) + step_s
                self.longest_gap_s = max(self.longest_gap_s, self._without_s[task])

    # Tasks and calls

    def _behave(self, task: TaskKey, worker: WorkerId) -> TaskBehaviour:
        if self._specs[task.job_id].steps[task.step].long_running:
            return TaskBehaviour(NEEDS, float("inf"))
        drawn = random.Random(f"{self._seed} {task} {worker}")
        return TaskBehaviour(NEEDS, drawn.choice([0.3, 1.0, 4.0, 9.0]))

    def _copies_allowed(self, task: TaskKey) -> bool:
        return self._specs[task.job_id].steps[task.step].copies_allowed

    def _choose_outcome(self, kind: str) -> CallOutcome:
        drawn = self._draw(kind)
        if drawn.random() >= self._trouble.get(kind, 0.0):
            return CallOutcome.ANSWERED
        outcomes = [CallOutcome.ANSWER_LOST, CallOutcome.LATE, CallOutcome.NOT_SENT]
        return drawn.choice(outcomes)

    def _choose_send_delay_s(self) -> float:
        drawn = self._draw("send")
        waits = drawn.random() < self._trouble.get("send", 0)
        return drawn.choice([0.01, 0.3, 0.9]) if waits else 0.0

    def _choose_answer_delay_s(self) -> float:
        drawn = self._draw("answer")
        late = drawn.random() < self._trouble.get("answer", 0)
        return drawn.choice([0.06, 0.3, 0.8]) if late else 0.0

    # Faults

    def _boot(self, vm_id: VmId, worker_id: str, listed_after_s: float) -> None:
        number = int(vm_id.removeprefix("m"))
        if worker_id not in self._ids.setdefault(vm_id, []):
            self._ids[vm_id].append(worker_id)
        self._strangers.discard(WorkerId(worker_id))
        self._fleet.boot(
            worker_id,
            POOL,
            CAPACITY,
            labels=("a", f"r{number % RACKS}"),
            vm_id=vm_id,
            clock_rate=0.98 if number % 2 else 1.0,
            listed_after_s=listed_after_s,
        )

    def _server(self, drawn: random.Random) -> VirtualWorker | None:
        """Return the running server of a VM."""
        return self._waves.worker(VmId(f"m{drawn.randrange(VMS)}"))

    def _crash(self, drawn: random.Random) -> str:
        """End a server, and start it again under its id or another one."""
        worker = self._server(drawn)
        away_s = drawn.choice([0.0, 0.4, 1.0, 2.0, 6.0])
        listed_after_s = drawn.choice([0.0, 0.3, 2.0])
        same, stranger, old = drawn.random() < 0.5, drawn.random() < 0.3, drawn.random()
        if worker is None:
            return ""
        conditions = self._conditions
        worker_id, vm_id = worker.entry.worker_id, worker.entry.vm_id
        assert vm_id is not None
        self._fleet.crash(worker_id)
        self._boots += 1
        later_id = f"w{self._boots}"
        if conditions.in_place and (same or not conditions.replaced):
            later_id = str(worker_id)
        elif conditions.old_ids and old < 0.7:
            later_id = self._ids[vm_id][int(old * 10) % len(self._ids[vm_id])]
        if conditions.strangers and stranger and away_s:
            self._strangers.add(worker_id)
        self._fleet.schedule(away_s, partial(self._restart, vm_id, later_id, listed_after_s))
        return f"{worker_id} on {vm_id}, after {away_s} s {later_id}, listed {listed_after_s}"

    def _restart(self, vm_id: VmId, worker_id: str, listed_after_s: float) -> None:
        if self._waves.is_off(vm_id):
            self._boot(vm_id, worker_id, listed_after_s)

    def _cut_or_heal(self, drawn: random.Random) -> str:
        worker = self._server(drawn)
        if worker is None:
            return ""
        worker.reachable = not worker.reachable
        return f"{worker.entry.worker_id} {worker.reachable}"

    def _change_owner(self, drawn: random.Random) -> str:
        owner = self._fleet.owner
        assert owner is not None
        how = drawn.choice(["planned", "dies", "paused"])
        pause_s, after_s = drawn.choice([0.5, 3.0]), drawn.choice([0.1, 2.0])
        if how == "planned":
            self._fleet.take_over(planned=True)
            return how
        owner.alive = how != "dies"
        owner.paused_until_s = self._fleet.clock.monotonic_s() + pause_s
        self._run(after_s)
        self._fleet.take_over()
        return f"{how} {pause_s} {after_s}"

    def _lose_calls(self, drawn: random.Random) -> str:
        kind = drawn.choice(["start", "start", "stop", "hold", "write", "send", "answer"])
        self._trouble[kind] = drawn.choice([0, 0.3, 0.3, 1])
        return f"{kind} {self._trouble[kind]}"

    def _stop_store(self, drawn: random.Random) -> str:
        for_s = drawn.choice([0.5, 2.0, 4.0])
        self._fleet.make_store_unavailable(for_s)
        return str(for_s)

    def _order_wave(self, drawn: random.Random) -> str:
        first, count = drawn.randrange(VMS), drawn.randint(1, 3)
        vms = [VmId(f"m{(first + each) % VMS}") for each in range(count)]
        self._waves.order(vms, within_s=30.0, down_max=1)
        return str(vms)

    def _submit_finite(self, drawn: random.Random) -> str:
        step = Step(
            drawn.randint(1, 3),
            NEEDS,
            estimate_ms=300,
            copies_allowed=drawn.random() < 0.2,
        )
        spec = job(len(self._specs) + 1, step)
        self._submit(spec)
        return f"{spec.job_id} {step.count} {step.copies_allowed}"

    def _submit(self, spec: JobSpec) -> None:
        self._specs[spec.job_id] = spec
        self._fleet.submit(spec)
