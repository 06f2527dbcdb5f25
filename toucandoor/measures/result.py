"""Result of a measurement, as it is printed."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass

Figures = dict[str, float | int | str | None]
"""Figures by name; a name ends in its unit, and None stands for a value that was not reached."""


@dataclass(frozen=True, slots=True)
class MeasureResult:
    """Result of one measurement.

    Attributes:
        measure: Name of the measurement.
        seed: Seed of all random choices.
        parameters: Conditions: sizes, numbers of requests and of injected faults.
        product: Figures of the product.
        baseline: Figures of the baseline under the same conditions.
        bound: Targets with which the product's figures are compared.
        holds: Whether the product's figures are within the bound.
    """

    measure: str
    seed: int
    parameters: Figures
    product: Figures
    baseline: Figures
    bound: Figures
    holds: bool

    def to_json(self) -> str:
        """Return the result as one line of JSON."""
        return json.dumps(asdict(self))
