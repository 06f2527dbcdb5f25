"""Reader of an operator's folder of TOML files."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING

from toucandoor.core.configuration.merge import CheckResult, Fault, SourceFile, check_sources

if TYPE_CHECKING:
    from pathlib import Path

FILE_BYTES_MAX = 4 * 1024 * 1024


def read_folder(folder: Path) -> CheckResult:
    """Read, merge and check all ``*.toml`` files of a folder.

    Returns:
        The configuration, or every fault: unreadable files first, then wrong values.
    """
    if not folder.is_dir():
        return CheckResult(None, (Fault(str(folder), "", "", "no such folder"),))
    sources, faults = [], []
    for file in sorted(folder.glob("*.toml")):
        try:
            if file.stat().st_size > FILE_BYTES_MAX:
                raise ValueError(f"larger than {FILE_BYTES_MAX} bytes")
            sources.append(SourceFile(file.name, tomllib.loads(file.read_text())))
        except (OSError, ValueError) as err:
            faults.append(Fault(file.name, "", "", str(err)))
    if not sources and not faults:
        faults.append(Fault(str(folder), "", "", "holds no .toml file"))
    if faults:
        return CheckResult(None, (*faults, *check_sources(sources).faults))
    return check_sources(sources)
