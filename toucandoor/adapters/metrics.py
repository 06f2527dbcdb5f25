"""Prometheus metrics of a process, and its pages for health, readiness and metrics."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from aioprometheus import REGISTRY, Counter, Gauge, Histogram, render

from toucandoor.adapters.wsgi import respond
from toucandoor.core.configuration.const import DEFAULT_URGENT_START_TARGET_S
from toucandoor.core.maintenance.urgent_starts import UrgentStartWindow
from toucandoor.core.requests.models import RequestClass
from toucandoor.messages import ServiceReport

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from toucandoor.adapters.wsgi import Environ, StartResponse, WsgiApp

_BUCKETS_S = [0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 1.3, 2.5, 5.0, 15.0, 60.0, 300.0]


class EntryMetrics:
    """Metrics of an entry, by team and request class.

    Attributes:
        urgent_target_s: Time in seconds within which an urgent request must start.
    """

    def __init__(self) -> None:
        self._answer_s = Histogram(
            "toucandoor_request_seconds",
            "Time from arrival to the final answer",
            buckets=_BUCKETS_S,
        )
        self._start_s = Histogram(
            "toucandoor_start_seconds",
            "Time from arrival to the first dispatch",
            buckets=_BUCKETS_S,
        )
        self._answers = Counter("toucandoor_answers_total", "Final answers by status and fate")
        self._urgent = UrgentStartWindow()
        self._urgent_lock = threading.Lock()
        self.urgent_target_s = DEFAULT_URGENT_START_TARGET_S
        self._in_flight = Gauge("toucandoor_requests", "Requests waiting and running")

    def record_start(self, team: str, request_class: str, seconds: float) -> None:
        """Record a request's first dispatch, ``seconds`` after its arrival."""
        self._start_s.observe({"team": team, "class": request_class}, seconds)
        if request_class == RequestClass.URGENT.value:
            late = seconds > self.urgent_target_s
            with self._urgent_lock:
                self._urgent.record_start(late=late, now_s=time.monotonic())

    def service_report(self) -> ServiceReport:
        """Return how many urgent requests started recently, and how many of them too late."""
        with self._urgent_lock:
            started, late = self._urgent.counts(time.monotonic())
        return ServiceReport(started, late)

    def record_answer(
        self, team: str, request_class: str, status: int, fate: str, seconds: float
    ) -> None:
        """Record a final answer, ``seconds`` after the request's arrival."""
        labels = {"team": team, "class": request_class}
        self._answer_s.observe(labels, seconds)
        self._answers.inc(labels | {"status": str(status), "fate": fate})

    def set_in_flight(self, counts: dict[str, int]) -> None:
        """Set the number of requests in each state."""
        for state, count in counts.items():
            self._in_flight.set({"state": state}, count)


def make_ops_app(ready: Callable[[], str], refresh: Callable[[], None]) -> WsgiApp:
    """Return the application for health, readiness and metrics.

    Args:
        ready: Returns the reason why the process is not ready; empty when it is ready.
        refresh: Called before metrics are rendered.
    """

    def app(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == "/healthz":
            return respond(start_response, 200, b"ok\n", "text/plain")
        if path == "/readyz":
            reason = ready()
            status = 503 if reason else 200
            return respond(start_response, status, f"{reason or 'ok'}\n".encode(), "text/plain")
        if path == "/metrics":
            refresh()
            content, headers = render(REGISTRY, [environ.get("HTTP_ACCEPT", "text/plain")])
            content_type = headers.get("Content-Type", "text/plain")
            return respond(start_response, 200, content, content_type)
        return respond(start_response, 404, b"no such page\n", "text/plain")

    return app
