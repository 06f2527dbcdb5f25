"""Exceptions of the project."""

from __future__ import annotations


class ToucandoorError(Exception):
    """Base class of all errors of the project.

    Args:
        reason: Short sentence that says what went wrong.
        step: Operation that failed, such as ``store.put``.
        peer: Other side of the operation: an address, an id or a file; empty if there is none.
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
    """A program's settings or an operator's folder are invalid."""


class StoreError(ToucandoorError):
    """The platform's store refused a call or could not be reached."""


class StoreUnavailableError(StoreError):
    """The store did not process the call; nothing was written."""


class StoreRejectedError(StoreUnavailableError):
    """The store rejects the call as invalid; it would reject the same call again."""


class StoreAnswerLostError(StoreError):
    """The call was sent but no answer came; the write may have taken effect."""


class StoredRecordError(StoreError):
    """A record of the store cannot be decoded; the present state stays in force."""


class StoreConflictError(StoreError):
    """A key did not have the revision that a compare-and-swap expected.

    Args:
        revision: Present revision of the key, 0 if the key does not exist.
    """

    def __init__(self, reason: str, *, step: str, peer: str = "", revision: int = 0) -> None:
        super().__init__(reason, step=step, peer=peer)
        self.revision = revision


class MessageError(ToucandoorError):
    """A frame from a peer could not be decoded, or its message was not expected."""


class PeerAuthenticationError(ToucandoorError):
    """A peer or operator sent no secret or a wrong one."""
