"""The newest report of the owner, as a node has read it from the store."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from toucandoor.core.overload.const import REPORT_AGE_S_MAX
from toucandoor.core.overload.records import InvalidReportError, decode_report

if TYPE_CHECKING:
    from toucandoor.clock import Clock
    from toucandoor.core.overload.models import LoadReport

_LOGGER = logging.getLogger(__name__)

MS_PER_S = 1000


class FollowedReport:
    """Keeps the newest report; ignores records that are unreadable, or older than the kept one.

    One thread passes in records; others ask for the report.

    Args:
        clock: The clock.

    Attributes:
        ignored: Number of records that were ignored.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._present: tuple[LoadReport, float] | None = None
        self._invalid_logged = False
        self.ignored = 0

    def now_s(self) -> float:
        """Return the monotonic time by which the age of reports is counted."""
        return self._clock.monotonic_s()

    def on_record(self, value: bytes) -> None:
        """Process a record that was read from the store."""
        try:
            report = decode_report(value)
        except InvalidReportError as err:
            self.ignored += 1
            if not self._invalid_logged:
                _LOGGER.warning("overload: a report was ignored: %s", err)
            self._invalid_logged = True
            return
        self._invalid_logged = False
        present = self._present
        if present is not None:
            kept = present[0]
            if (report.token, report.sequence) <= (kept.token, kept.sequence):
                self.ignored += (report.token, report.sequence) < (kept.token, kept.sequence)
                return
        self._present = (report, self._clock.monotonic_s())

    def current(self) -> tuple[LoadReport, float] | None:
        """Return the report and its age in seconds; None if there is none or it is too old.

        The age is the longer one of two: the time since the report was read, and the time since it
        was written by the wall clocks of the owner and of this VM. The first read after a start may
        return a record that was written long ago.
        """
        present = self._present
        if present is None:
            return None
        report, read_s = present
        now_unix_ms = self._clock.now().timestamp() * MS_PER_S
        written_age_s = (now_unix_ms - report.written_unix_ms) / MS_PER_S
        age_s = max(self._clock.monotonic_s() - read_s, written_age_s)
        # A report from the future shows that one of the wall clocks is wrong.
        if age_s > REPORT_AGE_S_MAX or written_age_s < -REPORT_AGE_S_MAX:
            return None
        return report, age_s
