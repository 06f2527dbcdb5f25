"""Reads a caller's HTTP request: queue, headers and body; see docs/api.md."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cheroot.errors import MaxSizeExceeded

from toucandoor.adapters.caller_server import ATTR_SENDER_WATCH, ATTR_SOCKET
from toucandoor.core.requests.models import PreemptMethod, RequestClass
from toucandoor.ids import QueueId

if TYPE_CHECKING:
    from toucandoor.adapters.slow_senders import SenderWatch
    from toucandoor.adapters.wsgi import Environ

ATTR_CLASS = "HTTP_TOUCANDOOR_CLASS"
ATTR_DEADLINE_S = "HTTP_TOUCANDOOR_DEADLINE_S"
ATTR_RUN_S = "HTTP_TOUCANDOOR_RUN_S"
ATTR_IDEMPOTENT = "HTTP_TOUCANDOOR_IDEMPOTENT"
ATTR_PREEMPT = "HTTP_TOUCANDOOR_PREEMPT"
ATTR_IDEMPOTENCY_KEY = "HTTP_IDEMPOTENCY_KEY"
DEFAULT_DEADLINE_S = {RequestClass.URGENT: 30.0, RequestClass.PATIENT: 3600.0}
DEADLINE_S_MAX = 24 * 3600.0
"""Longer deadlines of callers are shortened to this."""


class BadRequestError(Exception):
    """The request was refused before it reached the engine; it was not run."""

    def __init__(self, status: int, reason: str, step: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.step = step


def parse_queue(environ: Environ) -> QueueId:
    """Return the queue that a request is sent to.

    Raises:
        BadRequestError: The path or the method is wrong.
    """
    match environ["PATH_INFO"].strip("/").split("/"):
        case ["v1", "queues", queue_id, "requests"]:
            if environ["REQUEST_METHOD"] != "POST":
                raise BadRequestError(405, "requests are sent with POST", "http.method")
            return QueueId(queue_id)
    raise BadRequestError(404, "no such page", "http.path")


def parse_request_class(environ: Environ) -> RequestClass:
    """Return the class of a request; patient by default.

    Raises:
        BadRequestError: The class is unknown.
    """
    text = environ.get(ATTR_CLASS, RequestClass.PATIENT.value)
    try:
        return RequestClass(text)
    except ValueError:
        reason = f"Toucandoor-Class must be urgent or patient, not {text[:40]!r}"
        raise BadRequestError(400, reason, "http.headers") from None


def parse_preempt_method(
    environ: Environ, request_class: RequestClass, idempotent: bool
) -> PreemptMethod | None:
    """Return how a request may be preempted; None if it may not be.

    Raises:
        BadRequestError: The method is unknown, or the request does not allow it.
    """
    text = environ.get(ATTR_PREEMPT)
    if text is None:
        return None
    if text not in [how.value for how in PreemptMethod]:
        reason = f"Toucandoor-Preempt must be checkpoint or stop, not {text[:40]!r}"
        raise BadRequestError(400, reason, "http.headers")
    if request_class is RequestClass.URGENT:
        raise BadRequestError(400, "an urgent request is never preempted", "http.headers")
    if text == PreemptMethod.STOP.value and not idempotent:
        reason = "Toucandoor-Preempt: stop runs the request again; it must be idempotent"
        raise BadRequestError(400, reason, "http.headers")
    return PreemptMethod(text)


def parse_flag(environ: Environ, name: str) -> bool:
    """Return the value of a header that is true or false; false by default.

    Raises:
        BadRequestError: It is neither.
    """
    text = environ.get(name, "false")
    if text not in ("true", "false"):
        reason = f"Toucandoor-Idempotent must be true or false, not {text[:40]!r}"
        raise BadRequestError(400, reason, "http.headers")
    return bool(text == "true")


def parse_seconds(environ: Environ, name: str, default_s: float | None) -> float | None:
    """Return the value of a header in seconds, or the default if it is missing.

    Raises:
        BadRequestError: It is not a positive number.
    """
    text = environ.get(name)
    if text is None:
        return default_s
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds < float("inf"):
        header = name.removeprefix("HTTP_").replace("_", "-").title()
        reason = f"{header} must be a number of seconds above 0, not {text[:40]!r}"
        raise BadRequestError(400, reason, "http.headers")
    return seconds


def read_body(environ: Environ) -> bytes:
    """Return the whole body of a request.

    Raises:
        BadRequestError: The body is too large, torn, late or of unknown length.
    """
    chunked = environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked"
    length_text = environ.get("CONTENT_LENGTH") or ""
    if not chunked and not length_text.isdigit():
        raise BadRequestError(411, "Content-Length is missing", "http.body")
    try:
        body: bytes = environ["wsgi.input"].read(*([] if chunked else [int(length_text)]))
    except MaxSizeExceeded as err:
        raise BadRequestError(413, "the body is too large", "http.body") from err
    except TimeoutError as err:
        raise BadRequestError(408, "the body did not come in time", "http.body") from err
    except Exception as err:  # cheroot raises various types on oversized and truncated bodies
        raise BadRequestError(400, f"the body cannot be read: {err}", "http.body") from err
    watch: SenderWatch | None = environ.get(ATTR_SENDER_WATCH)
    if watch is not None and watch.stop_timer(environ[ATTR_SOCKET]):
        raise BadRequestError(408, "the body did not come in time", "http.body")
    if not chunked and len(body) != int(length_text):
        reason = f"the body is torn: {len(body)} of {length_text} bytes"
        raise BadRequestError(400, reason, "http.body")
    return body
