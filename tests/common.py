"""Helpers shared by the tests."""

from __future__ import annotations

import json
from dataclasses import asdict, is_dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

from approvaltests import Options, verify

if TYPE_CHECKING:
    from collections.abc import Iterable


def plain(item: Any) -> Any:
    """Return a value as plain JSON types; a dataclass gets its class name as ``kind``."""
    if is_dataclass(item) and not isinstance(item, type):
        return {"kind": type(item).__name__} | {k: plain(v) for k, v in asdict(item).items()}
    if isinstance(item, Enum):
        return item.value
    if isinstance(item, dict):
        return {str(k): plain(v) for k, v in item.items()}
    if isinstance(item, (list, tuple)):
        return [plain(each) for each in item]
    if isinstance(item, (set, frozenset)):
        return sorted(plain(each) for each in item)
    return item


def verify_session(lines: Iterable[Any]) -> None:
    """Compare a session, one JSON object per line, with its approved file."""
    text = "\n".join(json.dumps(plain(line), sort_keys=True) for line in lines)
    verify(text + "\n", options=Options())
