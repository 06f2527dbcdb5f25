"""Command line of the measurements: ``script/measure NAME`` or ``script/measure list``.

Each module of this package without a leading underscore, except this one and ``result``, is a
measurement: it has a ``run(seed: int) -> MeasureResult``, and ``list`` prints the first line of
its docstring.
"""

from __future__ import annotations

import importlib
import pkgutil
import sys
from typing import Annotated

import typer

import toucandoor.measures


def _names() -> list[str]:
    skipped = ("__main__", "result")
    modules = pkgutil.iter_modules(toucandoor.measures.__path__)
    return sorted(m.name for m in modules if m.name not in skipped and not m.name.startswith("_"))


def measure(
    name: Annotated[str, typer.Argument(help="Measurement to run, or 'list'.")],
    seed: Annotated[int, typer.Option(help="Seed of all random choices.")] = 1,
) -> None:
    """Run one measurement and print its result as one JSON object."""
    if name == "list":
        for each in _names():
            module = importlib.import_module(f"toucandoor.measures.{each}")
            print(f"{each:20} {(module.__doc__ or '').splitlines()[0]}")
        return
    if name not in _names():
        print(f"unknown measurement {name!r}; see: script/measure list", file=sys.stderr)
        raise typer.Exit(2)
    result = importlib.import_module(f"toucandoor.measures.{name}").run(seed)
    print(result.to_json())
    raise typer.Exit(0 if result.holds else 1)


if __name__ == "__main__":
    typer.run(measure)
