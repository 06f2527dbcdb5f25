"""Plays the days of an experiment with each variant, in a clone of its own."""

from __future__ import annotations

import logging
import shutil
import subprocess
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from toucandoor.core.mechanisms import parse_switched_off
from toucandoor.exceptions import ToucandoorError
from toucandoor.experiments.plays import Play, PlayResult, Verdict, read_result
from toucandoor.platform.settings import SWITCHED_OFF_VARIABLE

if TYPE_CHECKING:
    from pathlib import Path

    from toucandoor.experiments.plan import Plan, Variant

_LOGGER = logging.getLogger(__name__)

OUTPUT_CHARS_MAX = 300
"""Most characters of a failed command's output in a message."""


class CommandError(ToucandoorError):
    """A command of an experiment failed."""


class Runner:
    """Plays an experiment; plays whose reports exist are not repeated.

    Args:
        plan: The experiment.
        plan_path: Its file; paths in it are relative to its folder.
        bench: The bench program.
        repository: Repository of the variants.
        folder: Folder for the clones and the reports.
    """

    def __init__(
        self, plan: Plan, plan_path: Path, bench: Path, repository: Path, folder: Path
    ) -> None:
        self._plan = plan
        self._plan_folder = plan_path.resolve().parent
        self._bench = bench.resolve()
        self._repository = repository.resolve()
        self._folder = folder.resolve()

    def run(self) -> dict[Play, PlayResult]:
        """Make the missing plays and return all results."""
        (self._folder / "reports").mkdir(parents=True, exist_ok=True)
        for variant in self._plan.variants:
            self._clone(variant)
        # All variants of a day and seed come together, so that an interrupted run has whole pairs.
        plays = [
            Play(variant.name, day, seed)
            for seed in self._plan.seeds
            for day in self._plan.days
            for variant in self._plan.variants
        ]
        with ThreadPoolExecutor(self._plan.at_once) as pool:
            return dict(zip(plays, pool.map(self._play, plays), strict=True))

    def _clone(self, variant: Variant) -> None:
        clone = self._folder / variant.name
        if (clone / ".git").exists():
            return
        partial = clone.with_suffix(".partial")
        shutil.rmtree(partial, ignore_errors=True)
        _command(["git", "clone", "-q", str(self._repository), str(partial)], self._folder)
        _command(["git", "checkout", "-q", variant.revision], partial)
        off = parse_switched_off(variant.switched_off)
        if off:
            names = ",".join(sorted(mechanism.value for mechanism in off))
            deploy = partial / "deploy" / "system.toml"
            deploy.write_text(
                deploy.read_text() + f'env = {{ {SWITCHED_OFF_VARIABLE} = "{names}" }}\n'
            )
        _command([str(self._bench), "build"], partial)
        partial.rename(clone)

    def _play(self, play: Play) -> PlayResult:
        report = self._folder / "reports" / play.file_name
        if not report.exists():
            # Written elsewhere first: the report of an interrupted play is not taken for a result.
            partial = report.with_suffix(".partial")
            try:
                _command(self._arguments(play, partial), self._folder / play.variant)
            except CommandError as err:
                _LOGGER.warning("experiment: a play failed: %s", err)
                if not partial.exists():
                    return PlayResult(Verdict.GIVEN_UP, reason=str(err))
            partial.rename(report)
        return read_result(report)

    def _arguments(self, play: Play, report: Path) -> list[str]:
        site = self._plan_folder / self._plan.site
        own_day = self._plan_folder / play.day
        day = str(own_day) if own_day.is_file() else play.day
        arguments = [str(self._bench), "run", str(site), day, "--seed", str(play.seed)]
        if not self._plan.processor_time:
            arguments.append("--no-cpu")
        return [*arguments, "--report", str(report), "--why", f"Experiment: {play.variant}"]


def _command(arguments: list[str], folder: Path) -> None:
    """Run a command to its end.

    Raises:
        CommandError: It can't be run, or ended with an error.
    """
    try:
        done = subprocess.run(arguments, cwd=folder, capture_output=True, text=True, check=False)
    except OSError as err:
        raise CommandError(str(err), step="experiment.run", peer=arguments[0]) from err
    if done.returncode != 0:
        output = (done.stderr or done.stdout).strip()[-OUTPUT_CHARS_MAX:]
        raise CommandError(output, step="experiment.run", peer=" ".join(arguments[:3]))
