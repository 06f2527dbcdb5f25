"""Duration for which a serving lease has not held."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from toucandoor.core.leases.serving import ServingLease


class LeaseLapse:
    """Measures for how long a lease has not held, from the first check that found it so.

    A process that was frozen finds its lease long expired, although it may renew it at once;
    counting from the lease's end would take the freeze for a lapse.
    """

    def __init__(self, lease: ServingLease) -> None:
        self._lease = lease
        self._since_s: float | None = None

    def has_lasted(self, duration_s: float, now_s: float) -> bool:
        """Return whether no check for at least `duration_s` has found the lease to hold."""
        if self._lease.holds(now_s):
            self._since_s = None
            return False
        if self._since_s is None:
            self._since_s = now_s
        return now_s - self._since_s >= duration_s
