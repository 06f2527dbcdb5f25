"""Common start of the long-running programs."""

from __future__ import annotations

import asyncio
import logging
import os
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, TypeVar

import typer

from toucandoor.adapters.logs import set_up_logs
from toucandoor.adapters.settings import Settings
from toucandoor.exceptions import SettingsError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

SettingsFileOption = Annotated[Path | None, typer.Option("--settings", help="TOML file.")]
PrintSettingsOption = Annotated[
    bool, typer.Option(help="Print the settings with secrets masked and exit.")
]

_S = TypeVar("_S", bound=Settings)


def start(
    settings_class: type[_S],
    settings_file: Path | None,
    print_settings: bool,
    serve: Callable[[_S], Awaitable[None]],
) -> None:
    """Load the settings, then print them or serve until a stop is requested.

    Raises:
        typer.Exit: The settings are invalid; the errors are printed and the exit code is 2.
    """
    try:
        settings = settings_class.load(settings_file)
    except SettingsError as err:
        typer.echo(str(err), err=True)
        raise typer.Exit(2) from err
    if print_settings:
        typer.echo(settings.printable())
        return
    set_up_logs(settings.program, settings.log_level)
    asyncio.run(_async_serve(serve, settings))
    logging.shutdown()
    # All work is finished; a thread that is still blocked in a call must not delay the exit.
    os._exit(0)


async def _async_serve(serve: Callable[[_S], Awaitable[None]], settings: _S) -> None:
    await serve(settings)
