"""nose2 plugin: prints the plain closing line and passes over the faults of KNOWN-RED.txt.

An entry's first line is ``test: <id as nose2 prints it>``. Such a test still runs; when it fails
it is printed as known red and does not fail the run.
"""

from __future__ import annotations

from pathlib import Path

from nose2 import events

_LIST = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def _known_ids() -> set[str]:
    lines = _LIST.read_text().splitlines() if _LIST.exists() else []
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


class KnownRed(events.Plugin):
    """Counts outcomes, turning listed failures into expected ones."""

    configSection = "known-red"
    commandLineSwitch = (None, "known-red", "Pass over the faults of KNOWN-RED.txt")
    alwaysOn = True

    def __init__(self) -> None:
        self._known = _known_ids()
        self._seen_red: list[str] = []
        self._counts = {"passed": 0, "failed": 0, "skipped": 0}

    def setTestOutcome(self, event: events.TestOutcomeEvent) -> None:  # noqa: N802
        """Mark a failure that is listed as expected."""
        if event.outcome in ("failed", "error") and event.test.id() in self._known:
            event.outcome = "failed"
            event.expected = True
            self._seen_red.append(event.test.id())

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
        """Print the known faults that were met and the closing line."""
        for name in self._seen_red:
            event.stream.writeln(f"known red: {name}")
        counts = self._counts
        event.stream.writeln(
            f"{counts['passed']} passed, {counts['failed']} failed, {counts['skipped']} skipped"
        )
