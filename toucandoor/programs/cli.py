"""``toucandoor``: the operators' command line.

Exit codes: 0 done; 1 negative result (a fault or difference was found, the change is still
pending, or the command was refused); 2 invalid arguments or settings; 3 the controller was
unreachable or refused the secret; 4 conflict with another operator's change; 5 the store was
unavailable, and the change may have been written.
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
from toucandoor.core.explain import is_followed
from toucandoor.exceptions import MessageError, PeerAuthenticationError, SettingsError

app = typer.Typer(help="Manage a shared fleet of VMs.", no_args_is_help=True, rich_markup_mode=None)
key_app = typer.Typer(help="Grant and withdraw teams' keys.", no_args_is_help=True)
app.add_typer(key_app, name="key")
entry_app = typer.Typer(help="Manage the VMs that toucandoor itself runs on.", no_args_is_help=True)
app.add_typer(entry_app, name="entry")
explain_app = typer.Typer(help="Explain what happened and why.", no_args_is_help=True)
app.add_typer(explain_app, name="explain")

FolderArgument = Annotated[Path, typer.Argument(help="Folder of TOML files.")]
JsonOption = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]
SettingsOption = Annotated[
    Path | None, typer.Option("--settings", envvar="TOUCANDOOR_SETTINGS", help="TOML file.")
]


class ExitCode(IntEnum):
    """Exit codes; the head of the module describes them."""

    DONE = 0
    NEGATIVE = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    STORE = 5


_EXIT_CODES = {
    "conflict": ExitCode.CONFLICT,
    "store": ExitCode.STORE,
    "bad_arguments": ExitCode.USAGE,
    "unknown_command": ExitCode.USAGE,
}


@app.command()
def check(folder: FolderArgument, as_json: JsonOption = False) -> None:
    """Check a folder and list all faults with file, key, value and reason.

    Example: toucandoor check examples/whistleline
    """
    _load_folder(folder, as_json)
    _print_result({"ok": True, "faults": []}, "no faults", as_json)


@app.command()
def diff(
    folder: FolderArgument, as_json: JsonOption = False, settings: SettingsOption = None
) -> None:
    """Show what applying a folder would change.

    Example: toucandoor diff examples/whistleline
    """
    proposed = _load_folder(folder, as_json)
    current = _send_command(settings, "configuration", {}, as_json)
    found = differences(_parse_configuration(current), proposed)
    result = {"version": current["version"], "differences": [_as_dict(each) for each in found]}
    _print_result(result, "\n".join(str(each) for each in found) or "no differences", as_json)
    raise typer.Exit(ExitCode.NEGATIVE if found else ExitCode.DONE)


@app.command()
def apply(
    folder: FolderArgument,
    base_version: Annotated[
        int | None,
        typer.Option(help="Version that the folder is based on; default: the current one."),
    ] = None,
    change_id: Annotated[
        str, typer.Option(help="Id of a change sent before, to find out whether it was applied.")
    ] = "",
    as_json: JsonOption = False,
    settings: SettingsOption = None,
) -> None:
    """Apply a folder, and wait until it is in force at all entries.

    Example: toucandoor apply examples/whistleline --base-version 12
    """
    proposed = _load_folder(folder, as_json)
    if base_version is None:
        base_version = int(_send_command(settings, "configuration", {}, as_json)["version"])
    arguments = {
        "configuration": proposed.model_dump(mode="json"),
        "base_version": base_version,
        "change_id": change_id or uuid.uuid4().hex,
    }
    _report_change(_send_command(settings, "apply", arguments, as_json), as_json)


@app.command()
def status(as_json: JsonOption = False, settings: SettingsOption = None) -> None:
    """Show the versions, entries, data centres and store calls known to one controller.

    Example: toucandoor status --json
    """
    body = _send_command(settings, "status", {}, as_json)
    _print_result(body, "\n".join(f"{name}: {value}" for name, value in body.items()), as_json)


@key_app.command("grant")
def key_grant(
    team: str, key: str, as_json: JsonOption = False, settings: SettingsOption = None
) -> None:
    """Create a key for a team and print its secret, which is not shown again.

    Example: toucandoor key grant north-clubs saturday-key
    """
    body = _send_command(settings, "key_grant", {"team": team, "key": key}, as_json)
    _print_result(body, f"secret: {body['secret']}\nversion: {body['version']}", as_json)


@key_app.command("withdraw")
def key_withdraw(key: str, as_json: JsonOption = False, settings: SettingsOption = None) -> None:
    """Withdraw a key permanently, and wait until no entry accepts it any more.

    Example: toucandoor key withdraw saturday-key
    """
    _report_change(_send_command(settings, "key_withdraw", {"key": key}, as_json), as_json)


@app.command()
def move(
    vm: str,
    source: Annotated[str, typer.Option("--from", help="Pool that the VM is in.")],
    target: Annotated[str, typer.Option("--to", help="Pool to move the VM to.")],
    operation: Annotated[
        str, typer.Option(help="Id of this move; the same id repeats it safely.")
    ] = "",
    as_json: JsonOption = False,
    settings: SettingsOption = None,
) -> None:
    """Move a VM to another pool.

    Example: toucandoor move vm-17 --from north --to payments
    """
    operation = operation or uuid.uuid4().hex
    arguments = {"vm": vm, "source": source, "target": target, "operation": operation}
    body = _send_command(settings, "move", arguments, as_json)
    _print_result(body, f"{vm} moved to {target} (operation {operation})", as_json)


@app.command()
def drain(vm: str, as_json: JsonOption = False, settings: SettingsOption = None) -> None:
    """Maintain a VM as soon as the budgets allow: drain it, reboot it, probe it, put it back.

    Example: toucandoor drain vm-17
    """
    body = _send_command(settings, "maintain", {"vm": vm, "operation": uuid.uuid4().hex}, as_json)
    _print_result(body, f"{vm} is due; see: toucandoor explain vm {vm}", as_json)


@app.command()
def wave(data_centre: str, as_json: JsonOption = False, settings: SettingsOption = None) -> None:
    """Maintain every VM of a data centre as soon as the budgets allow.

    Example: toucandoor wave dc-1
    """
    arguments = {"data_centre": data_centre, "operation": uuid.uuid4().hex}
    body = _send_command(settings, "maintain", arguments, as_json)
    _print_result(body, f"every VM of {data_centre} is due", as_json)


@explain_app.command("vm")
def explain_vm(vm: str, as_json: JsonOption = False, settings: SettingsOption = None) -> None:
    """Explain a VM's state, why it is not being drained, and what happened to it.

    Example: toucandoor explain vm vm-17
    """
    body = _send_command(settings, "explain_vm", {"vm": vm}, as_json)
    _print_result(body, "\n".join(body["lines"]), as_json)


@explain_app.command("fleet")
def explain_fleet(
    hours: Annotated[float, typer.Option(help="Number of hours to look back.")] = 12.0,
    as_json: JsonOption = False,
    settings: SettingsOption = None,
) -> None:
    """Explain what happened in the fleet in the last hours, and why.

    Example: toucandoor explain fleet --hours 12
    """
    body = _send_command(settings, "explain_fleet", {"hours": hours}, as_json)
    _print_result(body, "\n".join(body["lines"]) or "nothing", as_json)


@explain_app.command("request")
def explain_request(
    request: str, as_json: JsonOption = False, settings: SettingsOption = None
) -> None:
    """Explain how a request was handled, and why it waited or was refused.

    The id is in the header Toucandoor-Request-Id of every answer.

    Example: toucandoor explain request entry-1-5f0c
    """
    body = _send_command(settings, "explain_request", {"request": request}, as_json)
    _print_result(body, "\n".join(body["lines"]), as_json)


@explain_app.command("job")
def explain_job(job: str) -> None:
    """Explain what happened to a job, from the nodes' logs on standard input.

    Example: cat node-*.log | toucandoor explain job 7ab4fbbd5169893e
    """
    _explain_from_logs("job", job)
    if not is_followed(job):
        typer.echo("lines about this job may have been left out under load", err=True)


@explain_app.command("server")
def explain_server(server: str) -> None:
    """Explain what happened to a backend server, from the nodes' logs on standard input.

    Example: cat node-*.log | toucandoor explain server i-f6252f88fb
    """
    _explain_from_logs("server", server)


@explain_app.command("machine")
def explain_machine(machine: str) -> None:
    """Explain what happened to a VM of the users' platform, from nodes' logs on standard input.

    Example: cat node-*.log | toucandoor explain machine m-1f7dc
    """
    _explain_from_logs("machine", machine)


def _explain_from_logs(kind: str, name: str) -> None:
    found = False
    for sentence in explain_lines(sys.stdin, kind, name):
        found = True
        typer.echo(sentence)
    if not found:
        typer.echo(f"no log line mentions {kind} {name}", err=True)
        raise typer.Exit(ExitCode.NEGATIVE)


@entry_app.command("remove")
def entry_remove(entry: str, as_json: JsonOption = False, settings: SettingsOption = None) -> None:
    """Remove an entry VM that will not come back, so that majorities are counted without it.

    Example: toucandoor entry remove entry-7
    """
    _print_result(
        _send_command(settings, "entry_remove", {"entry": entry}, as_json),
        f"{entry} removed",
        as_json,
    )


def _report_change(body: dict[str, Any], as_json: bool) -> None:
    pending = body.get("pending", [])
    text = f"version {body['version']} " + ("is pending" if pending else "accepted")
    for each in pending:
        text += f"\n  {each['data_centre']}: {each['reason']}"
    _print_result(body, text, as_json)
    raise typer.Exit(ExitCode.NEGATIVE if pending else ExitCode.DONE)


def _load_folder(folder: Path, as_json: bool) -> Configuration:
    checked = read_folder(folder)
    if checked.configuration is not None:
        return checked.configuration
    faults = [_as_dict(fault) for fault in checked.faults]
    text = "\n".join(str(fault) for fault in checked.faults)
    _print_result({"ok": False, "faults": faults}, text, as_json)
    raise typer.Exit(ExitCode.NEGATIVE)


def _send_command(
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
        _fail(reply.error, reply.reason, _EXIT_CODES.get(reply.error, ExitCode.NEGATIVE), as_json)
    return reply.body


def _fail(error: str, reason: str, code: ExitCode, as_json: bool) -> NoReturn:
    if as_json:
        typer.echo(json.dumps({"ok": False, "error": error, "reason": reason}))
    else:
        typer.echo(f"{error}: {reason}", err=True)
    raise typer.Exit(code)


def _print_result(body: dict[str, Any], text: str, as_json: bool) -> None:
    typer.echo(json.dumps(body) if as_json else text)


def _parse_configuration(body: dict[str, Any]) -> Configuration:
    return Configuration.model_validate(body["configuration"])


def _as_dict(item: Any) -> dict[str, Any]:
    return {name: getattr(item, name) for name in item.__slots__}


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
