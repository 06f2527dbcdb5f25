"""Messages between controllers, and on leases between a controller and its entry."""

from __future__ import annotations

from toucandoor.core.leases.models import Poll, PollAnswer
from toucandoor.messages import Message


class PeerPoll(Message, frozen=True, tag="poll"):
    """Heartbeat; see `Poll`."""

    poll: Poll


class PeerPollAnswer(Message, frozen=True, tag="polled"):
    """Answer to a heartbeat; see `PollAnswer`."""

    answer: PollAnswer


class ContentAsk(Message, frozen=True, tag="content_ask"):
    """Ask a peer for its newest configuration.

    Attributes:
        version: Version whose parts the asker has, 0 for none.
    """

    sequence: int
    version: int


class ContentAnswer(Message, frozen=True, tag="content"):
    """A peer's newest configuration.

    Attributes:
        head: The head record as stored; empty when the peer has none.
        parts: Texts of the parts, by their names in the store, that the asker lacks.
    """

    sequence: int
    head: str
    parts: dict[str, str]


class PeerGoodbye(Message, frozen=True, tag="goodbye"):
    """The sender's VM starts no keyed work any more under this incarnation."""

    sender: str
    incarnation: int


class LeaseAsk(Message, frozen=True, tag="lease_ask"):
    """An entry's question to its controller, with the version it has in force."""

    sequence: int
    version: int


class LeaseAnswer(Message, frozen=True, tag="lease"):
    """How long from its question the entry may start keyed work; 0 renews nothing."""

    sequence: int
    left_s: float


class EntryGoodbye(Message, frozen=True, tag="entry_goodbye"):
    """The entry starts no keyed work any more."""
