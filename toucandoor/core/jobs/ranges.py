"""Compact form of ascending numbers, for records of jobs with many tasks or occurrences."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

NumberRanges = tuple[int | tuple[int, int], ...]
"""Ascending numbers; a pair stands for all numbers from its first to its last."""

RANGE_NUMBERS_MIN: Final = 64
"""Consecutive numbers from which a pair stands for them. Records of usual jobs have none, and can
be read by builds that don't know pairs."""


def to_ranges(numbers: Iterable[int]) -> NumberRanges:
    """Return the compact form of ascending numbers."""
    made: list[int | tuple[int, int]] = []
    consecutive: list[int] = []
    for number in numbers:
        if consecutive and number != consecutive[-1] + 1:
            made += _compact(consecutive)
            consecutive = []
        consecutive.append(number)
    return tuple(made + _compact(consecutive))


def from_ranges(ranges: NumberRanges) -> Iterator[int]:
    """Yield the numbers of a compact form."""
    for each in ranges:
        if isinstance(each, int):
            yield each
        else:
            yield from range(each[0], each[1] + 1)


def _compact(consecutive: list[int]) -> list[int | tuple[int, int]]:
    if len(consecutive) < RANGE_NUMBERS_MIN:
        return [*consecutive]
    return [(consecutive[0], consecutive[-1])]
