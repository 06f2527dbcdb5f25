"""The file that describes an experiment, checked before anything is played."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from toucandoor.core.mechanisms import parse_switched_off
from toucandoor.exceptions import SettingsError

if TYPE_CHECKING:
    from pathlib import Path


class Variant(BaseModel):
    """One version of the system.

    Attributes:
        name: Its name in tables.
        revision: Revision of the repository.
        switched_off: Names of the mechanisms that are switched off.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = Field(min_length=1, pattern=r"^[\w.-]+$")
    revision: str = "HEAD"
    switched_off: list[str] = []


class Plan(BaseModel):
    """What is played.

    Attributes:
        site: Path of the file that describes the deployment, as the bench takes it.
        days: Names of its days, or paths of files with days of our own.
        seeds: Seeds with which each day is played.
        baseline: Name of the variant with which the others are compared.
        variants: The variants.
        processor_time: Whether the processor time of our programs is charged.
        at_once: Plays that run at the same time.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    site: str
    days: list[str] = Field(min_length=1)
    seeds: list[int] = Field(min_length=1)
    baseline: str
    variants: list[Variant] = Field(min_length=2)
    processor_time: bool = False
    at_once: int = Field(default=3, ge=1)


class PlanError(SettingsError):
    """The file of an experiment is wrong; the message names the file and the line."""

    def __init__(self, path: Path, line: int, message: str) -> None:
        super().__init__(message, step="experiment.read", peer=f"{path}:{line}")


def load_plan(path: Path) -> Plan:
    """Read and check the file of an experiment.

    Raises:
        PlanError: The file can't be read, or names something that doesn't exist.
    """
    try:
        text = path.read_text()
        plan = Plan.model_validate(tomllib.loads(text))
    except OSError as err:
        raise PlanError(path, 0, f"can't be read: {err.strerror}") from err
    except tomllib.TOMLDecodeError as err:
        raise PlanError(path, 0, str(err)) from err
    except ValidationError as err:
        first = err.errors()[0]
        words = [str(part) for part in first["loc"] if isinstance(part, str)]
        line = _line_of(text, *words, str(first["input"]))
        raise PlanError(path, line, f"{'.'.join(map(str, first['loc']))}: {first['msg']}") from err
    _check_days(path, text, plan)
    _check_seeds(path, text, plan)
    _check_variants(path, text, plan)
    return plan


def _check_days(path: Path, text: str, plan: Plan) -> None:
    site = path.parent / plan.site
    try:
        listed = tomllib.loads(site.read_text()).get("day", [])
    except (OSError, tomllib.TOMLDecodeError) as err:
        line = _line_of(text, "site")
        raise PlanError(path, line, f"site {plan.site} can't be read: {err}") from err
    known = {day["name"] for day in listed}
    for day in plan.days:
        if day not in known and not (path.parent / day).is_file():
            raise PlanError(path, _line_of(text, f'"{day}"'), f"unknown day {day!r}")


def _check_seeds(path: Path, text: str, plan: Plan) -> None:
    for seed in plan.seeds:
        if seed < 0:
            raise PlanError(path, _line_of(text, "seeds", str(seed)), f"{seed} is no seed")
    if len(set(plan.seeds)) < len(plan.seeds):
        raise PlanError(path, _line_of(text, "seeds"), "a seed is named twice")


def _check_variants(path: Path, text: str, plan: Plan) -> None:
    names = [variant.name for variant in plan.variants]
    for name in names:
        if names.count(name) > 1:
            line = _line_of(text, f'name = "{name}"')
            raise PlanError(path, line, f"variant {name!r} is named twice")
    if plan.baseline not in names:
        line = _line_of(text, "baseline")
        raise PlanError(path, line, f"unknown variant {plan.baseline!r}")
    for variant in plan.variants:
        try:
            parse_switched_off(variant.switched_off)
        except SettingsError as err:
            line = _line_of(text, *variant.switched_off)
            raise PlanError(path, line, str(err)) from err


def _line_of(text: str, *words: str) -> int:
    """Return the first line that contains the last of these words that occurs at all."""
    lines = text.splitlines()
    for word in reversed(words):
        for number, line in enumerate(lines, 1):
            if word and word in line:
                return number
    return 1
