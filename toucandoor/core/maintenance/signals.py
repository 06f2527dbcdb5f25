"""Pausing of maintenance waves while the quality of service is bad."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from toucandoor.core.maintenance.models import MaintenanceSettings, ServiceSignals


class SignalGate:
    """Pauses waves on a bad or missing signal; resumes after ``resume_after_s`` of good ones.

    The first signals, if good, allow waves at once.
    """

    def __init__(self, settings: MaintenanceSettings) -> None:
        self._settings = settings
        self._received_s: float | None = None
        self._good_since_s: float | None = None
        self._reason: str | None = "no service signals yet"

    def on_signals(self, signals: ServiceSignals, now_s: float) -> None:
        """Handle the entries' latest signals."""
        reason = self._bad_signal(signals)
        first = self._received_s is None
        gap = (
            self._received_s is not None
            and now_s - self._received_s > self._settings.signals_age_max_s
        )
        self._received_s = now_s
        if reason is not None:
            self._reason, self._good_since_s = reason, None
            return
        if self._good_since_s is None or gap:
            self._good_since_s = now_s
        if first or now_s - self._good_since_s >= self._settings.resume_after_s:
            self._reason = None

    def reason(self, now_s: float) -> str | None:
        """Return why no new stop may start; None when it may."""
        if self._received_s is None or now_s - self._received_s > self._settings.signals_age_max_s:
            self._good_since_s = None
            return self._reason or "the entries' service signals are too old"
        return self._reason

    def _bad_signal(self, signals: ServiceSignals) -> str | None:
        if signals.urgent_late_ratio > self._settings.urgent_late_max_ratio:
            return "urgent requests start late"
        if signals.share_error_ratio > self._settings.share_error_max_ratio:
            return "teams are short of their shares"
        return None
