"""Intervals, margins and limits of the scheduler."""

from __future__ import annotations

from typing import Final

WORKER_CLOCK_DRIFT_RATIO: Final = 0.02
"""Most that a backend server's steady clock may run slow, by the platform's protocol."""
LEASE_EXPIRY_MARGIN_S: Final = 0.3
"""Added to the computed end of a lease: covers the longest time that killing a run takes, and
rounding."""
HEARTBEAT_WAIT_S: Final = 1.0
"""Longest time for which a backend server may keep a heartbeat open. It is a sixth of the longest
lease, and bounds how long a server that no longer answers still counts as usable."""
QUIET_AFTER_S: Final = 1.75
"""Time since the last answer of a backend server after which it must answer a heartbeat before a
run is started on it. One with runs answers sooner, by the longest wait and time-out of a call."""
SHORT_HEARTBEAT_WAIT_S: Final = 0.5
"""Wait of a heartbeat while best-effort tasks may slow down latency-sensitive ones; the reported
tail latencies cover the last half second."""
HEARTBEAT_RETRY_S: Final = 0.3
"""Pause after an unanswered heartbeat."""
HEARTBEAT_RETRY_DOUBLINGS_MAX: Final = 3
"""Failures after each of which that pause doubles, for a backend server without runs. A server that
lives writes its entry in the platform's list before the longest pause has passed."""
UNCOMMITTED_HEARTBEAT_PAUSE_S: Final = 1.0
"""Pause between heartbeats while the effects of reported ends of runs are not yet in the store; a
status report would only repeat those ends."""
RUN_ORDERS_IN_FLIGHT_MAX: Final = 16
"""Most starts and stops in flight to one backend server. It takes calls on a few connections, so
that the time-outs of further ones would pass while they wait to be sent."""
START_ANSWER_S: Final = 0.1
"""Time after which the answer to a start is late; most take some milliseconds."""
START_RETRY_S: Final = 0.05
"""Pause before an unanswered start is sent again under the same attempt number. It is short because
the time-out of the first call has already passed."""
UNANSWERED_PAUSE_S: Final = 0.5
"""Time without new tasks for a backend server that has answered nothing since a start was sent."""
UNANSWERED_START_S_MAX: Final = 15.0
"""Time after which a start without an answer is not carried out any more. By the platform's
protocol that takes some seconds; a lease that such a start may give has no other bound either."""
START_RETRIES_MAX: Final = 3
"""Unanswered starts after which the run is stopped and the task is planned elsewhere."""
COPIED_START_DEADLINE_S: Final = 0.8
"""Time after which a backend server refuses a start of a task that may have copies. Another run may
be done meanwhile, and the platform tolerates a start up to a second later. It is far longer than an
order takes, and a heartbeat has extended the server's lease by then."""
STOP_RETRY_S: Final = 0.5
"""Pause before an unanswered stop is sent again."""
NO_ROOM_PAUSE_S: Final = 0.3
"""Time without new tasks for a backend server that had less free capacity than computed; stopping a
run frees capacity in less time."""
UNHEALTHY_PAUSE_S: Final = 1.0
"""Time without new tasks for a backend server that refused an order as unhealthy."""
REFUSED_TICKET_PAUSE_S: Final = 1.0
"""Time for which the adviser is not asked for a server that has refused its ticket. The ticket may
have expired, or the server may refuse each one."""
DISCARDED_PLANS_TO_WARN: Final = 3
"""Runs of a task, one after the other, that were discarded before they had begun, after which a
warning is logged for each further one."""
TRANSACTION_ENTRIES_MAX: Final = 32
"""Most expected revisions, values and removals in one write, by the store's protocol."""
COMMITS_IN_FLIGHT_MAX: Final = 3
"""Most progress writes in flight at once; several, so that a slow answer does not delay other
jobs."""
LARGE_RECORD_BYTES: Final = 64 * 1024
"""Size from which a job's record is not written with each change, as it takes a while to encode and
to send."""
LARGE_RECORD_BYTES_PER_S: Final = 1_000_000
"""Bytes per second that such a record is written with, at most."""
REJECTED_WRITE_PAUSE_S: Final = 0.1
"""Pause before a job's record is written again that the store has rejected as invalid."""
REJECTED_WRITES_MAX: Final = 9
"""Rejected writes up to each of which that pause doubles, to about half a minute."""
OPEN_OCCURRENCES_MAX: Final = 500
"""Occurrences of a job from the first that is not done to the last whose tasks may run. A job that
is handed in late may have thousands that are due, of which each is considered in each placement."""
DUE_TIME_MARGIN_S: Final = 0.02
"""Delay of an occurrence after its due time, since the clocks of VMs differ slightly."""
BEGUN_WRITE_DELAY_S: Final = 0.6
"""Time from the confirmation of a job's first run until its record is written for that alone, which
shows callers that the job is in progress. Many jobs have ended or changed again by then."""
SETTLED_WRITE_DELAY_S: Final = 1.0
"""Time from the report of a run until its job's record is written for that alone. Until then, a new
owner that finds the run's VM down waits for a whole lease."""
DELAYED_WRITE_INTERVAL_S: Final = 0.25
"""Shortest interval between writes for one of these two alone."""
DELAYED_JOBS_PER_WRITE: Final = 15
"""Most jobs in such a write, with the jobs that have changed; as many as one transaction takes."""
PENDING_WRITE_INTERVAL_S: Final = 0.7
"""Shortest interval between writes of the count of waiting jobs; callers may be given a count that
is up to two seconds old."""
ARRIVAL_WINDOW_S: Final = 1.0
"""Window over which the rate of arriving work is averaged. It contains several jobs of a queue at
peak demand, and is short compared with the time that moving a VM takes."""
FAILURE_WINDOW_S: Final = 6.0
"""Time for which a failed run counts against its backend server."""
FAILING_JOBS_TO_SUSPECT: Final = 2
"""Different jobs with failed runs within the window at which a backend server is suspected and gets
no new tasks."""
HARMLESS_AFTER_S: Final = 3.0
"""Time for which a server must report a run to show that the run does not crash it. Most tasks take
no longer, so that one that crashes its server at its end counts as well."""
LOSSES_TO_ISOLATE: Final = 2
"""Lost runs after which a task gets a server without other runs that may crash it."""
STEADY_AFTER_S: Final = 6.0
"""Time since the start of a server after which it is not one that goes down again and again so
soon that its runs stay suspect: twice the time that clears a task."""
ISOLATION_WAIT_S: Final = 2.0
"""Longest wait for such a server; a task that can run must have a run within three seconds."""
SUSPECT_PAUSE_S: Final = 3.0
"""Time without new tasks for a suspected backend server."""
