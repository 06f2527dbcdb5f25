"""HTTP API of the node program, by which callers submit, query and cancel jobs."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final, NamedTuple, TypeVar

import msgspec

from toucandoor.adapters.caller_outcomes import CallerOutcomes, CallKind
from toucandoor.adapters.job_service import WriteOutcome
from toucandoor.adapters.wsgi import respond, respond_json
from toucandoor.core.admission.submission import AcceptAll
from toucandoor.core.jobs.configuration import NO_KEY, key_digest
from toucandoor.core.jobs.models import JobState
from toucandoor.core.jobs.records import encode
from toucandoor.core.overload.outages import StoreOutages
from toucandoor.core.records import DEFAULT_VALUE_BYTES_MAX
from toucandoor.exceptions import ToucandoorError
from toucandoor.ids import JobId, TeamId
from toucandoor.platform.caller_routes import (
    InvalidJobError,
    bearer_key,
    decode_job_body,
    encode_pending,
    encode_state,
    is_job_id,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from toucandoor.adapters.job_service import JobService, JobStatus
    from toucandoor.adapters.node_metrics import NodeMetrics
    from toucandoor.adapters.wsgi import Environ, StartResponse
    from toucandoor.clock import Clock
    from toucandoor.core.admission.submission import Rejection, SubmissionPolicy
    from toucandoor.core.jobs.configuration import JobConfiguration, JobQueue
    from toucandoor.core.jobs.models import JobSpec

_LOGGER = logging.getLogger(__name__)

_T = TypeVar("_T")

DEADLINE_HEADER: Final = "HTTP_X_TOUCANDOOR_DEADLINE_MS"
DEFAULT_TIMEOUT_S: Final = 3.0
"""Time-out of a caller that sends no deadline header; the usual time-out of a queue."""
ANSWER_MARGIN_S: Final = 0.3
"""Part of a caller's time-out that is left for the answer to reach it."""
NO_JOB: Final = JobId("")
RETRY_AFTER_S: Final = 1
"""Retry-After if this node could not store a job although the store has answered it recently. A
retry goes to another entry VM, which may reach the store."""
RECORD_TO_BODY_RATIO: Final = 2
"""Size of a job's record to that of its submission, at most; the record has longer names."""
UNKNOWN_REASON: Final = "overloaded; whether it is stored is unknown"
"""Reason of a refusal if the store doesn't tell whether an earlier try was stored."""


