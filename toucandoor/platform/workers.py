"""Client for orders to backend servers, in the platform's protocol."""

from __future__ import annotations

import logging
import re
from typing import TYPE_CHECKING, Annotated, Any, Final

import msgspec

from toucandoor.core.jobs.models import TaskKey
from toucandoor.core.response_times import ResponseTimes
from toucandoor.core.scheduling.workers import (
    ActiveRun,
    EndedRun,
    EndReason,
    OrderNotSentError,
    OrderRefusal,
    OrderRefusedError,
    OrderUnansweredError,
    OrderWithheldError,
    RunKey,
    StartOrder,
    StatusReport,
    WorkerEntry,
    WorkerPort,
    WorkerTarget,
)
from toucandoor.ids import DataCentreId, FencingToken, JobId, PoolId, VmId, WorkerId
from toucandoor.platform.address import parse_address
from toucandoor.platform.async_http import AsyncPlatformHttp, CallWithheldError
from toucandoor.platform.http import (
    Answer,
    AnswerUnreadableError,
    CallNotSentError,
    CallUnansweredError,
)
from toucandoor.platform.wire import WireResources

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.clock import Clock

_LOGGER = logging.getLogger(__name__)

ORDER_TIMEOUT_S_MIN: Final = 0.1
"""Shortest time-out of an order, and of a heartbeat beyond its waiting time; a healthy backend
server answers in milliseconds."""
ORDER_TIMEOUT_S_MAX: Final = 0.6
"""Longest time-out, while answers are slow; a tenth of a backend server's lease."""
RUN_BYTES: Final = 80
"""Size of a run in the answer to a heartbeat, with a checkpoint."""
LINK_SHARES: Final = 4
"""Answers at once among which the link is shared."""
ENDS_PER_ANSWER_MAX: Final = 500
"""Most ended runs in an answer to a heartbeat, by the platform's protocol."""
COLD_MS_MAX: Final = 600_000
"""Longest plausible time for which a server is slow after its start."""
NUMBER_MAX: Final = 2**53
"""Largest plausible number of a server: all up to it can be stored and calculated with."""
WORKER_ID_PATTERN: Final = re.compile(r"[!-~]{1,200}")
"""Ids that can be sent in a header; a key of the store has at most 200 bytes."""
INSTANCE_HEADER: Final = "X-Toucandoor-Expected-Instance"

_REFUSALS = {
    "fence": OrderRefusal.FENCED,
    "old": OrderRefusal.SUPERSEDED,
    "late": OrderRefusal.DEADLINE_PASSED,
    "room": OrderRefusal.NO_ROOM,
    "ticket": OrderRefusal.TICKET_INVALID,
}
_END_REASONS = {
    "done": EndReason.DONE,
    "failed": EndReason.FAILED,
    "stopped": EndReason.STOPPED,
    "lapsed": EndReason.LEASE_EXPIRED,
    "broken": EndReason.GANG_BROKEN,
    "alone": EndReason.GANG_INCOMPLETE,
}


class _StoreEntry(msgspec.Struct, frozen=True):
    """Entry that a backend server writes to the store at an interval.

    Attributes:
        service: Pool that it serves.
        zone: Its data centre.
        born: Start of this boot, in Unix ms; 0 if not given.
        remaining_ms: Least time until it leaves; None if it stays.
        machine: Id of its VM; empty if not given.
        cold_left_ms: Time for which it remains slow after its start.
    """

    service: str
    address: str
    zone: str
    state: str
    capacity: WireResources
    labels: list[str]
    sequence: int
    born: int = 0
    remaining_ms: int | None = None
    machine: str = ""
    cold_left_ms: Any = 0


_Number = Annotated[int, msgspec.Meta(ge=0, le=NUMBER_MAX)]


class _Reply(msgspec.Struct, frozen=True):
    clock_ms: _Number | None = None
    reason: str = ""


class _HoldAnswer(msgspec.Struct, frozen=True):
    """Answer to a heartbeat, which the platform calls hold.

    Attributes:
        clock_ms: Steady clock of the backend server.
        active: A row for each run in progress: task, attempt, checkpoint, share of its speed in
            percent and, for some tasks, the recent metric.
        finished: A row for each ended run: sequence number, task, attempt, reason and checkpoint.
        born: Start of this boot, in Unix ms; 0 if not given.
    """

    clock_ms: _Number
    active: list[list[Any]] = []
    finished: list[list[Any]] = []
    born: _Number = 0


class InvalidEntryError(Exception):
    """An entry in the list of backend servers names no server to use.

    Args:
        reason: The field at fault and what is wrong with it.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def decode_worker(worker_id: str, value: bytes) -> WorkerEntry | None:
    """Decode a backend server's entry in the store; None if it is invalid or cannot be used."""
    try:
        return parse_worker(worker_id, value)
    except InvalidEntryError as err:
        _LOGGER.debug("workers: entry of %s cannot be used: %s", worker_id, err.reason)
        return None


