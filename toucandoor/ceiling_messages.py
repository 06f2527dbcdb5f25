"""Messages that carry the ceilings' messages between the processes of one data centre."""

from __future__ import annotations

from toucandoor.core.ceilings.models import (
    EpochReport,
    EpochStart,
    JoinRequest,
    LeaveNotice,
    Member,
    PermitStatus,
    PermitTransfer,
    PermitTransferAck,
)
from toucandoor.messages import Message


class CeilingMail(Message, frozen=True, tag="ceiling_mail"):
    """One message of the ceilings and the member it goes to."""

    to: Member
    message: (
        PermitStatus
        | PermitTransfer
        | PermitTransferAck
        | JoinRequest
        | EpochStart
        | EpochReport
        | LeaveNotice
    )
