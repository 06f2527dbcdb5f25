"""Reports of played days, as the bench writes them."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from toucandoor.exceptions import ToucandoorError

if TYPE_CHECKING:
    from pathlib import Path


class Play(NamedTuple):
    """One day as one variant plays it.

    Attributes:
        variant: Name of the variant.
        day: Name of the day, or path of its file.
        seed: Seed of the day's random choices.
    """

    variant: str
    day: str
    seed: int

    @property
    def file_name(self) -> str:
        """Name of the file with its report."""
        return f"{self.variant}--{self.day.replace('/', '_')}--{self.seed}.json"


class Verdict(Enum):
    """Whether the figures of a play count."""

    PLAYED = "played"
    RULE_BROKEN = "rule broken"
    GIVEN_UP = "given up"


class _Report(msgspec.Struct):
    # Mean worth of the day, less prices.
    worth: float = msgspec.field(name="G")
    served: float
    parts: list[tuple[str, float, float]]
    # Name, amount, and what is taken off the worth.
    prices: list[tuple[str, float, float]]
    fault: str | None = None
    # Number of breaches of each rule.
    breaks: dict[str, int] = {}


class PlayResult(NamedTuple):
    """Figures of a play.

    Attributes:
        verdict: Whether they count.
        worth: Worth of the day, less prices.
        parts: Parts of the worth by name, served among them, and prices as negative parts.
        reason: The rules broken, or why the play was given up.
    """

    verdict: Verdict
    worth: float = 0.0
    parts: dict[str, float] = {}
    reason: str = ""


class ReportError(ToucandoorError):
    """A report of a play can't be read; the message names its file."""


def read_result(path: Path) -> PlayResult:
    """Read the report of a play.

    Raises:
        ReportError: The file is missing or no such report.
    """
    try:
        report = msgspec.json.decode(path.read_bytes(), type=_Report)
    except (OSError, msgspec.MsgspecError) as err:
        raise ReportError(f"can't be read: {err}", step="report", peer=str(path)) from err
    if report.fault:
        return PlayResult(Verdict.GIVEN_UP, reason=report.fault)
    parts = {"served": report.served}
    parts |= {name: value for name, _, value in report.parts}
    parts |= {f"price: {name}": -value for name, _, value in report.prices}
    if report.breaks:
        broken = ", ".join(f"{name} {count}" for name, count in sorted(report.breaks.items()))
        return PlayResult(Verdict.RULE_BROKEN, report.worth, parts, broken)
    return PlayResult(Verdict.PLAYED, report.worth, parts)
