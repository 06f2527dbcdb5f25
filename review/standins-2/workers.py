"""Stand-ins of the platform's workers and of its list of machines, by the pages on them."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from loop_http import Call, LoopServer, ResetError

if TYPE_CHECKING:
    from collections.abc import Callable

    from store import Store

HEARTBEAT_S = 1.5
SILENT_BEATS = 3
"""Heartbeat intervals of silence after which an entry is removed."""
HOLD_MAX_MS = 6000
KILL_S = 0.05
STARTUP_S = 0.3
"""Time until a work item that lasts is at work."""


@dataclass
class Active:
    """A run on a worker."""

    task: str
    attempt: int
    spec: dict[str, Any]
    began_s: float
    stopping: bool = False


@dataclass
class Boot:
    """One life of a worker: what it holds and knows."""

    born: int
    began_s: float = field(default_factory=time.monotonic)
    runs: dict[str, Active] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    highest: dict[str, int] = field(default_factory=dict)
    number: int = 0
    fence: int = 0
    until_ms: int = 0
    sequence: int = 0


class Worker:
    """A worker at one address. `crash` ends a boot, `boot` starts one under the same id.

    Attributes:
        log: Called with each event on the worker and its fields.
    """

    def __init__(
        self,
        store: Store,
        worker_id: str,
        address: tuple[str, int],
        entry: dict[str, Any],
        log: Callable[..., None],
    ) -> None:
        self.worker_id, self.log, self.store = worker_id, log, store
        self.entry = entry | {"address": f"{address[0]}:{address[1]}"}
        self.server = LoopServer(*address, self._answer)
        self.now: Boot | None = None
        self.draining = False
        self._seen = asyncio.Event()
        self._tasks: set[Any] = set()
        self._forgetting: set[Any] = set()

    async def boot(self, born: int | None = None) -> None:
        """Start the worker under its id; `born` is what its clock says, by default the time."""
        self.now = Boot(int(time.time() * 1000) if born is None else born)
        await self.server.up()
        self.log("worker starts", worker=self.worker_id, born=self.now.born)
        boot = self.now
        self._tasks = {
            asyncio.ensure_future(self._beat(boot)),
            asyncio.ensure_future(self._watch_runs(boot)),
        }

    async def crash(self) -> None:
        """End the boot; what runs is gone and nothing is reported."""
        boot, self.now = self.now, None
        for task in self._tasks:
            task.cancel()
        await self.server.down()
        running = {run.task: run.attempt for run in boot.runs.values()} if boot else {}
        self.log("worker ends", worker=self.worker_id, lost=running)
        forget = asyncio.ensure_future(self._forget_entry(self.worker_id))
        self._forgetting.add(forget)

    async def _forget_entry(self, worker_id: str) -> None:
        await asyncio.sleep(SILENT_BEATS * HEARTBEAT_S)
        if self.now is None or self.worker_id != worker_id:
            self.store.delete(f"servers/{worker_id}")

    async def leave(self) -> None:
        """End the boot and remove its entry, as a planned end of its machine does."""
        await self.crash()
        self.store.delete(f"servers/{self.worker_id}")

    def write_entry(self) -> None:
        """Write the worker's entry to the store."""
        boot = self.now
        if boot is None:
            return
        boot.sequence += 1
        self.store.put(
            f"servers/{self.worker_id}",
            {
                "zone": "zone-a",
                "version": "1.0",
                "slots": 8,
                "state": "draining" if self.draining else "ready",
                "cold_left_ms": 0,
                "sequence": boot.sequence,
                "born": boot.born,
            }
            | self.entry,
        )

    async def _beat(self, boot: Boot) -> None:
        while self.now is boot:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _watch_runs(self, boot: Boot) -> None:
        while self.now is boot:
            await asyncio.sleep(0.01)
            now_s = time.monotonic()
            if boot.runs and boot.until_ms <= self.clock_ms():
                for run in list(boot.runs.values()):
                    self._end(run, "lapsed")
            for run in list(boot.runs.values()):
                run_s = run.spec.get("run_s")
                if run_s is not None and not run.stopping and now_s >= run.began_s + run_s:
                    self._end(run, run.spec.get("how", "done"))

    def clock_ms(self) -> int:
        """Return the steady clock of this boot, which starts anew."""
        assert self.now is not None
        return int((time.monotonic() - self.now.began_s) * 1000) + 1000

    def _end(self, run: Active, how: str) -> None:
        boot = self.now
        if boot is None or boot.runs.get(run.task) is not run:
            return
        del boot.runs[run.task]
        boot.number += 1
        boot.ended.append([boot.number, run.task, run.attempt, how, ""])
        boot.highest[run.task] = max(boot.highest.get(run.task, 0), run.attempt)
        self.log("run ends", worker=self.worker_id, task=run.task, attempt=run.attempt, how=how)
        seen, self._seen = self._seen, asyncio.Event()
        seen.set()

    async def _answer(self, call: Call) -> tuple[int, Any]:
        boot = self.now
        name = call.path.removeprefix("/-/")
        if call.headers.get("x-toucandoor-expected-instance") != self.worker_id or boot is None:
            return 421, {}
        body = call.body
        if body.get("fencing_token", 0) < boot.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        boot.fence = max(boot.fence, body.get("fencing_token", 0))
        if name == "run-start":
            return self._start(boot, body)
        if name == "run-stop":
            return self._stop(boot, body)
        if name == "hold":
            return await self._hold(boot, body)
        if name == "pace":
            return 200, {"clock_ms": self.clock_ms()}
        return 404, {}

    def _extend(self, boot: Boot, body: dict[str, Any]) -> None:
        until_ms = min(int(body.get("deadline_ms", 0)), self.clock_ms() + HOLD_MAX_MS)
        boot.until_ms = max(boot.until_ms, until_ms)

    def _start(self, boot: Boot, body: dict[str, Any]) -> tuple[int, Any]:
        task, attempt = body["task"], int(body["attempt"])
        there = boot.runs.get(task)
        if there is not None and there.attempt == attempt:
            self._extend(boot, body)
            return 200, {"clock_ms": self.clock_ms()}
        if int(body["deadline_ms"]) <= self.clock_ms():
            return 409, {"clock_ms": self.clock_ms(), "reason": "late"}
        self._extend(boot, body)
        if attempt <= boot.highest.get(task, 0) or there is not None:
            return 409, {"clock_ms": self.clock_ms(), "reason": "old"}
        spec = json.loads(body["spec"])
        room = self.entry["capacity"]["cpu"] - sum(
            each.spec.get("cpu", 0) for each in boot.runs.values()
        )
        if spec.get("cpu", 0) > room:
            self.log("start refused", worker=self.worker_id, task=task, reason="room")
            return 409, {"clock_ms": self.clock_ms(), "reason": "room"}
        boot.runs[task] = Active(task, attempt, spec, time.monotonic())
        self.log("run starts", worker=self.worker_id, task=task, attempt=attempt)
        return 200, {"clock_ms": self.clock_ms()}

    def _stop(self, boot: Boot, body: dict[str, Any]) -> tuple[int, Any]:
        task, attempt = body["task"], int(body["attempt"])
        boot.highest[task] = max(boot.highest.get(task, 0), attempt)
        run = boot.runs.get(task)
        self.log("stop ordered", worker=self.worker_id, task=task, attempt=attempt)
        if run is not None and run.attempt <= attempt and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(KILL_S, self._end, run, "stopped")
        return 200, {"clock_ms": self.clock_ms()}

    async def _hold(self, boot: Boot, body: dict[str, Any]) -> tuple[int, Any]:
        seen = int(body["last_seen"])
        noted = [row for row in boot.ended if row[0] <= seen]
        boot.ended = [row for row in boot.ended if row[0] > seen]
        for row in noted:
            self.log("end noted", worker=self.worker_id, task=row[1], attempt=row[2], how=row[3])
        if "deadline_ms" in body:
            self._extend(boot, body)
        until_s = time.monotonic() + min(2000, body.get("wait_ms", 0)) / 1000
        while not boot.ended and (left_s := until_s - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self._seen.wait(), left_s)
            except TimeoutError:
                break
        if self.now is not boot:
            raise ResetError
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": boot.born,
            "active": [
                [run.task, run.attempt, "", self._percent(run)] for run in boot.runs.values()
            ],
            "finished": boot.ended[:500],
        }

    def _percent(self, run: Active) -> int:
        lasts = run.spec.get("run_s") is None
        return 0 if lasts and time.monotonic() < run.began_s + STARTUP_S else 100


