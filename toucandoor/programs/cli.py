"""``toucandoor``: the operators' command line.

Exit codes: 0 done; 1 the answer is no (a fault found, a difference, not accepted yet); 2 wrong
use or settings; 3 the controller could not be reached or refused the secret; 4 conflict with
another operator; 5 the platform's store could not be asked, the change may be unknown.
"""

from __future__ import annotations

import asyncio
import json
import sys
import uuid
from enum import IntEnum
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer

from toucandoor.adapters.folder import read_folder
from toucandoor.adapters.operator_client import async_send_command
from toucandoor.adapters.settings import OperatorSettings
from toucandoor.core.configuration.diff import differences
from toucandoor.core.configuration.models import Configuration
from toucandoor.core.explain import explain as explain_lines
from toucandoor.exceptions import MessageError, PeerAuthenticationError, SettingsError

app = typer.Typer(
    help="Look after a shared fleet of VMs.", no_args_is_help=True, rich_markup_mode=None
)
key_app = typer.Typer(help="Grant and withdraw teams' keys.", no_args_is_help=True)
app.add_typer(key_app, name="key")
entry_app = typer.Typer(help="Look after the system's own VMs.", no_args_is_help=True)
app.add_typer(entry_app, name="entry")
explain_app = typer.Typer(help="Say why something happened.", no_args_is_help=True)
app.add_typer(explain_app, name="explain")

FolderArgument = Annotated[Path, typer.Argument(help="Folder of TOML files.")]
JsonOption = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]
SettingsOption = Annotated[
    Path | None, typer.Option("--settings", envvar="TOUCANDOOR_SETTINGS", help="TOML file.")
]


class ExitCode(IntEnum):
    """What the command's exit status means."""

    DONE = 0
    NO = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    STORE = 5


_CODE_OF_ERROR = {
    "conflict": ExitCode.CONFLICT,
    "store": ExitCode.STORE,
    "bad_arguments": ExitCode.USAGE,
    "unknown_command": ExitCode.USAGE,
}


@app.command()
def check(folder: FolderArgument, as_json: JsonOption = False) -> None:
    """Check a folder; name every fault with its file, key, value and reason.

    Example: toucandoor check examples/whistleline
    """
    _load_folder(folder, as_json)
    _show({"ok": True, "faults": []}, "no faults", as_json)


@app.command()
def diff(
    folder: FolderArgument, as_json: JsonOption = False, settings: SettingsOption = None
) -> None:
    """Show what applying a folder would change.

    Example: toucandoor diff examples/whistleline
    """
    asked = _load_folder(folder, as_json)
    present = _ask(settings, "configuration", {}, as_json)
    found = differences(_configuration(present), asked)
    shown = {"version": present["version"], "differences": [_plain(each) for each in found]}
    _show(shown, "\n".join(str(each) for each in found) or "no differences", as_json)
    raise typer.Exit(ExitCode.NO if found else ExitCode.DONE)


@app.command()
def apply(
    folder: FolderArgument,
    base_version: Annotated[
        int | None, typer.Option(help="Version the folder was made for; default: present one.")
    ] = None,
    change_id: Annotated[
        str, typer.Option(help="Id of a change sent before, to read back what became of it.")
    ] = "",
    as_json: JsonOption = False,
    settings: SettingsOption = None,
) -> None:
    """Put a folder in force; ends when it is accepted everywhere.

    Example: toucandoor apply examples/whistleline --base-version 12
    """
    asked = _load_folder(folder, as_json)
    if base_version is None:
        base_version = int(_ask(settings, "configuration", {}, as_json)["version"])
    arguments = {
        "configuration": asked.model_dump(mode="json"),
        "base_version": base_version,
        "change_id": change_id or uuid.uuid4().hex,
    }
    _finish_change(_ask(settings, "apply", arguments, as_json), as_json)


@app.command()
def status(as_json: JsonOption = False, settings: SettingsOption = None) -> None:
    """Show versions, entries, data centres and the store as one controller sees them.

    Example: toucandoor status --json
    """
    body = _ask(settings, "status", {}, as_json)
    _show(body, "\n".join(f"{name}: {value}" for name, value in body.items()), as_json)


@key_app.command("grant")
def key_grant(
    team: str, key: str, as_json: JsonOption = False, settings: SettingsOption = None
) -> None:
    """Make a new key for a team and print its secret, once.

    Example: toucandoor key grant north-clubs saturday-key
    """
    body = _ask(settings, "key_grant", {"team": team, "key": key}, as_json)
    _show(body, f"secret: {body['secret']}\nversion: {body['version']}", as_json)


@key_app.command("withdraw")
def key_withdraw(key: str, as_json: JsonOption = False, settings: SettingsOption = None) -> None:
    """Withdraw a key for good; ends when it works nowhere any more.

    Example: toucandoor key withdraw saturday-key
    """
    _finish_change(_ask(settings, "key_withdraw", {"key": key}, as_json), as_json)


@app.command()
def move(
    vm: str,
    source: Annotated[str, typer.Option("--from", help="Pool it is in.")],
    target: Annotated[str, typer.Option("--to", help="Pool it goes to.")],
    operation: Annotated[str, typer.Option(help="Id of this move, to ask again.")] = "",
    as_json: JsonOption = False,
    settings: SettingsOption = None,
) -> None:
    """Move a VM to another pool.

    Example: toucandoor move vm-17 --from north --to payments
    """
    operation = operation or uuid.uuid4().hex
    arguments = {"vm": vm, "source": source, "target": target, "operation": operation}
    body = _ask(settings, "move", arguments, as_json)
    _show(body, f"{vm} moved to {target} (operation {operation})", as_json)


