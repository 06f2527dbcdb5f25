"""Writes the owner's overload reports to the store."""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING

from toucandoor.core.overload.records import LOAD_KEY, encode_report
from toucandoor.core.overload.reporter import LoadReporter
from toucandoor.core.records import Transaction
from toucandoor.exceptions import ToucandoorError

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.adapters.term_context import TermContext
    from toucandoor.core.jobs.models import Resources
    from toucandoor.core.overload.models import LoadReport
    from toucandoor.core.overload.rates import RateStatuses

_LOGGER = logging.getLogger(__name__)


class TermLoad:
    """Writes reports one at a time, while the ownership is valid.

    Args:
        term: What the parts of the term share.
        fleet_capacity: Returns the capacity of all VMs; nothing while it is unknown.
        rates: Rate status of jobs and teams; None if all are within their rates.
    """

    def __init__(
        self,
        term: TermContext,
        fleet_capacity: Callable[[], Resources],
        rates: RateStatuses | None = None,
    ) -> None:
        self._term = term
        self._fleet_capacity = fleet_capacity
        self._reporter = LoadReporter(term.scheduler.state, rates)
        self._writing = False

    def submit_due(self) -> None:
        """Write the report that is due, unless a write is in flight."""
        if self._writing:
            return
        report = self._reporter.next_report(self._fleet_capacity)
        if report is not None:
            self._writing = True
            self._term.submit(partial(self._write, report))

    def _write(self, report: LoadReport) -> None:
        term = self._term
        try:
            term.records.write(Transaction(writes={LOAD_KEY: encode_report(report)}))
        except ToucandoorError as err:
            _LOGGER.info("overload: writing the report failed: %s", err)
            term.post(partial(self._written, ok=False))
        else:
            term.post(partial(self._written, ok=True))

    def _written(self, *, ok: bool) -> None:
        self._writing = False
        if not ok:
            self._reporter.not_written()
