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
ARRIVALS_WINDOW_S: Final = 2.0
"""Time over which the accepted jobs of a pool are counted to expect those that follow."""
ARRIVALS_MAX: Final = 4096
"""Most jobs of a pool kept for that."""
DEADLINE_SHARE: Final = 0.25
"""Share of the capacity that the fair order gives by the time left, to jobs of any size."""
UNCLAIMED_SHARE_MIN: Final = 0.05
"""Least share of a pool that is expected to be left for late jobs."""
LOST_S_MIN: Final = 0.5
"""Time of a pool that accepted work must need which has become useless within the window, or will,
before jobs within their teams' rates are refused. At a load of 1.0 it was up to 0.42 s."""
LOST_S_LEFT: Final = 0.05
"""Time of a pool that useless work must still need for refusals to go on. The pool starts it last;
once it has done so, it has room for new jobs."""
SHARE_WINDOW_S: Final = 4.0
"""Time over which the teams' shares are counted: with 2 s, teams below their share were above it by
chance often enough to be refused."""
SHARED_PART: Final = 0.9
"""Part of a pool that is divided into the teams' shares. A team isn't refused below its share; the
rest goes to whoever has jobs that can be started in time."""
SIZES_MAX: Final = 10
"""Most sizes of jobs for which a report has the wait in a queue."""
ACCEPTED_MAX: Final = 1024
"""Most jobs that a node keeps which it has accepted itself."""
NODES_MAX: Final = 64.0
"""Most nodes as which a node extrapolates what it has accepted."""
POOLS_MAX: Final = 128
"""Most pools for which a node keeps its share of the accepted jobs; a deployment has up to 35."""
