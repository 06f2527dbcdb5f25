"""Starts, stops and heartbeats: decides when each is sent and processes its answer."""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING

from toucandoor.core.copies.models import may_be_copied
from toucandoor.core.jobs.models import NO_RESOURCES, Step
from toucandoor.core.scheduling import const
from toucandoor.core.scheduling.lookups import run_fields
from toucandoor.core.scheduling.orders import LimitSpeed, Order, SendHeartbeat, StartRun, StopRun
from toucandoor.core.scheduling.pacing import needs_short_heartbeats, plan_speed_limits
from toucandoor.core.scheduling.progress import Task
from toucandoor.core.scheduling.start_conditions import StartObstacle, start_obstacle
from toucandoor.core.scheduling.worker_view import DiscardReason, Run, RunState, WorkerView
from toucandoor.core.scheduling.workers import OrderRefusal, StartOrder

if TYPE_CHECKING:
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.core.scheduling.worker_registry import WorkerRegistry

_LOGGER = logging.getLogger(__name__)

_UNKNOWN_STEP = Step(1, NO_RESOURCES)
"""Stands for the step of a run whose job is not in the schedule."""


class RunOrders:
    """Creates the orders to backend servers and processes their answers."""

    def __init__(self, state: ScheduleState, registry: WorkerRegistry) -> None:
        self._state = state
        self._registry = registry
        self._speed_limits: list[Order] = []
        self.next_heartbeat_s = float("inf")

    def due(self) -> list[Order]:
        """Return the orders to send now."""
        state = self._state
        now_s = state.now_s
        orders = self._speed_limits
        self._speed_limits = []
        in_flight = Counter(
            run.worker.entry.worker_id for run in state.runs_awaiting_orders if run.order_in_flight
        )
        for run in list(state.runs_awaiting_orders):
            worker_id = run.worker.entry.worker_id
            if run.key not in run.worker.runs:
                # Another run of its gang may have ended it in this loop.
                state.runs_awaiting_orders.pop(run, None)
            elif run.order_in_flight or now_s < run.next_order_s or not run.worker.entry.address:
                continue
            elif in_flight[worker_id] < const.RUN_ORDERS_IN_FLIGHT_MAX:
                order = self._run_order(run, now_s)
                if order is not None:
                    run.order_in_flight = True
                    run.order_sent_s = now_s
                    in_flight[worker_id] += 1
                    orders.append(order)
        self.next_heartbeat_s = float("inf")
        # Most servers await an answer or need no heartbeat, so these checks come first.
        probes = state.failure_domains.probes
        for worker in state.workers.values():
            settled = worker.heartbeat_in_flight or not (probes or worker.needs_heartbeat)
            if not settled and self._wants_heartbeat(worker):
                if now_s < worker.next_heartbeat_s:
                    self.next_heartbeat_s = min(self.next_heartbeat_s, worker.next_heartbeat_s)
                elif worker.entry.address:
                    orders.append(self._heartbeat(worker, now_s))
            if worker.unknown_runs:
                orders += self._stop_unknown_runs(worker, now_s)
        return orders

    def _stop_unknown_runs(self, worker: WorkerView, now_s: float) -> list[Order]:
        """Return orders to stop reported runs of jobs that are not in the schedule.

        The runs are not tracked: a stop is repeated until they are no longer reported.
        """
        orders: list[Order] = []
        for key, next_s in worker.unknown_runs.items():
            if now_s < next_s or not worker.entry.address or worker.ended:
                continue
            worker.unknown_runs[key] = now_s + const.STOP_RETRY_S
            run = Run(key, Task(key.task, _UNKNOWN_STEP), worker, RunState.RUNNING, now_s)
            _LOGGER.warning("runs: stopping a run of a job that has ended", extra=run_fields(run))
            orders.append(StopRun(run, self._state.settings.token))
        return orders

    def _wants_heartbeat(self, worker: WorkerView) -> bool:
        domains = self._state.failure_domains
        if domains.probes and worker.entry.worker_id in domains.probes:
            return not worker.ended
        if not worker.needs_heartbeat or not (worker.contacted or self._in_use(worker)):
            return False
        return not domains.held_back or worker.entry.worker_id not in domains.held_back

    def _in_use(self, worker: WorkerView) -> bool:
        """Return whether a server may get tasks or have runs, or whether a wave waits for its VM.

        An entry that names neither a pool of the configuration nor a VM may be of another kind of
        server, which does not expect calls.
        """
        configuration = self._state.configuration
        if worker.runs or worker.entry.vm_id is not None or configuration is None:
            return True
        return worker.entry.pool in configuration.pools

    def _run_order(self, run: Run, now_s: float) -> Order | None:
        token = self._state.settings.token
        if run.stop_requested:
            if run.state is RunState.PLANNED or run.stop_acknowledged:
                return None
            return StopRun(run, token)
        if run.state is not RunState.STARTING:
            del self._state.runs_awaiting_orders[run]
            return None
        obstacle = self._obstacle(run)
        if obstacle is not None:
            self._give_up_start(run, obstacle)
            return None
        if not self._state.may_start(run):
            return None
        if self._state.failure_domains.suspects(run.worker):
            if run.starts_sent == 0:
                # Its start was never sent, so it cannot exist and the task may run elsewhere.
                self._discard_unbegun(run, DiscardReason.SERVER_SILENT)
                return None
            if run.worker.answered_s < run.order_sent_s:
                return None
        if run.never_sent and not self._may_send_first_start(run):
            return None
        until_ms = self._extend_lease(run.worker, now_s)
        if until_ms is None:
            return None
        if may_be_copied(run.task.step):
            deadline_ms = run.worker.lease_end_ms(const.COPIED_START_DEADLINE_S, now_s)
            until_ms = min(until_ms, deadline_ms) if deadline_ms is not None else until_ms
        run.start_log.record_order(now_s, run.worker.answered_s)
        run.starts_sent += 1
        run.starts_unanswered += 1
        step = self._state.step_of(run.task)
        ticket = ""
        if step.advice is not None:
            ticket = step.advice.tickets.get(run.worker.entry.worker_id, "")
        payload = self._state.jobs[run.task.key.job_id].spec.payload
        return StartRun(run, StartOrder(run.key, payload, until_ms, token, run.checkpoint, ticket))

    def _obstacle(self, run: Run) -> StartObstacle | None:
        """Return why the start of a run, or the first one of another run of its gang, is barred."""
        runs = [run]
        if run.task.step.gang and run.never_sent:
            tasks = self._state.step_of(run.task).tasks
            runs = [each for task in tasks for each in task.runs if each.never_sent]
        obstacles = (start_obstacle(self._state, each) for each in runs)
        return next((obstacle for obstacle in obstacles if obstacle is not None), None)

    def _give_up_start(self, run: Run, obstacle: StartObstacle) -> None:
        """Give up a run whose start may not be sent now, unless it has begun.

        If one of its starts was sent, the next status report shows whether it has begun. If so, it
        goes on as others do that had begun before. Otherwise a stop rules out that the start is
        carried out late.
        """
        if run.never_sent:
            self._discard_unbegun(run, DiscardReason.NOT_ALLOWED, obstacle.value)
        elif not run.awaits_report(self._state.now_s):
            _LOGGER.info(
                "runs: stopping a run whose start is not repeated",
                extra=run_fields(run) | {"reason": obstacle.value},
            )
            self._stop_unbegun(run)

    def _discard_unbegun(self, run: Run, reason: DiscardReason, ended_by: str = "") -> None:
        self._state.discard_run(run, reason, ended_by)
        self._state.stop_rest_of_gang(run)

    def _stop_unbegun(self, run: Run) -> None:
        self._state.request_stop(run)
        self._state.stop_rest_of_gang(run)

    def _may_send_first_start(self, run: Run) -> bool:
        """Return whether a first start may be sent; discard the run if its server is silent.

        A start without an answer would keep its task from running elsewhere for a whole lease.
        """
        if run.task.step.gang:
            # The runs of a gang must begin together, so that none is given up alone.
            return True
        if run.worker.heartbeat_failures > 0:
            self._state.discard_run(run, DiscardReason.SERVER_SILENT)
            return False
        if not run.worker.contacted:
            return False
        # No answer since may also mean that this owner has not called it, as it was not allowed to.
        called_s = max(run.created_s, self._state.now_s - const.HEARTBEAT_WAIT_S)
        return not run.worker.quiet(called_s)

    def _heartbeat(self, worker: WorkerView, now_s: float) -> SendHeartbeat:
        worker.heartbeat_in_flight = True
        worker.heartbeat_sent_s = now_s
        acknowledged = self._acknowledge(worker)
        until_ms = self._extend_lease(worker, now_s) if worker.runs else None
        quiet = worker.quiet(now_s)
        up_to_date = not worker.unresponsive and not worker.uncommitted and not quiet
        if worker.heartbeat_lost:
            # The answer to the other order may be older than a fault, so it is not waited for long.
            up_to_date = worker.heartbeat_lost = False
        if needs_short_heartbeats(worker) and not quiet:
            return self._short_heartbeat(worker, until_ms, acknowledged)
        recovered = any(run.state is RunState.RECOVERED for run in worker.runs.values())
        wait_s = const.HEARTBEAT_WAIT_S if up_to_date and worker.runs and not recovered else 0.0
        if any(run.stop_acknowledged or run.awaits_report(now_s) for run in worker.runs.values()):
            # Killing a stopped run takes no longer than the margin, and what waits for a report
            # should not wait for the end of another run.
            wait_s = min(wait_s, const.LEASE_EXPIRY_MARGIN_S)
        token = self._state.settings.token
        wait_s = self._state.failure_domains.poll_wait_s(worker, wait_s)
        worker.heartbeat_wait_s = wait_s
        return SendHeartbeat(worker, token, until_ms, acknowledged, wait_s)

    def _acknowledge(self, worker: WorkerView) -> int:
        """Return the highest end to acknowledge in a heartbeat; 0 if there is nothing new.

        A later boot under the same id numbers its ends from 1 again, and would forget those up to
        the acknowledged number. So nothing is acknowledged again, nor to a server that has just
        failed to answer.
        """
        confirmed = worker.acknowledgement_confirmed
        due = worker.ends_committed if worker.heartbeat_failures == 0 else confirmed
        worker.acknowledgement_in_flight = due
        return due if due > confirmed else 0

    def _short_heartbeat(
        self, worker: WorkerView, until_ms: int | None, acknowledged: int
    ) -> SendHeartbeat:
        token = self._state.settings.token
        wait_s = 0.0 if worker.uncommitted else const.SHORT_HEARTBEAT_WAIT_S
        worker.heartbeat_wait_s = wait_s
        return SendHeartbeat(worker, token, until_ms, acknowledged, wait_s)

    def _extend_lease(self, worker: WorkerView, now_s: float) -> int | None:
        """Return the end of the lease to send with an order; None if the server's clock is unknown.

        The lease of a server that does not answer is not extended: otherwise its runs would never
        count as ended.
        """
        if worker.heartbeat_failures > 0:
            return worker.lease_until_ms or None
        until_ms = worker.lease_end_ms(self._state.settings.lease_s, now_s)
        if until_ms is not None:
            worker.lease_until_ms = max(worker.lease_until_ms, until_ms)
        return until_ms

    # Answers to heartbeats and speed limits

    def adjust_speed_limits(self, worker: WorkerView) -> None:
        """Change the speed limits of best-effort runs after a status report, where needed."""
        now_s = self._state.now_s
        for run, percent in plan_speed_limits(worker, now_s).items():
            worker.speed_limited_s = now_s
            self._speed_limits.append(LimitSpeed(run, percent, self._state.settings.token))
            _LOGGER.info(
                "runs: changing the speed limit",
                extra=run_fields(run) | {"percent": percent, "before": run.speed_limit_percent},
            )

    def speed_limit_answered(self, run: Run, percent: int) -> None:
        """Process a confirmed speed limit of a run."""
        run.speed_limit_percent = percent

    def heartbeat_failed(self, worker: WorkerView, refusal: OrderRefusal | None) -> None:
        """Process a heartbeat that was refused, or got no answer (None)."""
        worker.heartbeat_in_flight = False
        if self._handle_common_refusal(worker, refusal):
            return
        if worker.answered_s > worker.heartbeat_sent_s:
            # It has answered another order since: only this call was lost.
            worker.next_heartbeat_s = self._state.now_s
            worker.heartbeat_lost = refusal is None
            return
        pause_s = const.HEARTBEAT_RETRY_S
        if not worker.runs:
            doublings = min(worker.heartbeat_failures, const.HEARTBEAT_RETRY_DOUBLINGS_MAX)
            pause_s *= 2**doublings
        worker.next_heartbeat_s = self._state.now_s + pause_s
        worker.heartbeat_failures += 1
        if refusal is None:
            due_s = worker.heartbeat_sent_s + worker.heartbeat_wait_s
            self._state.failure_domains.on_unanswered(worker, due_s)

    def _handle_common_refusal(self, worker: WorkerView, refusal: OrderRefusal | None) -> bool:
        """Handle a refusal that means the same for every order, and return whether it was one."""
        if refusal is OrderRefusal.FENCED:
            self._state.superseded = True
            return True
        if refusal is OrderRefusal.OTHER_BOOT:
            self._registry.boot_ended(worker, "was replaced by another boot at its address")
            return True
        return False

    # Answers to starts

    def start_answered(self, run: Run, clock_ms: int) -> None:
        """Process a backend server's confirmation of a start."""
        now_s = self._state.now_s
        run.order_in_flight = False
        run.starts_unanswered -= 1
        run.worker.answered_s = now_s
        if clock_ms and run.order_sent_s >= run.worker.known_since_s:
            run.worker.update_clock(clock_ms, now_s)
        if run.key not in run.worker.runs:
            return
        run.state = RunState.RUNNING
        if run.confirmed_s is None:
            self._state.confirm(run)
            self._state.activity.runs_started += 1

    def start_refused(self, run: Run, refusal: OrderRefusal) -> None:
        """Process a backend server's refusal of a start."""
        now_s = self._state.now_s
        run.order_in_flight = False
        run.starts_unanswered -= 1
        run.start_log.refused += 1
        worker = run.worker
        worker.answered_s = now_s
        if run.key not in worker.runs or self._handle_common_refusal(worker, refusal):
            return
        if refusal is OrderRefusal.DEADLINE_PASSED:
            run.next_order_s = now_s + const.START_RETRY_S
            worker.next_heartbeat_s = now_s
            return
        if refusal is OrderRefusal.SUPERSEDED and run.starts_sent > 1:
            # An earlier copy of this start was carried out and its run has ended; the next status
            # report will contain the end.
            run.state = RunState.RUNNING
            self._state.confirm(run)
            return
        if refusal is OrderRefusal.NO_ROOM:
            worker.paused_until_s = max(worker.paused_until_s, now_s + const.NO_ROOM_PAUSE_S)
        elif refusal is OrderRefusal.UNHEALTHY:
            worker.paused_until_s = max(worker.paused_until_s, now_s + const.UNHEALTHY_PAUSE_S)
        elif refusal is OrderRefusal.TICKET_INVALID:
            self._state.step_of(run.task).withdraw_ticket(worker.entry.boot, now_s)
        _LOGGER.info("runs: start refused", extra=run_fields(run) | {"reason": refusal.value})
        if run.starts_sent > 1:
            # An unanswered copy of the start may still be carried out; a stop prevents that.
            self._stop_unbegun(run)
        else:
            self._discard_unbegun(run, DiscardReason.START_REFUSED)

    def start_not_sent(self, run: Run) -> None:
        """Process a start that was not sent because the ownership was not valid at that moment."""
        run.order_in_flight = False
        run.starts_sent -= 1
        run.starts_unanswered -= 1
        run.next_order_s = self._state.now_s
        run.start_log.withheld += 1
        if run.stop_requested and run.never_sent and run.key in run.worker.runs:
            self._state.discard_run(run, DiscardReason.STOPPED_UNSENT)

    def start_undeliverable(self, run: Run) -> None:
        """Process a start that was not sent for want of a connection to the server."""
        run.starts_sent -= 1
        run.starts_unanswered -= 1
        run.starts_undeliverable += 1
        self._start_failed(run)

    def start_unanswered(self, run: Run) -> None:
        """Process a start without an answer: the run may exist now or later."""
        run.start_log.unanswered += 1
        self._start_failed(run)

    def _start_failed(self, run: Run) -> None:
        """Send a start again after a pause, or stop the run if too many have failed."""
        now_s = self._state.now_s
        run.order_in_flight = False
        run.next_order_s = now_s + const.START_RETRY_S
        worker = run.worker
        if worker.answered_s < run.order_sent_s:
            worker.paused_until_s = max(worker.paused_until_s, now_s + const.UNANSWERED_PAUSE_S)
        self._state.failure_domains.on_unanswered(worker, run.order_sent_s)
        if run.key not in worker.runs:
            return
        too_many = run.starts_sent + run.starts_undeliverable >= const.START_RETRIES_MAX
        if run.stop_requested or (too_many and not run.begun):
            self._stop_unbegun(run)

    # Answers to stops

    def stop_answered(self, run: Run) -> None:
        """Process a confirmed stop: the server ends the run and refuses it from now on."""
        now_s = self._state.now_s
        run.order_in_flight = False
        run.stop_acknowledged = True
        run.worker.answered_s = now_s
        run.stop_answered_s = now_s
        self._state.run_gaps.on_stopped(run)
        self._state.runs_awaiting_orders.pop(run, None)
        run.worker.next_heartbeat_s = min(run.worker.next_heartbeat_s, now_s)

    def stop_failed(self, run: Run, refusal: OrderRefusal | None) -> None:
        """Process a stop that was refused, or got no answer (None)."""
        run.order_in_flight = False
        run.next_order_s = self._state.now_s + const.STOP_RETRY_S
        if self._handle_common_refusal(run.worker, refusal):
            return
        if refusal is OrderRefusal.REJECTED:
            # The server does not know the run, and refuses it from now on as after a stop.
            self.stop_answered(run)
        elif refusal is None:
            self._state.failure_domains.on_unanswered(run.worker, run.order_sent_s)
