"""Limits and intervals of the fair order."""

from __future__ import annotations

from typing import Final

BURST_S: Final = 2.0
"""Time of its rate that a team may hand in at once."""
BURST_JOBS_MIN: Final = 2.0
"""Jobs that a team may hand in at once whatever its rate; callers start some jobs in pairs."""
JOBS_PER_S_MAX: Final = 10_000.0
"""Largest plausible rate of a team. It is far above what one owner can schedule."""
USEFUL_OBJECTIVES: Final = 3.0
"""Objectives after which a job's result is of no use to its caller."""
DEADLINE_EVERY: Final = 4
"""Of the capacity given out in a pool during a shortage, one part in so many goes to the jobs with
the least time left until their latest start."""
LEVEL_S: Final = 2.0
"""Teams whose service differs by less than what their shares give in this time count as level, and
the job with the least work left goes first among them. Without it a pick among many teams is close
to arbitrary, and fewer jobs are done in time. As long as the burst that a rate allows."""
LOOK_AHEAD_S: Final = 1.0
"""Time ahead at which virtual times are compared: runs that have just been planned count at once,
before they have received any service. About the run time of a short task."""
SHORTAGE_END_S: Final = 1.0
"""Time without a step left waiting after which a shortage has ended; four reviews of a pool."""
