"""Command line of experiments: ``script/experiment FILE --bench PROGRAM --folder FOLDER``."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from toucandoor.exceptions import ToucandoorError
from toucandoor.experiments.comparison import table
from toucandoor.experiments.plan import load_plan
from toucandoor.experiments.runner import Runner


def experiment(
    file: Annotated[Path, typer.Argument(help="TOML file of the experiment.")],
    bench: Annotated[Path, typer.Option(help="Bench program that plays the days.")],
    folder: Annotated[Path, typer.Option(help="Folder for clones and reports; kept.")],
    repository: Annotated[Path, typer.Option(help="Repository of the variants.")] = Path(),
) -> None:
    """Play variants in pairs on the same days and seeds, and print how they differ.

    An interrupted experiment goes on where it stopped.
    """
    try:
        plan = load_plan(file)
        results = Runner(plan, file, bench, repository, folder).run()
    except ToucandoorError as err:
        typer.echo(str(err), err=True)
        raise typer.Exit(2) from err
    names = [variant.name for variant in plan.variants]
    text = "\n".join(table(results, plan.baseline, names, plan.days))
    (folder / "table.md").write_text(text + "\n")
    typer.echo(text)


if __name__ == "__main__":
    typer.run(experiment)
