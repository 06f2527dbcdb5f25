"""Envelope that carries ceiling messages between the processes of one data centre."""

from __future__ import annotations

from toucandoor.core.ceilings.models import (
    EpochReport,
    EpochStart,
    JoinRequest,
    LeaveNotice,
    LoanAnswer,
    LoanRequest,
    Member,
    PermitStatus,
    PermitTransfer,
    PermitTransferAck,
)
from toucandoor.messages import Message


class CeilingEnvelope(Message, frozen=True, tag="ceiling_mail"):
    """A ceiling message and the member it is addressed to."""

    to: Member
    message: (
        PermitStatus
        | PermitTransfer
        | PermitTransferAck
        | JoinRequest
        | EpochStart
        | EpochReport
        | LeaveNotice
        | LoanRequest
        | LoanAnswer
    )
