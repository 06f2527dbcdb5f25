"""Controllers as real processes on loopback, for measurements of configuration and membership."""

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


def configuration_text(data_centres: list[str], keys: int, teams: int = 2) -> str:
    """Return a configuration file with one backend server and some keys of team ``a``."""
    lines = [f'[data_centres.{dc}]\nregion = "r"' for dc in sorted(set(data_centres))]
    lines.append("[pools.p]\nunavailable_max = 1")
    lines.append('[queues.q]\npool = "p"')
    lines += [f"[teams.t{n}]\nceiling_running = 4" for n in range(teams)]
    lines.append("[teams.a]\nceiling_running = 48")
    lines += [f'keys.k-{n}.sha256 = "{secret_digest(key_secret(n))}"' for n in range(keys)]
    lines.append(
        f'[vms.w]\npool = "p"\ndata_centre = "{data_centres[0]}"\nrack = "r"\n'
        f'address = "{WORKER_ADDRESS}"\nslots = 32'
    )
    return "\n".join(lines) + "\n"


def key_secret(number: int) -> str:
    """Return the secret of a key of team ``a``."""
    return f"measured-secret-{number}"


class ControlFleet:
    """Context manager for a local deployment with a temporary configuration folder.

    Args:
        data_centres: Data centre of each entry VM.
        keys: Number of keys of team ``a``.
        entries: Whether to start everything; otherwise only the controllers and the fake platform
            run.
        settings: Settings by program name, on top of those of the deployment.
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
        (self.folder / "10-all.toml").write_text(configuration_text(data_centres, keys))
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
        """Apply the folder and return the answer.

        Args:
            number: Changes a team's ceiling first, so that each number makes another version; None
                applies the folder as it is.

        Raises:
            RuntimeError: The command failed.
        """
        if number is not None:
            text = f"[teams.t0]\nceiling_running = {number + 5}\n"
            (self.folder / "20-change.toml").write_text(text)
        completed = self.deployment.run_command("apply", str(self.folder), "--json")
        if completed.returncode not in (0, 1):
            raise RuntimeError(f"apply failed: {completed.stdout}{completed.stderr}")
        return dict(json.loads(completed.stdout))

    def status(self, entry: int) -> dict[str, Any]:
        """Return the status of one entry VM's controller."""
        return dict(json.loads(self.deployment.run_command("status", "--json", entry=entry).stdout))

    def store_calls(self) -> dict[str, int]:
        """Return the number of calls to the fake platform so far, by method and resource."""
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
