"""Identifiers used across the system."""

from __future__ import annotations

from typing import NewType

DataCentreId = NewType("DataCentreId", str)
RackId = NewType("RackId", str)
PoolId = NewType("PoolId", str)
TeamId = NewType("TeamId", str)
QueueId = NewType("QueueId", str)
QueueAddress = NewType("QueueAddress", str)
"""Host and path prefix of a queue, by which callers reach it whatever its name."""
KeyId = NewType("KeyId", str)
KeyDigest = NewType("KeyDigest", str)
"""Shortened digest of an API key, which identifies a team whatever its name."""

VmId = NewType("VmId", str)
"""VM of the shared fleet, on which a backend server runs."""

EntryId = NewType("EntryId", str)
"""Entry VM of the system itself; the id stays the same across restarts."""

IncarnationId = NewType("IncarnationId", int)
"""One start of a process at an entry VM; grows with each start."""

RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
"""One dispatch of a request to a backend server, which uses it as the id of its task."""

ConfigVersion = NewType("ConfigVersion", int)
OperationId = NewType("OperationId", str)
"""One change by an operator or planner; its result can be looked up if the answer was lost."""

JobId = NewType("JobId", str)
"""Job, named by its caller; submitting the same id twice creates one job."""

WorkerId = NewType("WorkerId", str)
"""One start of a backend server; a restart in place may keep the id, with a later boot time."""

StoreLeaseId = NewType("StoreLeaseId", int)
"""Lease of the platform's store; the keys written under it are deleted when it ends."""

FencingToken = NewType("FencingToken", int)
"""Grows with each change of the schedule's owner; backend servers refuse calls with a lower one."""
