"""Shape of a measurement's result."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass

Figures = dict[str, float | int | str | None]
"""Figures by name; a name ends in its unit, and a value is None where it was not reached."""


@dataclass(frozen=True, slots=True)
class MeasureResult:
    """One measurement.

    Attributes:
        parameters: What was asked for: sizes, counts of requests and faults tried.
        product: Figures of the product.
        baseline: Figures of the baseline in the same run.
        bound: The stated target that the figures are held against.
        holds: Whether the product's figures keep the bound.
    """

    measure: str
    seed: int
    parameters: Figures
    product: Figures
    baseline: Figures
    bound: Figures
    holds: bool

    def to_json(self) -> str:
        """Return the object as one line of JSON."""
        return json.dumps(asdict(self))
