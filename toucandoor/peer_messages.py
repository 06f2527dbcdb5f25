"""Messages between controllers, and messages on leases between a controller and its entry."""

from __future__ import annotations

from toucandoor.core.leases.models import Poll, PollAnswer
from toucandoor.messages import Message


class PeerPoll(Message, frozen=True, tag="poll"):
    """Poll of a peer; see `Poll`."""

    poll: Poll


class PeerPollAnswer(Message, frozen=True, tag="polled"):
    """Answer to a poll; see `PollAnswer`."""

    answer: PollAnswer


class ContentQuery(Message, frozen=True, tag="content_ask"):
    """Asks a peer for its newest configuration.

    Attributes:
        sequence: Number that the answer repeats.
        version: Version whose parts the sender has, 0 for none.
    """

    sequence: int
    version: int


class ContentAnswer(Message, frozen=True, tag="content"):
    """Newest configuration of a peer; the answer to `ContentQuery`.

    Attributes:
        sequence: Number of the query.
        head: The head record as stored; empty if the peer has none.
        parts: Texts of the parts that the other side lacks, by their names in the store.
    """

    sequence: int
    head: str
    parts: dict[str, str]


class PeerGoodbye(Message, frozen=True, tag="goodbye"):
    """Announces that the sender's VM starts no keyed work any longer under this incarnation."""

    sender: str
    incarnation: int


class LeaseQuery(Message, frozen=True, tag="lease_ask"):
    """Asks the controller to renew the entry's lease.

    Attributes:
        sequence: Number that the answer repeats.
        version: Version that the entry has in force.
    """

    sequence: int
    version: int


class LeaseAnswer(Message, frozen=True, tag="lease"):
    """Lease of the entry in seconds, counted from before it sent its query; 0 if not renewed."""

    sequence: int
    left_s: float


class EntryGoodbye(Message, frozen=True, tag="entry_goodbye"):
    """Announces that the entry process starts no keyed work any longer."""
