"""Merges the files of an operator's folder and checks the result.

Files are merged in the order of their names: tables are merged key by key, any other value
replaces the earlier one. Each fault is reported with the file that set the value.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pydantic import ValidationError

from toucandoor.core.configuration.models import Configuration

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

_VALUE_CHARS_MAX = 60
_Path = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SourceFile:
    """Parsed file of the folder."""

    name: str
    tables: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Fault:
    """Fault in the folder.

    Attributes:
        file: Name of the file that set the value, or of the folder.
        key: Dotted path of the value.
        value: The value as written, shortened; empty if there is none or it must not be shown.
        reason: What is wrong with the value.
    """

    file: str
    key: str
    value: str
    reason: str

    def __str__(self) -> str:
        shown = f" = {self.value}" if self.value else ""
        return f"{self.file}: {self.key}{shown}: {self.reason}"


@dataclass(frozen=True, slots=True)
class CheckResult:
    """Result of a check: the configuration, or the faults if there are any."""

    configuration: Configuration | None
    faults: tuple[Fault, ...]


class _MergedTables:
    """Merged tables, and the file that last set each path."""

    def __init__(self) -> None:
        self.tables: dict[str, Any] = {}
        self._file_of: dict[_Path, str] = {}

    def add(self, source: SourceFile) -> None:
        self._merge(self.tables, source.tables, (), source.name)

    def _merge(
        self, into: dict[str, Any], tables: Mapping[str, Any], parent: _Path, file: str
    ) -> None:
        for key, value in tables.items():
            path = (*parent, key)
            self._file_of[path] = file
            present = into.get(key)
            if isinstance(value, dict) and isinstance(present, dict):
                self._merge(present, value, path, file)
            elif isinstance(value, dict):
                into[key] = {}
                self._merge(into[key], value, path, file)
            else:
                into[key] = value

    def fault(self, path: _Path, reason: str, *, show_value: bool = True) -> Fault:
        """Return a fault at a path, with the file that set the path or its nearest parent."""
        known = path
        while known and known not in self._file_of:
            known = known[:-1]
        value = self._value(path) if show_value else ""
        return Fault(self._file_of.get(known, "folder"), ".".join(path), value, reason)

    def _value(self, path: _Path) -> str:
        value: Any = self.tables
        for part in path:
            if not isinstance(value, dict) or part not in value:
                return ""
            value = value[part]
        if isinstance(value, dict):
            return ""
        text = repr(value)
        return text if len(text) <= _VALUE_CHARS_MAX else text[:_VALUE_CHARS_MAX] + "…"


def check_sources(sources: Iterable[SourceFile]) -> CheckResult:
    """Merge the files and check the result; report all faults of the first failing check."""
    merged = _MergedTables()
    for source in sorted(sources, key=lambda each: each.name):
        merged.add(source)
    try:
        configuration = Configuration.model_validate(merged.tables)
    except ValidationError as err:
        faults = [_schema_fault(merged, error) for error in err.errors()]
        return CheckResult(None, tuple(faults))
    faults = _reference_faults(merged, configuration)
    return CheckResult(None if faults else configuration, tuple(faults))


def _schema_fault(merged: _MergedTables, error: Any) -> Fault:
    path = tuple(str(part) for part in error["loc"] if part != "[key]")
    reason = "unknown key" if error["type"] == "extra_forbidden" else error["msg"]
    # A value below a team's keys may be a secret pasted by mistake, so it is not shown.
    return merged.fault(path, reason, show_value="keys" not in path)


def _reference_faults(merged: _MergedTables, configuration: Configuration) -> list[Fault]:
    faults = []
    for queue_id, queue in configuration.queues.items():
        if queue.pool not in configuration.pools:
            faults.append(merged.fault(("queues", queue_id, "pool"), "no such pool"))
    addresses: dict[str, str] = {}
    for vm_id, vm in configuration.vms.items():
        if vm.pool not in configuration.pools:
            faults.append(merged.fault(("vms", vm_id, "pool"), "no such pool"))
        if vm.data_centre not in configuration.data_centres:
            faults.append(merged.fault(("vms", vm_id, "data_centre"), "no such data centre"))
        other = addresses.setdefault(vm.address, vm_id)
        if other != vm_id:
            faults.append(merged.fault(("vms", vm_id, "address"), f"also the address of {other}"))
    faults.extend(_key_faults(merged, configuration))
    return faults


def _key_faults(merged: _MergedTables, configuration: Configuration) -> list[Fault]:
    faults = []
    key_of_digest: dict[str, str] = {}
    team_of: dict[str, str] = {}
    for team_id, team in configuration.teams.items():
        for key_id, key in team.keys.items():
            if team_of.setdefault(key_id, team_id) != team_id:
                path = ("teams", team_id, "keys", key_id)
                reason = f"team {team_of[key_id]} has a key of this id"
                faults.append(merged.fault(path, reason, show_value=False))
            other = key_of_digest.setdefault(key.sha256, f"{team_id}.{key_id}")
            if other != f"{team_id}.{key_id}":
                path = ("teams", team_id, "keys", key_id)
                faults.append(merged.fault(path, f"the same secret as {other}", show_value=False))
    return faults
