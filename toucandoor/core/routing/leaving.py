"""Reports that backend servers are leaving, by source."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from toucandoor.core.routing.const import DEFAULT_PEER_REPORT_TTL_S

if TYPE_CHECKING:
    from toucandoor.ids import VmId


class LeavingSource(Enum):
    """Source of the report that a backend server is leaving."""

    PLATFORM = "platform"
    WORKER = "server"
    PEER = "peer"


class LeavingReports:
    """Merges the reports of all sources; any one of them makes a backend server leaving."""

    def __init__(self) -> None:
        self._reports: dict[VmId, dict[LeavingSource, float]] = {}

    def add(self, vm: VmId, source: LeavingSource, at_s: float) -> None:
        """Add a report.

        A repeated report keeps the time of the first one, but one from a peer renews its time.
        """
        reports = self._reports.setdefault(vm, {})
        if source is LeavingSource.PEER:
            reports[source] = at_s
        reports.setdefault(source, at_s)

    def withdraw(self, vm: VmId, source: LeavingSource) -> None:
        """Withdraw a source's report.

        A backend server's own withdrawal also overrides reports from peers, but not the platform's.
        """
        reports = self._reports.get(vm, {})
        reports.pop(source, None)
        if source is LeavingSource.WORKER:
            reports.pop(LeavingSource.PEER, None)

    def is_leaving(self, vm: VmId, now_s: float) -> bool:
        """Return whether an unexpired report says that the backend server is leaving."""
        reports = self._reports.get(vm)
        if not reports:
            return False
        peer_reported_s = reports.get(LeavingSource.PEER)
        if peer_reported_s is not None and now_s - peer_reported_s >= DEFAULT_PEER_REPORT_TTL_S:
            del reports[LeavingSource.PEER]
        return bool(reports)

    def self_reported(self) -> list[VmId]:
        """Return the backend servers that told this entry themselves that they are leaving."""
        return sorted(
            vm for vm, reports in self._reports.items() if LeavingSource.WORKER in reports
        )

    def retain(self, vms: set[VmId]) -> None:
        """Remove all backend servers that are not among the VMs."""
        self._reports = {vm: reports for vm, reports in self._reports.items() if vm in vms}
