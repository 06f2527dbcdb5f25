"""Why a task has no run, and what it waits for."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class LastEnd(Enum):
    """How the last run of a task ended."""

    NEVER_STARTED = "never started"
    FORMER_OWNER = "known only from a former owner's record"
    MAINTENANCE = "stopped for a maintenance wave"
    MOVE = "stopped for a move of its VM"
    EVACUATION = "stopped for an evacuation"
    DRAINING = "stopped on a draining server"
    STOPPED = "stopped"
    ENDED = "ended by itself"
    NOT_REPORTED = "its server does not report it"
    SERVER_LOST = "lost with its server"
    LEASE_EXPIRED = "its server was silent until its lease expired"
    SERVER_SILENT = "its server does not answer"


class WaitCause(Enum):
    """What a task without a run waits for."""

    NEXT_PLACEMENT = "the next placement"
    NO_ROOM = "room in its pool"
    NO_SERVER = "a server that may get tasks"
    NO_MATCH = "a server with its label or ticket"
    CEILING = "its team's ceiling"
    ADVISER = "the adviser"
    PER_SERVER_LIMIT = "a server below the step's limit"
    APART = "a server without tasks that may crash it"
    DELAYED = "the earliest time of its next start"
    RECORD_SIZE = "room in its job's record"
    RECORD = "its record in the store"
    START_SENT = "its start to be sent"
    START_ANSWERED = "the answer to its start"
    FORMER_RUN = "the first report on a former owner's run"
    SILENT_SERVER = "a run that counts as live on a silent server"
    STOP = "a stop under way"


class EndedGap(NamedTuple):
    """A time without a run that has ended.

    Attributes:
        gap_s: Its length.
        last_end: How the run before it ended.
        waited_for: What the task waited for most of that time.
    """

    gap_s: float
    last_end: LastEnd
    waited_for: WaitCause
