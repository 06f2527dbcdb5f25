"""The record of the overload report in the store: its key, encoding and limits."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from toucandoor.core.overload.const import NUMBER_MAX, REPORT_BYTES_MAX
from toucandoor.core.overload.models import LoadReport

if TYPE_CHECKING:
    from collections.abc import Iterator

LOAD_KEY: Final = "load"
"""Key of the owner's latest report. A store may have other keys that start with it."""

_DECODER: Final = msgspec.json.Decoder(LoadReport)


class InvalidReportError(Exception):
    """A record is not a plausible report."""


def encode_report(report: LoadReport) -> bytes:
    """Encode a report within its size limit; the shortest waits are left out if need be."""
    value = msgspec.json.encode(report)
    waits = sorted(report.waits, key=lambda wait: -wait.late_s)
    within = sorted(report.within, key=lambda pool: -max(each.late_s for each in pool.queues))
    while len(value) > REPORT_BYTES_MAX and (waits or within):
        waits = waits[: len(waits) * 3 // 4]
        within = within[: len(within) * 3 // 4]
        teams = {wait.team for wait in waits}
        ceilings = {team: s for team, s in report.ceiling_wait_s.items() if team in teams}
        beyond = tuple(team for team in report.beyond if team in teams)
        value = msgspec.json.encode(
            msgspec.structs.replace(
                report,
                waits=tuple(waits),
                ceiling_wait_s=ceilings,
                beyond=beyond,
                within=tuple(within),
            )
        )
    return value


def decode_report(value: bytes) -> LoadReport:
    """Decode a report.

    Raises:
        InvalidReportError: The record is too large, is no report, or has an implausible number.
    """
    if len(value) > REPORT_BYTES_MAX:
        raise InvalidReportError(f"{len(value)} bytes")
    try:
        report = _DECODER.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError) as err:
        raise InvalidReportError(str(err)) from err
    if any(not 0 <= number <= NUMBER_MAX for number in _numbers(report)):
        raise InvalidReportError("a number is implausible")
    return report


def _numbers(report: LoadReport) -> Iterator[float]:
    for wait in report.waits:
        yield from (wait.late_s, wait.started_core_s)
    for pool in report.pools:
        yield from (pool.wait_within_s, pool.wait_beyond_s)
    yield from report.ceiling_wait_s.values()
    for within in report.within:
        yield within.accepted_per_s
        yield from within.share_left_core_s.values()
        for queue in within.queues:
            yield from (queue.late_s, queue.drain_cores)
            for size in queue.sizes:
                yield from (size.core_s, size.wait_s, size.drain_cores)