class _HttpError(Exception):
    """Ends a call with an error status and a reason."""

    def __init__(self, status: int, reason: str, retry_after_s: int | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


class _CallLabels:
    """Queue, team, kind and outcome of a call for its metrics, as far as they are known."""

    queue: str = ""
    team: str = ""
    kind: CallKind = CallKind.OTHER
    outcome: str = "ok"


class _AskedQueue(NamedTuple):
    """Queue that a caller asks, by the configuration in force.

    Attributes:
        configuration: The configuration.
        queue: The queue.
        host: Host that the caller has named.
    """

    configuration: JobConfiguration
    queue: JobQueue
    host: str

    def has(self, status: JobStatus) -> bool:
        """Return whether a job is of this queue, whatever name the queue had before."""
        return self.configuration.owns_job(self.queue, self.host, status.address, status.queue)


class JobApi:
    """WSGI application to submit, query and cancel jobs.

    Args:
        jobs: Service that stores and reads the jobs.
        configuration: Returns the configuration in force; None before the first.
        clock: The clock.
        metrics: Metrics of the process.
        store_reachable: Whether the store has answered this node recently.
        submissions: Decides whether a job is accepted; None to accept all.
        outages: Lengths of the store's outages; None if they aren't known.
        value_bytes_max: Largest value of the store.

    Attributes:
        outcomes: Counts what callers got.
    """

    def __init__(
        self,
        jobs: JobService,
        configuration: Callable[[], JobConfiguration | None],
        clock: Clock,
        metrics: NodeMetrics,
        store_reachable: Callable[[], bool],
        submissions: SubmissionPolicy | None = None,
        outages: StoreOutages | None = None,
        value_bytes_max: int = DEFAULT_VALUE_BYTES_MAX,
    ) -> None:
        self._value_bytes_max = value_bytes_max
        self._outages = outages or StoreOutages()
        self._submissions = submissions or AcceptAll()
        self._store_reachable = store_reachable
        self._metrics = metrics
        self.outcomes = CallerOutcomes(metrics)
        self._jobs = jobs
        self._configuration = configuration
        self._clock = clock

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one call."""
        started_s = self._clock.monotonic_s()
        labels = _CallLabels()
        self.outcomes.begin()
        status = 500
        try:
            body = self._answer(environ, labels)
            status = 200
        except _HttpError as err:
            status = err.status
            fields = _log_fields(environ) | {"status": err.status, "reason": err.reason}
            _LOGGER.info("callers: call refused", extra=fields)
            headers = []
            if err.retry_after_s is not None:
                headers.append(("Retry-After", str(err.retry_after_s)))
            answer = respond_json(start_response, err.status, {"error": err.reason}, headers)
            labels.outcome = str(status)
        except Exception:
            self.outcomes.abandon(labels.kind, str(status))
            raise
        else:
            answer = respond(start_response, 200, body, "application/json")
        finally:
            seconds = self._clock.monotonic_s() - started_s
            method = str(environ.get("REQUEST_METHOD", ""))
            self._metrics.record_caller_call(labels.queue, labels.team, method, status, seconds)
        return self.outcomes.deliver(labels.kind, labels.outcome, _log_fields(environ), answer)

    def _answer(self, environ: Environ, labels: _CallLabels) -> bytes:
        configuration = self._configuration()
        if configuration is None:
            raise _HttpError(503, "no configuration yet", RETRY_AFTER_S)
        host = str(environ.get("HTTP_HOST", "")).split(":")[0]
        path = str(environ.get("PATH_INFO", ""))
        queue = configuration.queue_for(host, path)
        if queue is None:
            raise _HttpError(404, "no such queue")
        labels.queue = queue.name
        team = labels.team = self._authenticate(environ, configuration, queue)
        method = str(environ["REQUEST_METHOD"])
        job_part = path.removeprefix(queue.path_prefix)
        if not job_part and method == "GET":
            labels.kind = CallKind.WAITING_JOBS
            count = self._read_store(lambda: self._jobs.pending(queue.name, queue.address))
            return encode_pending(count)
        if not is_job_id(job_part):
            raise _HttpError(400, "the path ends in no job id")
        job_id = JobId(job_part)
        asked = _AskedQueue(configuration, queue, host)
        wait_s = _caller_timeout_s(environ) - ANSWER_MARGIN_S
        until_s = self._clock.monotonic_s() + wait_s
        if method == "POST":
            labels.kind = CallKind.SUBMISSION
            return self._submit(environ, configuration, queue, team, job_id, until_s)
        if method == "GET":
            labels.kind = CallKind.STATE
            return self._job_state(asked, job_id, labels)
        if method == "DELETE":
            labels.kind = CallKind.CANCELLATION
            return self._cancel(asked, job_id, until_s)
        raise _HttpError(405, "no such method")

    def _authenticate(
        self, environ: Environ, configuration: JobConfiguration, queue: JobQueue
    ) -> TeamId:
        team = configuration.team_of(_caller_key(environ))
        if team is None and not queue.public:
            raise _HttpError(401, "unknown key")
        return team or TeamId("")

    def _submit(
        self,
        environ: Environ,
        configuration: JobConfiguration,
        queue: JobQueue,
        team: TeamId,
        job_id: JobId,
        until_s: float,
    ) -> bytes:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > configuration.body_bytes_max:
            raise _HttpError(413, "the body is too large")
        body = environ["wsgi.input"].read(length)
        accepted_unix_ms = int(self._clock.now().timestamp() * 1000)
        try:
            digest = key_digest(_caller_key(environ)) if team else NO_KEY
            spec = decode_job_body(body, job_id, queue, team, accepted_unix_ms, digest)
        except InvalidJobError as fault:
            raise _HttpError(400, fault.reason) from fault
        large = RECORD_TO_BODY_RATIO * length > self._value_bytes_max
        if large and len(encode(spec)) > self._value_bytes_max:
            # The store would refuse it each time that the caller repeats the submission.
            raise _HttpError(413, "the job is too large to be stored")
        rejection = self._submissions.rejection(spec)
        if rejection is None:
            outcome = self._jobs.submit(spec, until_s)
        else:
            self._refuse_unless_stored(spec, rejection)
            outcome = WriteOutcome.STORED
        _LOGGER.info(
            "callers: submission of a job: %s",
            outcome.value,
            extra={
                "request": str(environ.get("HTTP_REQUEST_ID", "")),
                "job": job_id,
                "queue": queue.name,
                "team": team,
                "configuration": configuration.version,
                "steps": len(spec.steps),
                "tasks": sum(step.count for step in spec.steps),
            },
        )
        self._check_outcome(outcome, job_id)
        return b"{}"

    def _refuse_unless_stored(self, spec: JobSpec, rejection: Rejection) -> None:
        """Refuse a job, unless an earlier try has stored it, possibly at another node."""
        try:
            status = self._jobs.status(spec.job_id)
        except (ToucandoorError, msgspec.MsgspecError) as err:
            self._metrics.record_refusal(spec.queue, spec.team, 504, UNKNOWN_REASON)
            raise _HttpError(504, UNKNOWN_REASON) from err
        if status is None:
            self._metrics.record_refusal(spec.queue, spec.team, rejection.status, rejection.reason)
            raise _HttpError(rejection.status, rejection.reason, rejection.retry_after_s)

    def _job_of_queue(self, asked: _AskedQueue, job_id: JobId) -> JobStatus:
        """Return the status of a job of the queue that the caller asks."""
        status = self._read_store(lambda: self._jobs.status(job_id), job_id)
        if status is None:
            raise _HttpError(410, "no such job")
        if not asked.has(status):
            _LOGGER.info(
                "callers: the job is of another queue",
                extra={
                    "job": job_id,
                    "queue": asked.queue.name,
                    "address": asked.queue.address,
                    "job_queue": status.queue,
                    "job_address": status.address,
                },
            )
            raise _HttpError(410, "no such job")
        return status

    def _job_state(self, asked: _AskedQueue, job_id: JobId, labels: _CallLabels) -> bytes:
        status = self._job_of_queue(asked, job_id)
        labels.outcome = status.state.value
        if status.state in (JobState.FAILED, JobState.CANCELLED):
            _LOGGER.info(
                "callers: a job is shown as %s",
                status.state.value,
                extra={"job": job_id, "queue": asked.queue.name, "team": labels.team},
            )
        return encode_state(status.state)

    def _cancel(self, asked: _AskedQueue, job_id: JobId, until_s: float) -> bytes:
        self._job_of_queue(asked, job_id)
        outcome = self._jobs.cancel(job_id, until_s)
        _LOGGER.info(
            "callers: cancellation of a job: %s",
            outcome.value,
            extra={"job": job_id, "queue": asked.queue.name},
        )
        self._check_outcome(outcome, job_id)
        return b"{}"

    def _read_store(self, action: Callable[[], _T], job_id: JobId = NO_JOB) -> _T:
        try:
            return action()
        except (ToucandoorError, msgspec.MsgspecError) as err:
            reason = f"the store does not answer: {err}"
            raise _HttpError(503, reason, self._retry_after_s(job_id)) from err

    def _check_outcome(self, outcome: WriteOutcome, job_id: JobId) -> None:
        if outcome is WriteOutcome.NOT_STORED:
            reason = "the store does not take it; it has not run"
            raise _HttpError(503, reason, self._retry_after_s(job_id))
        if outcome is WriteOutcome.UNKNOWN:
            raise _HttpError(504, "whether it is stored is unknown")

    def _retry_after_s(self, job_id: JobId) -> int:
        if self._store_reachable() and not self._outages.unavailable:
            return RETRY_AFTER_S
        return self._outages.retry_after_s(self._clock.monotonic_s(), job_id)


def _caller_key(environ: Environ) -> str:
    return bearer_key(str(environ.get("HTTP_AUTHORIZATION", "")))


def _caller_timeout_s(environ: Environ) -> float:
    try:
        return float(environ[DEADLINE_HEADER]) / 1000
    except (KeyError, ValueError):
        return DEFAULT_TIMEOUT_S


def _log_fields(environ: Environ) -> dict[str, str]:
    return {
        "method": str(environ.get("REQUEST_METHOD", "")),
        "host": str(environ.get("HTTP_HOST", "")),
        "path": str(environ.get("PATH_INFO", "")),
        "request": str(environ.get("HTTP_REQUEST_ID", "")),
    }