def parse_worker(worker_id: str, value: bytes) -> WorkerEntry:
    """Decode a backend server's entry in the store, which may come from any writer.

    Raises:
        InvalidEntryError: It is invalid or cannot be used.
    """
    try:
        entry = msgspec.json.decode(value, type=_StoreEntry)
    except (msgspec.MsgspecError, UnicodeDecodeError) as err:
        raise InvalidEntryError(str(err)) from err
    _check_entry(worker_id, entry)
    return WorkerEntry(
        worker_id=WorkerId(worker_id),
        pool=PoolId(entry.service),
        address=entry.address,
        data_centre=DataCentreId(entry.zone),
        capacity=entry.capacity.resources,
        labels=tuple(entry.labels),
        draining=entry.state == "draining",
        booted_unix_ms=entry.born,
        remaining_ms=entry.remaining_ms,
        vm_id=VmId(entry.machine) if entry.machine else None,
        cold_s=_cold_s(entry.cold_left_ms),
    )


def _check_entry(worker_id: str, entry: _StoreEntry) -> None:
    if not WORKER_ID_PATTERN.fullmatch(worker_id):
        raise InvalidEntryError("the id has characters that cannot be sent in a header")
    if entry.state not in ("ready", "draining"):
        raise InvalidEntryError(f"state: {entry.state[:20]!r} is unknown")
    if not entry.service:
        raise InvalidEntryError("service: is empty")
    try:
        parse_address(entry.address)
    except ValueError as err:
        raise InvalidEntryError(f"address: {err}") from err
    numbers = {
        "capacity.cpu": entry.capacity.cpu,
        "capacity.mem_mb": entry.capacity.mem_mb,
        "capacity.gpu": entry.capacity.gpu,
        "born": entry.born,
    }
    for field, number in numbers.items():
        if not 0 <= number <= NUMBER_MAX:
            raise InvalidEntryError(f"{field}: is not from 0 to {NUMBER_MAX}")


def _cold_s(cold_left_ms: Any) -> float:
    """Return the time for which a server remains slow; 0 if it is missing or implausible."""
    plausible = isinstance(cold_left_ms, int | float) and 0 <= cold_left_ms <= COLD_MS_MAX
    return cold_left_ms / 1000 if plausible else 0.0


