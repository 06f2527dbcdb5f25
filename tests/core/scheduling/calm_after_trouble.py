"""A random series of faults on a small fleet, and the calm time after it."""

from __future__ import annotations

import random
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from tests.core.scheduling.common import CAPACITY, NEEDS, POOL, configuration, job
from toucandoor.core.jobs.models import JobState, Step, TaskKey
from toucandoor.core.scheduling import const
from toucandoor.core.scheduling.workers import EndReason
from toucandoor.fakes.virtual_calls import CallOutcome
from toucandoor.fakes.virtual_fleet import LEASE_S, VirtualFleet
from toucandoor.fakes.virtual_platform import TaskBehaviour
from toucandoor.fakes.virtual_waves import VirtualWaves
from toucandoor.ids import VmId, WorkerId

if TYPE_CHECKING:
    from toucandoor.core.jobs.models import JobSpec
    from toucandoor.fakes.virtual_platform import VirtualWorker

SERVERS = 8
RACKS = 4
LASTING = 6
"""Long-running tasks; with the others they need less than half of the capacity."""
FAULTS = 30
LATE_S_MAX = 5.0
"""Longest delay of a late call."""
RUN_WITHIN_S = 3.0
"""Longest time for which a task that can run may have no run, by the platform's rules."""
SETTLED_S = LEASE_S * (1 + const.WORKER_CLOCK_DRIFT_RATIO) + const.LEASE_EXPIRY_MARGIN_S
"""Time after which the leases of runs on servers that are gone have expired, also those that a
new owner waits for."""
SAMPLE_S = 0.1


