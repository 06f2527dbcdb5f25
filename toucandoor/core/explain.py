"""Finds the log lines of the nodes about a job, a backend server or a VM."""

from __future__ import annotations

import json
import zlib
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

SUBJECT_FIELDS: Final = {"job": ("job",), "server": ("worker",), "machine": ("vm",)}
"""Log fields that name the subject of a line, by kind of subject."""
FOLLOWED_JOBS_RATIO: Final = 16
"""One job in this many is followed: its lines are written where others are left out."""
_HIDDEN_FIELDS: Final = {"time", "level", "logger", "program", "message"}


def is_followed(job: str) -> bool:
    """Return whether the lines about a job are complete at any load; all nodes agree on it."""
    return zlib.crc32(job.encode()) % FOLLOWED_JOBS_RATIO == 0


def explain(lines: Iterable[str], kind: str, name: str) -> Iterator[str]:
    """Yield one line of text for each log line about a subject, ordered by time.

    Args:
        lines: Log lines of any number of nodes, as JSON objects. The last word before the object
            is taken as the node's name; lines without an object are skipped.
        kind: A key of `SUBJECT_FIELDS`.
        name: The subject's id.
    """
    found: list[tuple[str, str]] = []
    for line in lines:
        node, record = _parse_line(line)
        if record is None or not _is_about(record, kind, name):
            continue
        fields = " ".join(
            f"{key}={value}"
            for key, value in record.items()
            if key not in _HIDDEN_FIELDS and value not in ("", name)
        )
        when = str(record.get("time", ""))
        found.append((when, f"{when} {node} {record.get('message', '')}  {fields}".rstrip()))
    for _, text in sorted(found):
        yield text


def _parse_line(line: str) -> tuple[str, dict[str, Any] | None]:
    begin = line.find("{")
    if begin < 0:
        return "", None
    try:
        record = json.loads(line[begin:])
    except ValueError:
        return "", None  # a line of another program, or a truncated one
    before = line[:begin].split()
    return (before[-1] if before else ""), record if isinstance(record, dict) else None


def _is_about(record: dict[str, Any], kind: str, name: str) -> bool:
    if any(record.get(field) == name for field in SUBJECT_FIELDS[kind]):
        return True
    return kind == "job" and (
        name in str(record.get("path", "")) or f"/{name} " in f"{record.get('message', '')} "
    )