def task_name(task: TaskKey) -> str:
    """Return a task's name in the platform's protocol."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.number}"


def _run_key(name: str, attempt: int) -> RunKey:
    """Return the key of a run in a status report.

    Raises:
        ValueError: A number is missing, negative or implausibly large.
        TypeError: The attempt is not a number.
    """
    job_id, occurrence, step, index = str(name).split(".")
    task = TaskKey(JobId(job_id), int(occurrence), int(step), int(index))
    if min(task[1:]) < 0 or not 0 <= attempt <= NUMBER_MAX:
        raise ValueError("a number is out of range")
    return RunKey(task, int(attempt))


class PlatformWorkers(WorkerPort):
    """Client for backend servers over HTTP.

    Args:
        http: The client.
        clock: The clock.
        link_bytes_per_s: Rate of this VM's link, on which answers with many runs take longer.
    """

    def __init__(
        self, http: AsyncPlatformHttp, clock: Clock, link_bytes_per_s: float = float("inf")
    ) -> None:
        self._run_s = RUN_BYTES * LINK_SHARES / link_bytes_per_s
        self._http = http
        self._clock = clock
        self._response_times = ResponseTimes(ORDER_TIMEOUT_S_MIN, ORDER_TIMEOUT_S_MAX)

    async def async_start(
        self, target: WorkerTarget, order: StartOrder, may_send: Callable[[], bool]
    ) -> int:
        """Start a run."""
        body = {
            "task": task_name(order.run.task),
            "attempt": order.run.attempt,
            "spec": order.payload,
            "deadline_ms": order.lease_until_ms,
            "fencing_token": order.token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["token"] = order.ticket
        return await self._async_order(target, "start", "/-/run-start", body, may_send)

    async def async_stop(self, target: WorkerTarget, run: RunKey, token: FencingToken) -> int:
        """Stop a run."""
        body = {"task": task_name(run.task), "attempt": run.attempt, "fencing_token": token}
        return await self._async_order(target, "stop", "/-/run-stop", body)

    async def async_limit_speed(
        self, target: WorkerTarget, run: RunKey, percent: int, token: FencingToken
    ) -> int:
        """Limit a run to a share of its speed."""
        body = {
            "task": task_name(run.task),
            "attempt": run.attempt,
            "percent": percent,
            "fencing_token": token,
        }
        return await self._async_order(target, "pace", "/-/pace", body)

    async def async_heartbeat(
        self,
        target: WorkerTarget,
        token: FencingToken,
        *,
        lease_until_ms: int | None,
        acknowledged: int,
        wait_s: float,
        runs: int,
    ) -> StatusReport:
        """Extend the lease, acknowledge ended runs, and wait for the next run to end."""
        body: dict[str, int] = {"fencing_token": token, "last_seen": acknowledged}
        if lease_until_ms is not None:
            body["deadline_ms"] = lease_until_ms
        if wait_s > 0:
            body["wait_ms"] = int(wait_s * 1000)
        timeout_s = self._response_times.timeout_s + wait_s + runs * self._run_s
        answer = await self._async_call(target, "hold", "/-/hold", body, timeout_s)
        try:
            return _status_report(answer.decode(_HoldAnswer))
        except (AnswerUnreadableError, ValueError, TypeError, LookupError, OverflowError) as err:
            raise OrderUnansweredError(str(err), step=answer.step, peer=answer.peer) from err

    async def _async_order(
        self,
        target: WorkerTarget,
        name: str,
        path: str,
        body: dict[str, Any],
        may_send: Callable[[], bool] | None = None,
    ) -> int:
        timeout_s = self._response_times.timeout_s
        sent_s = self._clock.monotonic_s()
        try:
            answer = await self._async_call(target, name, path, body, timeout_s, may_send)
        except OrderUnansweredError:
            self._response_times.record_unanswered()
            raise
        self._response_times.record(self._clock.monotonic_s() - sent_s)
        try:
            reply = answer.decode(_Reply)
        except AnswerUnreadableError as err:
            raise OrderUnansweredError(err.reason, step=answer.step, peer=answer.peer) from err
        return reply.clock_ms or 0

    async def _async_call(
        self,
        target: WorkerTarget,
        name: str,
        path: str,
        body: dict[str, Any],
        timeout_s: float,
        may_send: Callable[[], bool] | None = None,
    ) -> Answer:
        step = f"worker.{name}"
        try:
            answer = await self._http.async_post(
                target.address,
                path,
                step=step,
                timeout_s=timeout_s,
                body=body,
                headers={INSTANCE_HEADER: target.worker_id},
                may_send=may_send,
            )
        except CallWithheldError as err:
            raise OrderWithheldError(err.reason, step=step, peer=target.worker_id) from err
        except CallNotSentError as err:
            raise OrderNotSentError(err.reason, step=step, peer=target.worker_id) from err
        except CallUnansweredError as err:
            raise OrderUnansweredError(err.reason, step=step, peer=target.worker_id) from err
        if answer.status == 200:
            return answer
        refusal, clock_ms = _refusal(answer)
        if refusal is OrderRefusal.REJECTED:
            text = answer.body[:200].decode(errors="replace")
            _LOGGER.warning(
                "workers: %s was rejected, with body %s: status %s: %s",
                step,
                body,
                answer.status,
                text,
            )
        raise OrderRefusedError(refusal, step=step, peer=target.worker_id, clock_ms=clock_ms)


def _refusal(answer: Answer) -> tuple[OrderRefusal, int | None]:
    if answer.status == 421:
        return OrderRefusal.OTHER_BOOT, None
    if answer.status in (429, 503):
        return OrderRefusal.UNHEALTHY, None
    if answer.status != 409:
        return OrderRefusal.REJECTED, None
    try:
        reply = answer.decode(_Reply)
    except AnswerUnreadableError as err:
        _LOGGER.warning("workers: reason of a refusal cannot be decoded: %s", err)
        return OrderRefusal.REJECTED, None
    return _REFUSALS.get(reply.reason, OrderRefusal.REJECTED), reply.clock_ms


def _status_report(answer: _HoldAnswer) -> StatusReport:
    active = tuple(
        ActiveRun(
            run=_run_key(row[0], row[1]),
            checkpoint=str(row[2]),
            speed_percent=int(row[3]),
            # Only sent where tasks share resources that a backend server's capacity does not
            # cover.
            recent_metric=int(row[4]) if len(row) > 4 else 0,
        )
        for row in answer.active
    )
    ended = tuple(
        EndedRun(
            sequence=int(row[0]),
            run=_run_key(row[1], row[2]),
            reason=_END_REASONS[row[3]],
            checkpoint=str(row[4]) if len(row) > 4 else "",
        )
        for row in answer.finished
    )
    complete = len(ended) < ENDS_PER_ANSWER_MAX
    return StatusReport(answer.clock_ms, answer.born, active, ended, complete)
