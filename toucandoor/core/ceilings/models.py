"""Messages, records and events of the ceilings."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from toucandoor.ids import (
    ConfigVersion,
    DataCentreId,
    EntryId,
    IncarnationId,
    OperationId,
    TeamId,
)


class Epoch(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Counting period of one data centre's permits; transfers count only within one.

    Attributes:
        term: Raised in the ledger by each new coordinator.
        round: Raised by the coordinator of the term for each count.
    """

    term: int
    round: int


class Member(msgspec.Struct, frozen=True, order=True, array_like=True):
    """One holder of permits.

    Attributes:
        incarnation: Start of the entry's process; the term for a coordinator.
        life: Grows when the same process lost its permits and joined again.
    """

    entry: EntryId
    incarnation: IncarnationId
    life: int = 0


class TeamStatus(msgspec.Struct, frozen=True, array_like=True):
    """What one member holds and could use of one team's permits."""

    held: int
    demand: int


class CeilingMessage(msgspec.Struct, frozen=True, tag_field="type", array_like=True):
    """Base of the messages between members of one data centre."""


class PermitStatus(CeilingMessage, frozen=True, tag="permit_status"):
    """Holdings and demand that changed since the last status, or all of them.

    Attributes:
        whole: Whether teams that are not named hold and want nothing.
    """

    sender: Member
    epoch: Epoch
    teams: dict[TeamId, TeamStatus]
    whole: bool


class PermitTransfer(CeilingMessage, frozen=True, tag="permit_transfer"):
    """Permits that the giver no longer holds; counted once by the taker."""

    giver: Member
    taker: Member
    epoch: Epoch
    sequence: int
    permits: dict[TeamId, int]


class PermitTransferAck(CeilingMessage, frozen=True, tag="permit_transfer_ack"):
    """The taker has counted this transfer."""

    giver: Member
    taker: Member
    epoch: Epoch
    sequence: int


class JoinRequest(CeilingMessage, frozen=True, tag="permit_join_request"):
    """A member asks the coordinator whether it is counted; one that holds nothing gets added.

    Attributes:
        question: Number the answer repeats.
        epoch: Epoch that the member's permits are from; term 0 when it holds nothing.
    """

    member: Member
    question: int
    epoch: Epoch


class EpochStart(CeilingMessage, frozen=True, tag="permit_epoch_start"):
    """The coordinator counts all permits of the data centre anew.

    Attributes:
        members: Everyone whose permits are counted; the receiver's are void when it is missing.
        answer_to: Number of the join request that this answers; 0 when it answers none.
    """

    coordinator: Member
    epoch: Epoch
    members: list[Member]
    answer_to: int = 0


class EpochReport(CeilingMessage, frozen=True, tag="permit_epoch_report"):
    """Permits the member held at the moment it entered the epoch, spent ones included."""

    member: Member
    epoch: Epoch
    held: dict[TeamId, int]


class LeaveNotice(CeilingMessage, frozen=True, tag="permit_leave_notice"):
    """The member holds nothing, runs nothing, and will take nothing any more."""

    member: Member


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message and the member it goes to; the data centre's coordinator by `COORDINATOR_ID`."""

    to: Member
    message: CeilingMessage


class DataCentrePart(msgspec.Struct, frozen=True):
    """One data centre's line of the ledger.

    Attributes:
        term: Term of the coordinator that may write this line.
        parts: Permits of each team that are held in the data centre.
        demand: Permits of each team that the data centre could use.
        members: Everyone in the data centre who may hold permits.
        operation: Last write of the line's coordinator, so that a lost answer can be read back.
    """

    term: int = 0
    parts: dict[TeamId, int] = {}
    demand: dict[TeamId, int] = {}
    members: list[Member] = []
    operation: OperationId = OperationId("")


class Ledger(msgspec.Struct, frozen=True):
    """The store's record of where every team's permits are.

    Attributes:
        version: Configuration that the ceilings were taken from.
        task_lease_s: Longest task lease of any configuration so far.
    """

    version: ConfigVersion = ConfigVersion(0)
    task_lease_s: float = 0.0
    ceilings: dict[TeamId, int] = {}
    data_centres: dict[DataCentreId, DataCentrePart] = {}


@dataclass(frozen=True, slots=True)
class WriteLedger:
    """Swap the ledger, if the store still has the base revision.

    Attributes:
        base_revision: Revision that was read; 0 when the key did not exist.
    """

    ledger: Ledger
    base_revision: int
    operation: OperationId


@dataclass(frozen=True, slots=True)
class EntryGone:
    """An incarnation can never start work again: no lease is ever granted to it any more.

    An entry that finds itself refused takes a new incarnation; see `EntryPermits.restart`.

    Attributes:
        last_task_end_s: Monotonic time by which its last task's lease has run out.
    """

    entry: EntryId
    incarnation: IncarnationId
    last_task_end_s: float


@dataclass(frozen=True, slots=True)
class DataCentreGone:
    """A data centre's lease has run out, so that nothing keyed starts there.

    Attributes:
        judged_s: Monotonic time of the newest word on the lease that the judgement rests on.
        last_task_end_s: Monotonic time by which its last task's lease has run out.
    """

    data_centre: DataCentreId
    judged_s: float
    last_task_end_s: float
