"""Mechanisms that can be switched off, so that an experiment shows what each of them is worth."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from toucandoor.exceptions import SettingsError

if TYPE_CHECKING:
    from collections.abc import Iterable


class Mechanism(Enum):
    """A policy that `core.scheduling.policies` can replace by a baseline."""

    COPIES = "copies"
    """Second runs of tasks on silent servers, and of overdue ones."""
    DOWN_VMS = "down-vms"
    """The end of runs on VMs that the platform lists as down."""
    FAILURE_DOMAINS = "failure-domains"
    """Suspected racks, and slow and flapping servers."""
    FAIR_SHARES = "fair-shares"
    """Order of waiting steps by the teams' shares."""
    LENDING = "lending"
    """Moves of VMs between pools."""
    LOAD_REFUSALS = "load-refusals"
    """Refusals of submissions by the owner's load reports."""
    TASK_GROUPING = "task-grouping"
    """Tasks of a step on as few servers and racks as possible."""
    RACK_SPREAD = "rack-spread"
    """Spread of long-running steps over racks."""


def parse_switched_off(names: Iterable[str]) -> frozenset[Mechanism]:
    """Return the mechanisms of these names.

    Raises:
        SettingsError: There is no mechanism of a name.
    """
    known = {mechanism.value: mechanism for mechanism in Mechanism}
    unknown = sorted({name for name in names if name not in known})
    if unknown:
        reason = f"unknown mechanism {', '.join(unknown)}; there are {', '.join(sorted(known))}"
        raise SettingsError(reason, step="mechanisms.read")
    return frozenset(known[name] for name in names)
