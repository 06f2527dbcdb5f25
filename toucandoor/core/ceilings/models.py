"""Messages, stored records and events of the ceilings domain."""

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
    """Counting period of one data centre's permits.

    A transfer is valid only in the epoch in which it was sent.

    Attributes:
        term: Raised in the ledger by each new coordinator.
        round: Raised by the coordinator of the term for each count of all permits.
    """

    term: int
    round: int


class Member(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Identity of one holder of permits: an entry process or a coordinator.

    Attributes:
        incarnation: Incarnation of the entry's process; the term for a coordinator.
        generation: Raised each time the same process loses its permits and joins again.
    """

    entry: EntryId
    incarnation: IncarnationId
    generation: int = 0


class TeamStatus(msgspec.Struct, frozen=True, array_like=True):
    """Permits of one team that a member holds and could use.

    Attributes:
        held: Permits the member holds, spent ones included.
        demand: Permits the member could use now.
    """

    held: int
    demand: int


class CeilingMessage(msgspec.Struct, frozen=True, tag_field="type", array_like=True):
    """Base of the messages between members of one data centre."""


class PermitStatus(CeilingMessage, frozen=True, tag="permit_status"):
    """Held permits and demand by team: those that changed since the last status, or all.

    Attributes:
        whole: Whether this is a full status: teams that it does not name have no held permits
            and no demand.
    """

    sender: Member
    epoch: Epoch
    teams: dict[TeamId, TeamStatus]
    whole: bool


class PermitTransfer(CeilingMessage, frozen=True, tag="permit_transfer"):
    """Permits that the giver no longer holds; the taker adds them once.

    Attributes:
        sequence: Raised by the giver with each transfer, to detect duplicates.
    """

    giver: Member
    taker: Member
    epoch: Epoch
    sequence: int
    permits: dict[TeamId, int]


class PermitTransferAck(CeilingMessage, frozen=True, tag="permit_transfer_ack"):
    """Confirms that the taker has added the permits of a transfer."""

    giver: Member
    taker: Member
    epoch: Epoch
    sequence: int


class JoinRequest(CeilingMessage, frozen=True, tag="permit_join_request"):
    """Asks the coordinator to confirm the member's permits, or to add it when it holds none.

    Attributes:
        question: Request number, repeated by the answer.
        epoch: Epoch that the member's permits are from; term 0 when it holds none.
    """

    member: Member
    question: int
    epoch: Epoch


class EpochStart(CeilingMessage, frozen=True, tag="permit_epoch_start"):
    """Announces an epoch, in which the coordinator counts all permits of the data centre.

    Attributes:
        members: Members whose permits are counted; the permits of any other receiver are void.
        answer_to: Number of the join request that this answers; 0 when it answers none.
    """

    coordinator: Member
    epoch: Epoch
    members: list[Member]
    answer_to: int = 0


class EpochReport(CeilingMessage, frozen=True, tag="permit_epoch_report"):
    """Permits that the member held when it entered the epoch, spent ones included."""

    member: Member
    epoch: Epoch
    held: dict[TeamId, int]


class LeaveNotice(CeilingMessage, frozen=True, tag="permit_leave_notice"):
    """Announces that the member has left: it runs nothing, and holds and accepts no permits."""

    member: Member


class LoanRequest(CeilingMessage, frozen=True, tag="permit_loan_request"):
    """Asks a listed member to lend permits to an entry that the ledger does not list yet.

    Attributes:
        lender: The member asked; `PEERS_ID` asks every entry for an offer, which lends nothing.
        question: Raised by the borrower with each request.
        kept: Permits that the borrower spends at most until the answer to this request.
        waiting: Permits of each team that it could use beyond those.
        task_lease_s: Longest task lease that the borrower requests.
    """

    borrower: Member
    lender: Member
    question: int
    kept: dict[TeamId, int]
    waiting: dict[TeamId, int]
    task_lease_s: float


class LoanAnswer(CeilingMessage, frozen=True, tag="permit_loan_answer"):
    """Permits that the borrower may spend from now on.

    Attributes:
        lease_s: Time for which it may spend them, counted from before it sent the request; 0
            refuses, and ends the use of what was lent before.
    """

    lender: Member
    borrower: Member
    question: int
    permits: dict[TeamId, int]
    lease_s: float


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message and its receiver; `COORDINATOR_ID` stands for the data centre's coordinator."""

    to: Member
    message: CeilingMessage


class DataCentrePart(msgspec.Struct, frozen=True):
    """One data centre's line of the ledger.

    Attributes:
        term: Term of the coordinator that may write this line.
        parts: Permits of each team that are held in the data centre.
        demand: Permits of each team that the data centre could use.
        members: Members of the data centre that may hold permits.
        operation: Id of the coordinator's last write; after a lost answer it shows whether the
            write was applied.
        keeps_permits: Whether no other data centre may ever reclaim these permits; not stored
            when unset.
    """

    term: int = 0
    parts: dict[TeamId, int] = {}
    demand: dict[TeamId, int] = {}
    members: list[Member] = []
    operation: OperationId = OperationId("")
    keeps_permits: bool | msgspec.UnsetType = msgspec.UNSET


class Ledger(msgspec.Struct, frozen=True):
    """Stored account of every team's permits, by data centre.

    Attributes:
        version: Version of the configuration that the ceilings come from.
        task_lease_s: Longest task lease of any configuration so far.
        ceilings: Ceiling of each team.
    """

    version: ConfigVersion = ConfigVersion(0)
    task_lease_s: float = 0.0
    ceilings: dict[TeamId, int] = {}
    data_centres: dict[DataCentreId, DataCentrePart] = {}


@dataclass(frozen=True, slots=True)
class WriteLedger:
    """Command to replace the ledger, if the store still holds the base revision.

    Attributes:
        base_revision: Revision that the new ledger is based on; 0 when the key did not exist.
    """

    ledger: Ledger
    base_revision: int
    operation: OperationId


@dataclass(frozen=True, slots=True)
class IncarnationExpired:
    """An incarnation's lease has expired and is never granted again, so it starts no more tasks.

    An entry whose lease is refused takes a new incarnation; see `EntryPermits.restart`.

    Attributes:
        last_task_end_s: Monotonic time by which the lease of its last task has expired.
    """

    entry: EntryId
    incarnation: IncarnationId
    last_task_end_s: float


@dataclass(frozen=True, slots=True)
class DataCentreExpired:
    """A data centre's lease has expired, so that no request with a key starts there.

    Attributes:
        observed_s: Monotonic time of the latest information on the lease behind this event.
        last_task_end_s: Monotonic time by which the lease of its last task has expired.
    """

    data_centre: DataCentreId
    observed_s: float
    last_task_end_s: float
