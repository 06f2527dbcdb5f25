"""Exception tree of the project."""

from __future__ import annotations


class ToucandoorError(Exception):
    """Base of all errors; says at which step and with which peer it arose.

    Args:
        reason: Short sentence on what went wrong.
        step: What was being done, such as ``store.put``.
        peer: Who was on the other side: an address, an id or a file; empty when nobody was.
    """

    def __init__(self, reason: str, *, step: str, peer: str = "") -> None:
        super().__init__(reason)
        self.reason = reason
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        at = f" at {self.peer}" if self.peer else ""
        return f"{self.step}{at}: {self.reason}"


class SettingsError(ToucandoorError):
    """A program's settings or an operator's folder hold a fault."""


class StoreError(ToucandoorError):
    """The platform's key-value service refused, or could not be reached."""


class StoreUnavailableError(StoreError):
    """The store did not take the call; nothing was written."""


class StoreAnswerLostError(StoreError):
    """The call was sent but no answer came; the write may have taken effect."""


class StoreConflictError(StoreError):
    """A compare-and-swap found another revision than the expected one.

    Args:
        revision: The key's present revision, 0 when the key does not exist.
    """

    def __init__(self, reason: str, *, step: str, peer: str = "", revision: int = 0) -> None:
        super().__init__(reason, step=step, peer=peer)
        self.revision = revision


class MessageError(ToucandoorError):
    """A frame from a peer could not be decoded or is not valid at this point."""


class PeerAuthenticationError(ToucandoorError):
    """A peer or operator showed no secret or a wrong one."""
