"""``toucandoor-fakes``: simple fakes of the platform and the backend servers."""

from __future__ import annotations

import os
import signal
import threading
from pathlib import Path
from typing import Annotated

import typer

from toucandoor.adapters.folder import read_folder
from toucandoor.adapters.wsgi import make_server
from toucandoor.fakes.store import FakePlatform
from toucandoor.fakes.worker import FakeWorker

app = typer.Typer(help="Simple fakes of the platform and the backend servers.")


@app.command()
def platform(address: Annotated[str, typer.Option(help="IP:port to listen on.")]) -> None:
    """Serve the store and the VM list of a fake platform."""
    server = make_server(address, FakePlatform(), 128)
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    _wait_for_stop()


@app.command()
def worker(
    address: Annotated[str, typer.Option(help="IP:port to listen on.")],
    vm: Annotated[str, typer.Option(help="Id of the VM.")],
    slots: Annotated[int, typer.Option(help="Maximum number of concurrent tasks.")] = 8,
    connections: Annotated[
        int, typer.Option(help="Maximum number of concurrent connections.")
    ] = 64,
    runs_log: Annotated[Path | None, typer.Option(help="File that records each run.")] = None,
) -> None:
    """Serve one fake backend server."""
    server = make_server(address, FakeWorker(vm, slots, runs_log), connections)
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    _wait_for_stop()


@app.command()
def workers(folder: Annotated[Path, typer.Argument(help="Configuration folder.")]) -> None:
    """Serve fakes of all backend servers of a configuration folder in one process."""
    checked = read_folder(folder)
    if checked.configuration is None:
        for fault in checked.faults:
            typer.echo(str(fault), err=True)
        raise typer.Exit(2)
    for vm_id, vm in checked.configuration.vms.items():
        server = make_server(vm.address, FakeWorker(vm_id, vm.slots), vm.slots + 4)
        server.prepare()
        threading.Thread(target=server.serve, daemon=True).start()
    _wait_for_stop()


def _wait_for_stop() -> None:
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    typer.echo("ready")
    stop.wait()
    # The servers' threads may be blocked in long calls, and a fake has no state to save.
    os._exit(0)


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