class CalmAfterTrouble:
    """Plays one seed.

    Args:
        seed: Seed of all random choices.

    Attributes:
        faults: The faults, with their times.
        failures: What was wrong in the calm time.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._specs: dict[str, JobSpec] = {}
        self._trouble: dict[str, float] = {}
        self._boots = SERVERS
        self._failing = False
        self.faults: list[str] = []
        self.failures: list[str] = []
        self._fleet = VirtualFleet(configuration(attempts_max=1000), self._behave)
        self._fleet.calls.choose_outcome = self._choose_outcome
        self._fleet.calls.choose_delay_s = lambda: self._random.uniform(1.0, LATE_S_MAX)
        self._fleet.ends_per_report_max = self._random.choice([1, 500])
        for number in range(SERVERS):
            self._boot(f"w{number}", number)
        self._fleet.take_over()
        self._waves = VirtualWaves(self._fleet)
        apart = self._random.choice([0, 1, 2])
        lasting = job(1, Step(LASTING, NEEDS, long_running=True, per_worker_max=apart))
        self._lasting = [TaskKey(lasting.job_id, 0, 0, number) for number in range(LASTING)]
        self._submit(lasting)
        self._fleet.run(2.0)

    def play(self) -> None:
        """Inject faults, and check the time after them."""
        injections = [
            self._crash,
            self._crash,
            self._cut_or_heal,
            self._drain,
            self._change_owner,
            self._lose_calls,
            self._lose_calls,
            self._stop_store,
            self._order_wave,
            self._submit_finite,
            self._submit_finite,
            self._fail_runs,
        ]
        for _ in range(FAULTS):
            inject = self._random.choice(injections)
            now_s = self._fleet.clock.monotonic_s()
            self.faults.append(f"{now_s:.2f} {inject.__name__} {inject()}")
            self._fleet.run(self._random.choice([0.05, 0.3, 1.0, 2.0]))
        self._trouble.clear()
        self._failing = False
        for worker in self._fleet.workers.values():
            worker.reachable = True
        self._fleet.run(LATE_S_MAX)
        self.faults.append(f"{self._fleet.clock.monotonic_s():.2f} calm")
        self._check_calm_time()

    def _check_calm_time(self) -> None:
        fleet = self._fleet
        since_s = fleet.clock.monotonic_s()
        waiting_since_s: dict[TaskKey, float] = {}
        idle_since_s: dict[TaskKey, float] = {}
        while fleet.clock.monotonic_s() < since_s + SETTLED_S + 30.0:
            fleet.run(SAMPLE_S)
            now_s = fleet.clock.monotonic_s()
            for boot in fleet.observations.boots:
                boot.update()
            (step,) = fleet.scheduler.jobs[self._lasting[0].job_id].steps.values()
            for key, task in zip(self._lasting, step.tasks, strict=True):
                if not task.waiting:
                    waiting_since_s.pop(key, None)
                elif now_s - waiting_since_s.setdefault(key, now_s) > RUN_WITHIN_S:
                    self.failures.append(f"{now_s:.2f} {key.number} waits and is not planned")
                    return
                running = len(fleet.observations.running.get(key, ()))
                if running == 1 or now_s < since_s + SETTLED_S:
                    idle_since_s.pop(key, None)
                elif now_s - idle_since_s.setdefault(key, now_s) > RUN_WITHIN_S:
                    self.failures.append(f"{now_s:.2f} {key.number} has {running} runs")
                    return
        for job_id, spec in self._specs.items():
            expected = JobState.RUNNING if spec.steps[0].long_running else JobState.COMPLETED
            if fleet.state(spec.job_id) is not expected:
                self.failures.append(f"{job_id} is {fleet.state(spec.job_id).value}")
        self.failures += fleet.observations.violations

    def _behave(self, task: TaskKey, _worker: WorkerId) -> TaskBehaviour:
        lasting = self._specs[task.job_id].steps[task.step].long_running
        if self._failing and self._random.random() < 0.5:
            return TaskBehaviour(NEEDS, self._random.choice([0.0, 0.2, 1.0]), EndReason.FAILED)
        return TaskBehaviour(NEEDS, float("inf") if lasting else self._random.choice([0.3, 1, 4]))

    def _choose_outcome(self, kind: str) -> CallOutcome:
        if self._random.random() >= self._trouble.get(kind, 0.0):
            return CallOutcome.ANSWERED
        return self._random.choice(
            [CallOutcome.ANSWER_LOST, CallOutcome.LATE, CallOutcome.NOT_SENT]
        )

    # Faults

    def _boot(self, worker_id: str, number: int, listed_after_s: float = 0.0) -> None:
        self._fleet.boot(
            worker_id,
            POOL,
            CAPACITY,
            labels=("a", f"r{number % RACKS}"),
            vm_id=f"m{number}",
            listed_after_s=listed_after_s,
        )

    def _draw_server(self) -> VirtualWorker | None:
        alive = [each for each in self._fleet.workers.values() if each.alive]
        return self._random.choice(alive) if alive else None

    def _crash(self) -> str:
        worker = self._draw_server()
        if worker is None:
            return ""
        return self._end(worker, self._random.choice([0.0, 0.4, 2.0, 6.0]))

    def _end(self, worker: VirtualWorker, away_s: float) -> str:
        """End a server, and start it again under its id or another one."""
        vm_id = worker.entry.vm_id
        assert vm_id is not None
        self._fleet.crash(worker.entry.worker_id)
        self._boots += 1
        same = self._random.random() < 0.5
        later_id = worker.entry.worker_id if same else f"w{self._boots}"
        listed_after_s = self._random.choice([0.0, 0.3, 2.0])
        self._fleet.schedule(away_s, partial(self._restart, vm_id, later_id, listed_after_s))
        return f"{worker.entry.worker_id} back after {away_s} as {later_id}"

    def _restart(self, vm_id: VmId, worker_id: str, listed_after_s: float) -> None:
        if self._waves.is_off(vm_id):
            self._boot(worker_id, int(vm_id.removeprefix("m")), listed_after_s)

    def _cut_or_heal(self) -> str:
        worker = self._draw_server()
        if worker is None:
            return ""
        worker.reachable = not worker.reachable
        return f"{worker.entry.worker_id} {worker.reachable}"

    def _drain(self) -> str:
        worker = self._draw_server()
        owner = self._fleet.owner
        if worker is None or owner is None:
            return ""
        worker.entry = replace(worker.entry, draining=True)
        owner.scheduler.worker_listed(worker.entry)

        def end() -> None:
            if worker.alive:
                self._end(worker, 0.5)

        self._fleet.schedule(3.0, end)
        return str(worker.entry.worker_id)

    def _change_owner(self) -> str:
        owner = self._fleet.owner
        assert owner is not None
        how = self._random.choice(["planned", "dies", "paused"])
        if how == "planned":
            self._fleet.take_over(planned=True)
            return how
        owner.alive = how != "dies"
        owner.paused_until_s = self._fleet.clock.monotonic_s() + self._random.choice([0.5, 3.0])
        self._fleet.run(self._random.choice([0.1, 2.0]))
        self._fleet.take_over()
        return how

    def _lose_calls(self) -> str:
        kind = self._random.choice(["start", "stop", "hold", "write"])
        self._trouble[kind] = self._random.choice([0, 0, 0.3, 1])
        return f"{kind} {self._trouble[kind]}"

    def _stop_store(self) -> str:
        for_s = self._random.choice([0.5, 2.0, 4.0])
        self._fleet.make_store_unavailable(for_s)
        return str(for_s)

    def _order_wave(self) -> str:
        first, count = self._random.randrange(SERVERS), self._random.randint(1, 3)
        vms = [VmId(f"m{(first + each) % SERVERS}") for each in range(count)]
        self._waves.order(vms, within_s=30.0, down_max=1)
        return str(vms)

    def _submit_finite(self) -> str:
        spec = job(len(self._specs) + 1, Step(self._random.randint(1, 3), NEEDS, estimate_ms=300))
        self._submit(spec)
        return str(spec.job_id)

    def _submit(self, spec: JobSpec) -> None:
        self._specs[spec.job_id] = spec
        self._fleet.submit(spec)

    def _fail_runs(self) -> str:
        self._failing = not self._failing
        return str(self._failing)
