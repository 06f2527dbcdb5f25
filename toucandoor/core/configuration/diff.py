"""Differences between two configurations."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator

    from toucandoor.core.configuration.models import Configuration


@dataclass(frozen=True, slots=True)
class Difference:
    """Value that differs between two configurations.

    Attributes:
        key: Dotted path of the value.
        before: Value in force; None where there is none.
        after: Proposed value; None where there is none.
    """

    key: str
    before: Any
    after: Any

    def __str__(self) -> str:
        if self.before is None:
            return f"+ {self.key} = {self.after!r}"
        if self.after is None:
            return f"- {self.key} = {self.before!r}"
        return f"~ {self.key}: {self.before!r} -> {self.after!r}"


def differences(before: Configuration, after: Configuration) -> list[Difference]:
    """Return all values that differ, sorted by path."""
    flat_before = dict(_flatten("", before.model_dump(mode="json")))
    flat_after = dict(_flatten("", after.model_dump(mode="json")))
    return [
        Difference(key, flat_before.get(key), flat_after.get(key))
        for key in sorted(flat_before.keys() | flat_after.keys())
        if flat_before.get(key) != flat_after.get(key)
    ]


def _flatten(path: str, value: Any) -> Iterator[tuple[str, Any]]:
    if not isinstance(value, dict):
        yield path, sorted(value) if isinstance(value, list) else value
        return
    for key, child in value.items():
        yield from _flatten(f"{path}.{key}" if path else key, child)
