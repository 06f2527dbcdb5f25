"""Suspects racks none of whose servers answer, by the calls of one owner."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from toucandoor.core.failure_domains.flapping import Flapping
from toucandoor.core.failure_domains.models import SLOW_RATIO, USUAL_SPEED, FailureDomains
from toucandoor.core.failure_domains.run_speed import RunSpeed

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from toucandoor.clock import Clock
    from toucandoor.core.scheduling.worker_view import Run, WorkerView
    from toucandoor.ids import QueueId, WorkerId

_LOGGER = logging.getLogger(__name__)

SILENT_SERVERS_MIN: Final = 2
"""Servers that must not answer before their rack is suspected, one of them with runs; a single one
is more likely down by itself. The other one may be an idle server that was probed for it."""
OWN_CONNECTION_RATIO: Final = 0.5
"""Share of all racks above which the owner's own connection is the likelier cause."""
DOWN_FAILURES: Final = 2
"""Failed heartbeats in succession after which a server counts as having been down; a single lost
message does not make a server flap."""
PROBE_INTERVAL_S: Final = 0.1
"""Shortest time between two tries of servers on a suspected rack; a refused connection fails within
a millisecond."""
INDEX_INTERVAL_S: Final = 0.5
"""Time after which the servers of each rack are collected again; needed only while some do not
answer."""
WATCHED_S: Final = 2.0
"""Time after a call without an answer in which other servers of the rack get short polls."""
WATCHED_POLL_WAIT_S: Final = 0.25
"""Wait of a poll in that time: the servers answer or fail sooner, at four times the calls to one
rack."""


SLOW_REVIEW_S: Final = 1.0
"""Time between two reviews of the slow servers, whose runs lose weight with time."""


@dataclass(slots=True)
class _Silence:
    """Calls to one boot that were not answered.

    Attributes:
        worker: The boot.
        due_s: When the answer to the first of them was due.
        was_down: Whether enough heartbeats in succession have failed.
    """

    worker: WorkerView
    due_s: float
    was_down: bool = False


@dataclass(slots=True)
class _Rack:
    """A rack as collected from the list of servers."""

    servers: list[WorkerView] = field(default_factory=list)

    @property
    def answered_s(self) -> float:
        """When any of its servers last answered."""
        return max((worker.answered_s for worker in self.servers), default=0.0)


