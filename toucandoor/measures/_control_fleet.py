"""Controllers as real processes on loopback, for the measurements of the control path."""

from __future__ import annotations

import json
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING, Any, Self

from toucandoor.core.keys import secret_digest
from toucandoor.measures._deployment import HTTP, LocalDeployment

if TYPE_CHECKING:
    from types import TracebackType

WORKER_ADDRESS = "127.45.1.1:8383"


def folder_text(data_centres: list[str], keys: int, teams: int = 2) -> str:
    """Return an operators' folder with one backend server and some keys of team ``a``."""
    lines = [f'[data_centres.{dc}]\nregion = "r"' for dc in sorted(set(data_centres))]
    lines.append("[pools.p]\nunavailable_max = 1")
    lines.append('[queues.q]\npool = "p"')
    lines += [f"[teams.t{n}]\nceiling_running = 4" for n in range(teams)]
    lines.append("[teams.a]\nceiling_running = 48")
    lines += [f'keys.k-{n}.sha256 = "{secret_digest(secret(n))}"' for n in range(keys)]
    lines.append(
        f'[vms.w]\npool = "p"\ndata_centre = "{data_centres[0]}"\nrack = "r"\n'
        f'address = "{WORKER_ADDRESS}"\nslots = 32'
    )
    return "\n".join(lines) + "\n"


def secret(number: int) -> str:
    """Return the secret of a key of team ``a``."""
    return f"measured-secret-{number}"


class ControlFleet:
    """A deployment whose folder lives as long as itself.

    Args:
        entries: Whether the entry processes run too.
        settings: Settings by program name.
    """

    def __init__(
        self,
        data_centres: list[str],
        *,
        keys: int = 0,
        entries: bool = True,
        settings: dict[str, dict[str, str]] | None = None,
    ) -> None:
        self._scratch = TemporaryDirectory()
        self.folder = Path(self._scratch.name)
        (self.folder / "10-all.toml").write_text(folder_text(data_centres, keys))
        self.deployment = LocalDeployment(self.folder, data_centres, settings)
        self._entries = entries

    def __enter__(self) -> Self:
        if self._entries:
            self.deployment.__enter__()
        else:
            self._start_controllers()
        self.apply()
        if self._entries:
            self.deployment.wait_ready()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.deployment.stop()
        self._scratch.cleanup()

    def apply(self, number: int | None = None) -> dict[str, Any]:
        """Apply the folder, with one more change when a number is given."""
        if number is not None:
            text = f"[teams.t0]\nceiling_running = {number + 5}\n"
            (self.folder / "20-change.toml").write_text(text)
        done = self.deployment.run_command("apply", str(self.folder), "--json")
        if done.returncode not in (0, 1):
            raise RuntimeError(f"apply failed: {done.stdout}{done.stderr}")
        return dict(json.loads(done.stdout))

    def status(self, entry: int) -> dict[str, Any]:
        """Return one controller's status."""
        return dict(json.loads(self.deployment.run_command("status", "--json", entry=entry).stdout))

    def store_calls(self) -> dict[str, int]:
        """Return the calls that the store has taken so far, by kind."""
        address = self.deployment.platform_address
        return dict(json.loads(HTTP.request("GET", f"http://{address}/control/calls").data))

    def _start_controllers(self) -> None:
        try:
            for name, process in self.deployment.processes.items():
                if name.endswith(".controller") or name == "platform":
                    process.start()
            for vm in self.deployment.entry_vms:
                self.deployment.wait_for(vm.controller_ops_address, "/healthz", 60.0)
        except BaseException:
            self.deployment.stop()
            raise
