"""Identifiers used across the system."""

from __future__ import annotations

from typing import NewType

DataCentreId = NewType("DataCentreId", str)
RackId = NewType("RackId", str)
PoolId = NewType("PoolId", str)
TeamId = NewType("TeamId", str)
QueueId = NewType("QueueId", str)
KeyId = NewType("KeyId", str)

VmId = NewType("VmId", str)
"""A VM of the shared fleet; a backend server runs on it."""

EntryId = NewType("EntryId", str)
"""An entry VM of the system itself; stays the same over restarts."""

IncarnationId = NewType("IncarnationId", int)
"""Grows with each start of a process at the same entry VM."""

RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
"""One dispatch of a request to one backend server; the worker's task id."""

ConfigVersion = NewType("ConfigVersion", int)
OperationId = NewType("OperationId", str)
"""Names one change an operator or planner makes, so that a lost answer can be read back."""

JobId = NewType("JobId", str)
"""Chosen by the caller; the same id handed in twice is one job."""

WorkerId = NewType("WorkerId", str)
"""One life of a backend server; a restart in place may keep it, with a later boot time."""

StoreLeaseId = NewType("StoreLeaseId", int)
"""A lease of the platform's store; keys written under it go when it ends."""

FencingToken = NewType("FencingToken", int)
"""Grows with each change of the schedule's owner; backend servers refuse orders of a lower one."""