class ObservedFailureDomains(FailureDomains):
    """Evidence from the calls of one owner; another owner begins without any.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._silent: dict[WorkerId, _Silence] = {}
        self._flapping = Flapping()
        self._racks: dict[str, _Rack] = {}
        self._indexed_s = float("-inf")
        self._suspected: dict[str, float] = {}
        self._watched: dict[str, float] = {}
        self._probed_s: dict[str, float] = {}
        self._own_connection_suspected = False
        self._speed = RunSpeed()
        self._slow: dict[WorkerId, float] = {}
        self._slow_reviewed_s = float("-inf")

    @property
    def suspected_racks(self) -> frozenset[str]:
        """Racks that get no starts for now."""
        return frozenset(self._suspected)

    @property
    def own_connection_suspected(self) -> bool:
        """Whether so many racks do not answer that the owner itself is probably cut off."""
        return self._own_connection_suspected

    def suspects(self, worker: WorkerView) -> bool:
        """Return whether new starts avoid a backend server for now."""
        if self._suspected and worker.entry.rack in self._suspected:
            return True
        if self._flapping.empty:
            return False
        return self._flapping.paused(worker.entry.worker_id, self._clock.monotonic_s())

    def rack_suspected(self, worker: WorkerView) -> bool:
        """Return whether the rack of a backend server is suspected."""
        return worker.entry.rack in self._suspected

    def slowness(self, worker: WorkerView) -> float:
        """Return the ratio of true to expected run times; only slow servers have another than 1."""
        return self._slow.get(worker.entry.worker_id, USUAL_SPEED)

    def on_done(self, run: Run, queue: QueueId, ratio: float) -> None:
        """Process the end of a run as done."""
        worker_id = run.worker.entry.worker_id
        if worker_id in self._silent:
            return  # the run may have ended long before its end could be reported
        now_s = self._clock.monotonic_s()
        self._speed.record(worker_id, run.task.key.job_id, queue, ratio, now_s)
        self._judge_speed(worker_id, now_s)

    def poll_wait_s(self, worker: WorkerView, wait_s: float) -> float:
        """Return a shorter wait while another server of the rack does not answer."""
        until_s = self._watched.get(worker.entry.rack, 0.0)
        if until_s > self._clock.monotonic_s():
            return min(wait_s, WATCHED_POLL_WAIT_S)
        return wait_s

    def on_unanswered(self, worker: WorkerView, due_s: float) -> None:
        """Process a call without an answer."""
        if worker.answered_s >= due_s or worker.ended:
            return
        worker_id = worker.entry.worker_id
        silence = self._silent.get(worker_id)
        if silence is None or silence.worker is not worker:
            silence = self._silent[worker_id] = _Silence(worker, due_s)
            if worker.entry.rack:
                self._watched[worker.entry.rack] = self._clock.monotonic_s() + WATCHED_S
        if worker.heartbeat_failures >= DOWN_FAILURES:
            silence.was_down = True

    def update(self, workers: Mapping[WorkerId, WorkerView]) -> None:
        """Suspect and clear racks by the calls so far, and choose which servers are tried."""
        now_s = self._clock.monotonic_s()
        if now_s - self._slow_reviewed_s >= SLOW_REVIEW_S:
            self._slow_reviewed_s = now_s
            self._speed.keep(workers.keys())
            for worker_id in list(self._slow):
                self._judge_speed(worker_id, now_s)
        if not self._silent and not self._suspected:
            self.held_back = self.probes = frozenset()
            self.silent_workers = ()
            return
        self._drop_ended_silences(workers, now_s)
        self._collect_racks(workers, now_s)
        silent = self._silent_by_rack()
        self._judge_own_connection(len(silent))
        for rack in list(self._suspected):
            if self._own_connection_suspected or not silent.get(rack):
                self._clear(rack, now_s)
        if not self._own_connection_suspected:
            for rack, silences in silent.items():
                with_runs = any(each.worker.runs for each in silences)
                enough = with_runs and len(silences) >= SILENT_SERVERS_MIN
                if rack not in self._suspected and enough:
                    self._suspect(rack, silences, now_s)
        self._choose_probes(silent, now_s)
        found = {each.worker: None for each in self._silent.values()}
        for rack in self._suspected:
            found |= dict.fromkeys(self._racks[rack].servers if rack in self._racks else [])
        self.silent_workers = tuple(found)

    def _judge_speed(self, worker_id: WorkerId, now_s: float) -> None:
        was_slow = worker_id in self._slow
        if not was_slow and not self._speed.any_above(worker_id, SLOW_RATIO):
            return
        ratio = self._speed.slowness(worker_id, now_s)
        if ratio > SLOW_RATIO:
            self._slow[worker_id] = ratio
        else:
            self._slow.pop(worker_id, None)
        if was_slow != (worker_id in self._slow):
            _LOGGER.info(
                "workers: %s has its usual speed again" if was_slow else "workers: %s is slow",
                worker_id,
                extra={"worker": worker_id, "ratio": round(ratio, 2)},
            )

    def _drop_ended_silences(self, workers: Mapping[WorkerId, WorkerView], now_s: float) -> None:
        """Drop servers that have answered again, and boots that a later one has replaced."""
        for worker_id, silence in list(self._silent.items()):
            present = workers.get(worker_id)
            answered = silence.worker.answered_s > silence.due_s
            if not answered and present is silence.worker and not present.ended:
                continue
            if present is not None and not present.unresponsive:
                del self._silent[worker_id]
                if silence.was_down or present is not silence.worker:
                    self._flapping.on_return(worker_id, now_s)
            elif present is None:
                del self._silent[worker_id]

    def _collect_racks(self, workers: Mapping[WorkerId, WorkerView], now_s: float) -> None:
        if now_s - self._indexed_s < INDEX_INTERVAL_S:
            return
        self._indexed_s = now_s
        self._racks = {}
        for worker in workers.values():
            if worker.entry.rack and not worker.ended:
                self._racks.setdefault(worker.entry.rack, _Rack()).servers.append(worker)
        self._watched = {rack: s for rack, s in self._watched.items() if s > now_s}
        self._probed_s = {rack: s for rack, s in self._probed_s.items() if rack in self._racks}

    def _silent_by_rack(self) -> dict[str, list[_Silence]]:
        """Return the silent servers of each rack from which no server has answered since.

        A server that is silent while another one of its rack answers is down by itself; it counts
        again once it has answered.
        """
        found: dict[str, list[_Silence]] = {}
        answered_s: dict[str, float] = {}
        for silence in self._silent.values():
            name = silence.worker.entry.rack
            rack = self._racks.get(name)
            if rack is None:
                continue
            if name not in answered_s:
                answered_s[name] = rack.answered_s
            if silence.due_s >= answered_s[name]:
                found.setdefault(name, []).append(silence)
        return found

    def _judge_own_connection(self, silent_racks: int) -> None:
        suspected = silent_racks > OWN_CONNECTION_RATIO * len(self._racks)
        if suspected and not self._own_connection_suspected:
            _LOGGER.warning(
                "racks: servers of most racks do not answer; no rack is suspected",
                extra={"silent": silent_racks, "racks": len(self._racks)},
            )
        self._own_connection_suspected = suspected

    def _suspect(self, rack: str, silences: list[_Silence], now_s: float) -> None:
        self._suspected[rack] = now_s
        first_s = min(silence.due_s for silence in silences)
        _LOGGER.warning(
            "racks: %s is suspected, as its servers do not answer",
            rack,
            extra={
                "rack": rack,
                "silent": len(silences),
                "servers": len(self._racks[rack].servers),
                "runs": sum(len(silence.worker.runs) for silence in silences),
                "after_s": round(now_s - first_s, 3),
            },
        )

    def _clear(self, rack: str, now_s: float) -> None:
        """End the suspicion of a rack and call its servers at once."""
        since_s = self._suspected.pop(rack)
        servers = self._racks[rack].servers if rack in self._racks else []
        for worker in servers:
            if worker.heartbeat_failures > 0:
                worker.next_heartbeat_s = min(worker.next_heartbeat_s, now_s)
        _LOGGER.info(
            "racks: %s is no longer suspected",
            rack,
            extra={"rack": rack, "after_s": round(now_s - since_s, 3)},
        )

    def _choose_probes(self, silent: Collection[str], now_s: float) -> None:
        """Choose which servers are tried.

        On a suspected rack it is the server that has not been tried for the longest time. On a rack
        with a silent server it is an idle one, which gets no heartbeat otherwise: it shows whether
        the whole rack is silent.

        Args:
            silent: Racks with silent servers.
            now_s: The monotonic time.
        """
        held_back: set[WorkerId] = set()
        probes: set[WorkerId] = set()
        for name in {*self._suspected, *silent}:
            servers = self._racks[name].servers if name in self._racks else []
            candidates = [each for each in servers if not each.heartbeat_in_flight and each.listed]
            if name in self._suspected:
                held_back |= {each.entry.worker_id for each in servers if each.heartbeat_failures}
                tried = any(
                    each.heartbeat_in_flight and each.heartbeat_failures for each in servers
                )
            else:
                candidates = [
                    each for each in candidates if not each.runs and not each.unresponsive
                ]
                tried = any(each.heartbeat_in_flight and not each.runs for each in servers)
            since_s = now_s - self._probed_s.get(name, float("-inf"))
            if tried or not candidates or since_s < PROBE_INTERVAL_S:
                continue
            self._probed_s[name] = now_s
            probe = min(candidates, key=lambda each: each.heartbeat_sent_s)
            probe.next_heartbeat_s = min(probe.next_heartbeat_s, now_s)
            probes.add(probe.entry.worker_id)
        self.held_back, self.probes = frozenset(held_back), frozenset(probes)