@app.command()
def drain(vm: str, as_json: JsonOption = False, settings: SettingsOption = None) -> None:
    """Maintain a VM as soon as the budgets allow: drain, reboot, probe, serve again.

    Example: toucandoor drain vm-17
    """
    body = _ask(settings, "maintain", {"vm": vm, "operation": uuid.uuid4().hex}, as_json)
    _show(body, f"{vm} is due; see: toucandoor explain vm {vm}", as_json)


@app.command()
def wave(data_centre: str, as_json: JsonOption = False, settings: SettingsOption = None) -> None:
    """Maintain every VM of a data centre as soon as the budgets allow.

    Example: toucandoor wave dc-1
    """
    arguments = {"data_centre": data_centre, "operation": uuid.uuid4().hex}
    body = _ask(settings, "maintain", arguments, as_json)
    _show(body, f"every VM of {data_centre} is due", as_json)


@explain_app.command("vm")
def explain_vm(vm: str, as_json: JsonOption = False, settings: SettingsOption = None) -> None:
    """Say where a VM stands, why it is not being drained, and what happened to it.

    Example: toucandoor explain vm vm-17
    """
    body = _ask(settings, "explain_vm", {"vm": vm}, as_json)
    _show(body, "\n".join(body["lines"]), as_json)


@explain_app.command("fleet")
def explain_fleet(
    hours: Annotated[float, typer.Option(help="How far back.")] = 12.0,
    as_json: JsonOption = False,
    settings: SettingsOption = None,
) -> None:
    """Say what the fleet did in the last hours, and why.

    Example: toucandoor explain fleet --hours 12
    """
    body = _ask(settings, "explain_fleet", {"hours": hours}, as_json)
    _show(body, "\n".join(body["lines"]) or "nothing", as_json)


@explain_app.command("request")
def explain_request(
    request: str, as_json: JsonOption = False, settings: SettingsOption = None
) -> None:
    """Say what became of a request and why it waited or was refused.

    The id is in the header Toucandoor-Request-Id of every answer.

    Example: toucandoor explain request entry-1-5f0c
    """
    body = _ask(settings, "explain_request", {"request": request}, as_json)
    _show(body, "\n".join(body["lines"]), as_json)


@explain_app.command("job")
def explain_job(job: str) -> None:
    """Say what happened to a job, from the nodes' logs on standard input.

    Example: cat node-*.log | toucandoor explain job 7ab4fbbd5169893e
    """
    _tell("job", job)


@explain_app.command("server")
def explain_server(server: str) -> None:
    """Say what happened to a backend server, from the nodes' logs on standard input.

    Example: cat node-*.log | toucandoor explain server i-f6252f88fb
    """
    _tell("server", server)


@explain_app.command("machine")
def explain_machine(machine: str) -> None:
    """Say what happened to a VM of the users' platform, from the nodes' logs on standard input.

    Example: cat node-*.log | toucandoor explain machine m-1f7dc
    """
    _tell("machine", machine)


def _tell(kind: str, name: str) -> None:
    found = False
    for sentence in explain_lines(sys.stdin, kind, name):
        found = True
        typer.echo(sentence)
    if not found:
        typer.echo(f"no line names {kind} {name}", err=True)
        raise typer.Exit(ExitCode.NO)


@entry_app.command("remove")
def entry_remove(entry: str, as_json: JsonOption = False, settings: SettingsOption = None) -> None:
    """Take an entry VM that does not come back out of the fleet's majorities.

    Example: toucandoor entry remove entry-7
    """
    _show(_ask(settings, "entry_remove", {"entry": entry}, as_json), f"{entry} removed", as_json)


def _finish_change(body: dict[str, Any], as_json: bool) -> None:
    pending = body.get("pending", [])
    text = f"version {body['version']} " + ("is pending" if pending else "accepted")
    for each in pending:
        text += f"\n  {each['data_centre']}: {each['reason']}"
    _show(body, text, as_json)
    raise typer.Exit(ExitCode.NO if pending else ExitCode.DONE)


def _load_folder(folder: Path, as_json: bool) -> Configuration:
    checked = read_folder(folder)
    if checked.configuration is not None:
        return checked.configuration
    faults = [_plain(fault) for fault in checked.faults]
    text = "\n".join(str(fault) for fault in checked.faults)
    _show({"ok": False, "faults": faults}, text, as_json)
    raise typer.Exit(ExitCode.NO)


def _ask(
    settings_file: Path | None, action: str, arguments: dict[str, Any], as_json: bool
) -> dict[str, Any]:
    try:
        settings = OperatorSettings.load(settings_file)
    except SettingsError as err:
        _fail("settings", str(err), ExitCode.USAGE, as_json)
    try:
        reply = asyncio.run(
            async_send_command(settings, action, arguments, lambda line: typer.echo(line, err=True))
        )
    except (MessageError, PeerAuthenticationError) as err:
        _fail("unreachable", str(err), ExitCode.UNREACHABLE, as_json)
    if not reply.ok:
        _fail(reply.error, reply.reason, _CODE_OF_ERROR.get(reply.error, ExitCode.NO), as_json)
    return reply.body


def _fail(error: str, reason: str, code: ExitCode, as_json: bool) -> NoReturn:
    if as_json:
        typer.echo(json.dumps({"ok": False, "error": error, "reason": reason}))
    else:
        typer.echo(f"{error}: {reason}", err=True)
    raise typer.Exit(code)


def _show(body: dict[str, Any], text: str, as_json: bool) -> None:
    typer.echo(json.dumps(body) if as_json else text)


def _configuration(body: dict[str, Any]) -> Configuration:
    return Configuration.model_validate(body["configuration"])


def _plain(item: Any) -> dict[str, Any]:
    return {name: getattr(item, name) for name in item.__slots__}


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
