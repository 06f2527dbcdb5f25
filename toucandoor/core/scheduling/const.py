"""Timeouts, limits and weights of the scheduler."""

from __future__ import annotations

from typing import Final

WORKER_CLOCK_DRIFT_RATIO: Final = 0.02
"""A backend server's steady clock may be this much slow, by the platform's protocol."""
LAPSE_MARGIN_S: Final = 0.3
"""Added to a lease's computed end: the longest time that a kill takes, and rounding."""
HOLD_WAIT_S: Final = 1.0
"""How long a backend server may keep a long poll; a sixth of the longest lease, and bounds how long
a server that has gone dark is taken for sound."""
CLOSE_LOOK_S: Final = 0.5
"""Wait of a hold where tasks in the leftovers may disturb others; the tails listed are of the last
half second."""
HOLD_RETRY_S: Final = 0.3
"""Pause after a hold without an answer."""
HOLD_UNCOMMITTED_S: Final = 1.0
"""Pause between holds while ends wait for the store; a listing would only repeat them."""
START_RETRY_S: Final = 0.05
"""Pause before a start without an answer is sent again under the same attempt; the wait for the
answer was pause enough."""
UNANSWERED_PAUSE_S: Final = 0.5
"""Pause for a backend server that has answered nothing since a start was sent to it."""
START_RETRIES_MAX: Final = 3
"""Starts without an answer after which the run is stopped and planned elsewhere."""
STOP_RETRY_S: Final = 0.5
"""Pause before a stop without an answer is sent again."""
NO_ROOM_PAUSE_S: Final = 0.3
"""Pause for a backend server that had less room than computed; a stop frees room in less."""
UNHEALTHY_PAUSE_S: Final = 1.0
"""Pause for a backend server that refused an order as unhealthy."""
COMMIT_JOBS_MAX: Final = 14
"""Jobs in one write: each needs an expected revision and a value, beside the owner's own record,
and the store takes 32 entries."""
COMMITS_IN_FLIGHT_MAX: Final = 3
"""Writes of progress under way at once, so that a slow answer does not hold up other jobs."""
EARLY_MARGIN_S: Final = 0.02
"""How long after its due time an occurrence starts; clocks of VMs differ a little."""
PENDING_EVERY_S: Final = 0.7
"""Least time between two counts of waiting jobs; callers may be shown one of two seconds ago."""
ARRIVAL_WINDOW_S: Final = 1.0
"""Over how long the rate of arriving work is taken: several jobs at a queue's turn, and short
beside the time that a VM's move takes."""
FAILURE_WINDOW_S: Final = 6.0
"""How long a failed run speaks against its backend server."""
FAILURES_TO_SUSPECT: Final = 2
"""Failed runs of different jobs within the window after which a server gets no new tasks."""
SUSPECT_PAUSE_S: Final = 3.0
"""Pause of a suspected server before one task probes it."""
