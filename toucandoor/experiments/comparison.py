"""Differences between variants, by pairs of plays on the same day and seed."""

from __future__ import annotations

import math
import statistics
from collections import defaultdict
from typing import TYPE_CHECKING, Final, NamedTuple

from toucandoor.experiments.plays import Play, PlayResult, Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

ALL_DAYS: Final = "all days"
MOVED_PARTS_MAX: Final = 4
"""Most parts of the worth that are named in a row of the table."""
_T_95: Final = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23)
"""Two-sided 95 % quantiles of Student's t for 1 to 10 degrees of freedom."""
_T_95_BEYOND: Final = ((15, 2.13), (20, 2.09), (30, 2.04), (60, 2.00), (math.inf, 1.98))
"""Upper bounds of degrees of freedom, and a quantile that is not too small up to each."""


class Difference(NamedTuple):
    """Mean difference of a variant from the baseline.

    Attributes:
        pairs: Number of pairs.
        mean: Mean difference; 0 without pairs.
        half_width: Half width of its 95 % interval; infinite with fewer than two pairs.
    """

    pairs: int
    mean: float
    half_width: float

    @property
    def beyond_noise(self) -> bool:
        """Whether the interval excludes zero."""
        return abs(self.mean) > self.half_width


def difference(values: Sequence[float]) -> Difference:
    """Return the mean of paired differences and its interval."""
    count = len(values)
    mean = statistics.fmean(values) if values else 0.0
    if count < 2:
        return Difference(count, mean, math.inf)
    error = statistics.stdev(values) / math.sqrt(count)
    return Difference(count, mean, _t_95(count - 1) * error)


def _t_95(degrees: int) -> float:
    if degrees <= len(_T_95):
        return _T_95[degrees - 1]
    return next(value for upper, value in _T_95_BEYOND if degrees <= upper)


def table(
    results: Mapping[Play, PlayResult], baseline: str, variants: Iterable[str], days: Sequence[str]
) -> list[str]:
    """Return a Markdown table of the differences from the baseline, and a row for each bad play.

    Pairs of which one play does not count are left out of the means, and have a row of their own.
    """
    lines = [
        "| variant | day | pairs | worth | served | parts that moved most |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for variant in variants:
        if variant == baseline:
            continue
        by_day = {day: _pairs(results, baseline, variant, [day]) for day in days}
        by_day[ALL_DAYS] = [pair for pairs in by_day.values() for pair in pairs]
        for day, pairs in by_day.items():
            worth = difference([other.worth - base.worth for base, other in pairs])
            served = difference(
                [other.parts["served"] - base.parts["served"] for base, other in pairs]
            )
            lines.append(
                f"| {variant} | {day} | {worth.pairs} | {_text(worth)} | {_text(served)}"
                f" | {_moved_parts(pairs)} |"
            )
    lines += [
        f"| {play.variant} | {play.day}, seed {play.seed} | | {result.verdict.value} | |"
        f" {result.reason} |"
        for play, result in results.items()
        if result.verdict is not Verdict.PLAYED
    ]
    return lines


def _pairs(
    results: Mapping[Play, PlayResult], baseline: str, variant: str, days: Sequence[str]
) -> list[tuple[PlayResult, PlayResult]]:
    pairs = []
    for play, other in results.items():
        base = results.get(play._replace(variant=baseline))
        if play.variant != variant or play.day not in days or base is None:
            continue
        if base.verdict is Verdict.PLAYED and other.verdict is Verdict.PLAYED:
            pairs.append((base, other))
    return pairs


def _moved_parts(pairs: Sequence[tuple[PlayResult, PlayResult]]) -> str:
    changes: dict[str, list[float]] = defaultdict(list)
    for base, other in pairs:
        for name in base.parts.keys() | other.parts.keys():
            changes[name].append(other.parts.get(name, 0.0) - base.parts.get(name, 0.0))
    means = {name: statistics.fmean(values) for name, values in changes.items() if name != "served"}
    largest = sorted(means, key=lambda name: -abs(means[name]))[:MOVED_PARTS_MAX]
    return ", ".join(f"{name} {means[name]:+.3f}" for name in largest)


def _text(found: Difference) -> str:
    if not found.pairs:
        return "no pairs"
    width = f" ± {found.half_width:.3f}" if math.isfinite(found.half_width) else ", one pair"
    mark = "" if found.beyond_noise else " (noise)"
    return f"{found.mean:+.3f}{width}{mark}"
