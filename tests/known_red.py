"""nose2 plugin that prints a summary line and expects the failures listed in KNOWN-RED.txt.

The first line of an entry is ``test: <id as nose2 prints it>``. A listed test still runs; if it
fails, it is printed as known red and does not fail the run.
"""

from __future__ import annotations

from pathlib import Path

from nose2 import events

ERROR_LENGTH_MAX = 600
"""Most characters of a listed test's error that are printed; some errors hold whole logs."""
_KNOWN_RED_PATH = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def _known_test_ids() -> set[str]:
    lines = _KNOWN_RED_PATH.read_text().splitlines() if _KNOWN_RED_PATH.exists() else []
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


class KnownRed(events.Plugin):
    """Counts outcomes and marks failures of listed tests as expected."""

    configSection = "known-red"
    commandLineSwitch = (None, "known-red", "Pass over the faults of KNOWN-RED.txt")
    alwaysOn = True

    def __init__(self) -> None:
        self._known_red = _known_test_ids()
        self._seen_red: dict[str, str] = {}
        self._counts = {"passed": 0, "failed": 0, "skipped": 0}

    def setTestOutcome(self, event: events.TestOutcomeEvent) -> None:  # noqa: N802
        """Mark the failure of a listed test as expected."""
        if event.outcome in ("failed", "error") and event.test.id() in self._known_red:
            event.outcome = "failed"
            event.expected = True
            error = event.exc_info[1] if event.exc_info else None
            self._seen_red[event.test.id()] = repr(error)[:ERROR_LENGTH_MAX]

    def testOutcome(self, event: events.TestOutcomeEvent) -> None:  # noqa: N802
        """Count an outcome."""
        if event.test.id() in self._seen_red:
            return
        if event.outcome == "subtest" and not event.exc_info:
            return
        ok = event.outcome == "passed" and event.expected
        kind = "skipped" if event.outcome == "skipped" else "passed" if ok else "failed"
        self._counts[kind] += 1

    def afterSummaryReport(self, event: events.ReportSummaryEvent) -> None:  # noqa: N802
        """Print the listed tests that failed, and the summary line."""
        for name, error in self._seen_red.items():
            event.stream.writeln(f"known red: {name}")
            event.stream.writeln(f"known red, seen: {error}")
        counts = self._counts
        event.stream.writeln(
            f"{counts['passed']} passed, {counts['failed']} failed, {counts['skipped']} skipped"
        )
