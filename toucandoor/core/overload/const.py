"""Intervals and limits of the overload report and of admission by it."""

from __future__ import annotations

from typing import Final

REPORT_INTERVAL_S: Final = 0.5
"""Shortest time between two reports of an owner."""
REPORT_AGE_S_MAX: Final = 2.5
"""Age at which a report no longer counts: a new owner takes about as long to write its first."""
REPORT_BYTES_MAX: Final = 16_384
"""Largest report. It holds the waits of 230 pairs of team and queue with names of 20 letters."""
LATE_OBJECTIVES_MAX: Final = 3.0
"""Objectives within which a job must be done to be of any use to its caller."""
BUSY_S_MIN: Final = 1.5
"""Time for which work that can still be done in time must use all capacity before a job is refused.
A report may be 0.5 s old when the next one is written, and refused callers return after a second,
so that no capacity stays unused because of refusals."""
STARTS_WINDOW_S: Final = 1.0
"""Time over which the starts of a team are observed before its jobs may be refused; about the time
for which a new job can still meet its objective."""
STARTED_SHARE_MIN: Final = 0.5
"""Core-seconds that a team must have started in that time for each core of its ceiling. A ceiling
that long tasks use without a start shows nothing about who is next."""
STARTS_MAX: Final = 2048
"""Most starts kept for a team in a pool; an owner plans about as many in a second for all teams."""
LATER_SHARE_MAX: Final = 0.1
"""Share of the work started in that time that may have had its turn after a refused job: narrow
tasks that use room into which no other task fits."""
NUMBER_MAX: Final = 1e6
"""Largest plausible number of seconds or core-seconds in a report."""
ESTIMATES_AGE_S_MAX: Final = 2.5
"""Age up to which the owner uses its estimates of a job that has not changed: four reports."""