class Machines:
    """The platform's list of machines, with upkeep of `maintenance_s`.

    Attributes:
        workers: The worker on each machine.
    """

    def __init__(
        self, host: str, port: int, log: Callable[..., None], maintenance_s: float = 2.0
    ) -> None:
        self.server = LoopServer(host, port, self._answer)
        self.workers: dict[str, Worker] = {}
        self.pools: dict[str, str] = {}
        self.state: dict[str, str] = {}
        self.kept: dict[str, set[int]] = {}
        self.waves: dict[int, list[str]] = {}
        self._log, self._maintenance_s = log, maintenance_s
        self._tasks: set[Any] = set()

    def add(self, machine: str, worker: Worker) -> None:
        """Add a machine that is up, with its worker."""
        self.workers[machine], self.state[machine] = worker, "up"
        self.pools[machine] = worker.entry["service"]

    async def _answer(self, call: Call) -> tuple[int, Any]:
        if call.path == "/-/machines":
            return 200, {"machines": [self._shown(each) for each in self.workers]}
        machine = call.body["machine"]
        self._log(
            "order for a machine",
            path=call.path,
            machine=machine,
            holder=call.headers.get("x-toucandoor-lease-holder"),
            token=int(call.headers.get("x-toucandoor-fencing-token", "0")),
        )
        if call.path == "/-/machine-upkeep":
            wave = int(call.body["rollout_wave"])
            if machine not in self.workers:
                return 400, {}
            if wave in self.kept.get(machine, set()):
                return 200, {}
            if machine not in self.waves.get(wave, []):
                return 409, {"reason": "wave"}
            if self.state[machine] != "up":
                return 409, {"reason": "busy"}
            self.kept.setdefault(machine, set()).add(wave)
            self.state[machine] = "upkeep"
            worker = self.workers[machine]
            running = sorted(worker.now.runs) if worker.now else []
            self._log("upkeep begins", machine=machine, wave=wave, ended=running)
            await worker.leave()
            self._tasks.add(asyncio.ensure_future(self._come_back(machine)))
            return 200, {}
        return 409, {"reason": "busy"}

    async def _come_back(self, machine: str) -> None:
        await asyncio.sleep(self._maintenance_s)
        worker = self.workers[machine]
        worker.worker_id += "n"
        await worker.boot()
        self.state[machine] = "up"
        self._log("upkeep ends", machine=machine, worker=worker.worker_id)

    def _shown(self, machine: str) -> dict[str, Any]:
        worker = self.workers[machine]
        shown = {
            "machine": machine,
            "pool": self.pools[machine],
            "state": self.state[machine],
            "zone": "zone-a",
            "labels": worker.entry["labels"],
            "capacity": worker.entry["capacity"],
        }
        return shown | ({"id": worker.worker_id} if worker.now else {})
