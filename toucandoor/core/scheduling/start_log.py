"""When the start of a run was ordered, and what came back."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from toucandoor.core.scheduling.worker_view import Run


class VmOrder(Enum):
    """An order that ends the backend server on a VM."""

    MAINTENANCE = "maintenance"
    MAINTENANCE_UNANSWERED = "maintenance, not answered"
    MOVE_UNANSWERED = "move, not answered"


@dataclass(slots=True)
class StartLog:
    """When the start of a run was ordered, and what came back.

    Attributes:
        first_s: When it was first ordered, on the monotonic clock; None before that.
        last_s: When it was last ordered.
        answer_age_s: Age of the server's last answer at the first order; None if there was none.
        unanswered: Number of orders whose answer did not arrive in time.
        refused: Number of orders that the server refused.
        withheld: Number of orders that were not sent, as the permission for them had ended.
    """

    first_s: float | None = None
    last_s: float = 0.0
    answer_age_s: float | None = None
    unanswered: int = 0
    refused: int = 0
    withheld: int = 0

    def record_order(self, now_s: float, answered_s: float) -> None:
        """Record that the start is ordered.

        Args:
            now_s: The monotonic time.
            answered_s: When the server last answered any order; 0 for never.
        """
        if self.first_s is None:
            self.first_s = now_s
            self.answer_age_s = now_s - answered_s if answered_s > 0 else None
        self.last_s = now_s


def start_outcomes(run: Run) -> str:
    """Return what came back to the starts of a run, with the number of times.

    Confirmations are left out.
    """
    counts = {
        "no answer": run.start_log.unanswered,
        "no connection": run.starts_undeliverable,
        "refused": run.start_log.refused,
        "withheld": run.start_log.withheld,
    }
    return ", ".join(f"{outcome}: {count}" for outcome, count in counts.items() if count)


def start_fields(run: Run, now_s: float) -> dict[str, object]:
    """Return the log fields that tell why a run may not have begun.

    Fields without a value, such as the age of a start that was never ordered, are left out.
    """
    log, worker = run.start_log, run.worker
    ages_s = {"planned_age_s": now_s - run.created_s}
    if log.first_s is not None:
        ages_s["first_start_age_s"] = now_s - log.first_s
        ages_s["last_start_age_s"] = now_s - log.last_s
    if log.answer_age_s is not None:
        ages_s["answer_age_at_first_start_s"] = log.answer_age_s
    if worker.vm_order is not None:
        ages_s["vm_order_age_s"] = now_s - worker.vm_order_s
    return {
        "begun": run.begun,
        "starts": run.starts_sent,
        "starts_unanswered": run.starts_unanswered,
        "start_outcomes": start_outcomes(run),
        "vm_order": worker.vm_order.value if worker.vm_order is not None else "",
    } | {name: round(age_s, 3) for name, age_s in ages_s.items()}
