"""Interface to the decision whether a node accepts a job, and the baseline that accepts all."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from toucandoor.core.jobs.models import JobSpec


@dataclass(frozen=True, slots=True)
class Rejection:
    """Reason not to accept a job; it has not been stored and has not run.

    Attributes:
        status: HTTP status of the answer.
        reason: Reason for the caller.
        retry_after_s: Time after which a retry is likely to be accepted, in seconds.
    """

    status: int
    reason: str
    retry_after_s: int


class SubmissionPolicy(ABC):
    """Decides whether a job is accepted, before anything of it is stored."""

    @abstractmethod
    def rejection(self, spec: JobSpec) -> Rejection | None:
        """Return why a job must be rejected now; None to accept it."""


class FirstRejection(SubmissionPolicy):
    """Asks several policies in turn; the first rejection counts.

    Args:
        policies: The policies, in the order in which they are asked.
    """

    def __init__(self, policies: Sequence[SubmissionPolicy]) -> None:
        self._policies = tuple(policies)

    def rejection(self, spec: JobSpec) -> Rejection | None:
        """Return the first rejection; None if every policy accepts the job."""
        for policy in self._policies:
            found = policy.rejection(spec)
            if found is not None:
                return found
        return None


class AcceptAll(SubmissionPolicy):
    """Baseline: accepts every job, whatever the load."""

    def rejection(self, spec: JobSpec) -> Rejection | None:
        """Return None."""
        return None
