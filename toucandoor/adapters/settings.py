"""Settings of the programs, read from a TOML file; environment variables override its values."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Annotated, Any, ClassVar, Self

from pydantic import BaseModel, ConfigDict, Field, SecretStr, StringConstraints, ValidationError

from toucandoor.core.configuration.const import ADDRESS_PATTERN, ID_PATTERN
from toucandoor.core.maintenance.const import (
    DEFAULT_DRAIN_TIMEOUT_S,
    DEFAULT_INTERVAL_S,
    DEFAULT_LEASE_S,
    DEFAULT_REBOOT_TIMEOUT_S,
)
from toucandoor.exceptions import SettingsError
from toucandoor.ids import DataCentreId, EntryId

ENV_PREFIX = "TOUCANDOOR_"
CLAIMS_PEER_PATTERN = f"{ID_PATTERN.removesuffix('$')}={ADDRESS_PATTERN.removeprefix('^')}"

Address = Annotated[str, StringConstraints(pattern=ADDRESS_PATTERN)]
ClaimsPeer = Annotated[str, StringConstraints(pattern=CLAIMS_PEER_PATTERN)]
_Id = Annotated[str, StringConstraints(pattern=ID_PATTERN)]
Secret = Annotated[SecretStr, Field(min_length=16)]


class Settings(BaseModel):
    """Base class of the programs' settings."""

    model_config = ConfigDict(frozen=True, extra="forbid")
    program: ClassVar[str]

    log_level: Annotated[str, StringConstraints(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"

    @classmethod
    def load(cls, file: Path | None) -> Self:
        """Read, merge and validate the settings.

        Args:
            file: TOML file; None to read only environment variables.

        Raises:
            SettingsError: The file cannot be read, or values are invalid; the text names each.
        """
        origin = str(file) if file else "environment"
        values = _read_toml(file) if file else {}
        for name in cls.model_fields:
            text = os.environ.get(ENV_PREFIX + name.upper())
            if text is not None:
                values[name] = text.split(",") if _is_list(cls, name) else text
        try:
            return cls.model_validate(values)
        except ValidationError as err:
            faults = "; ".join(_fault(error) for error in err.errors())
            raise SettingsError(faults, step="settings.check", peer=origin) from err

    def printable(self) -> str:
        """Return the settings as JSON with secrets masked."""
        return self.model_dump_json(indent=2)


class ControllerSettings(Settings):
    """Settings of ``toucandoor-controller``.

    Attributes:
        link_address: Address that entries, peers and operators connect to.
        ops_address: Address that serves health, readiness and metrics.
        store_address: Address of the store, the platform's key-value service.
        vm_list_address: Address of the platform's VM list, which holds live and leaving VMs.
        store_timeout_s: Time-out of a call to the store or to a backend server.
        watch_wait_s: Longest wait of one watch on the store.
        vm_list_period_s: Interval between reads of the VM list.
        accept_wait_s: Time that a command waits for a change to be in force at all entries before
            it replies with the entries that are pending.
        peer_addresses: Controllers to fetch the configuration from at a start while the store is
            unavailable.
        planner_period_s: Interval at which the maintenance planner checks its VMs.
        planning_lease_s: Duration of the planning lease, counted from when a renewal was sent.
        maintenance_interval_s: Time within which each VM is maintained once.
        drain_timeout_s: Time after which a drain that has not ended is cancelled.
        reboot_timeout_s: Time after which a VM that has not come back from its reboot has failed.
        stop_grace_s: Longest wait of a stop until the entry's lease has ended, and again until the
            ledger of permits is written.
    """

    program: ClassVar[str] = "controller"
    entry_id: Annotated[EntryId, StringConstraints(pattern=ID_PATTERN)]
    data_centre: Annotated[DataCentreId, StringConstraints(pattern=ID_PATTERN)]
    link_address: Address
    ops_address: Address
    store_address: Address
    vm_list_address: Address
    peer_secret: Secret
    operator_secret: Secret
    store_timeout_s: Annotated[float, Field(gt=0)] = 2.0
    watch_wait_s: Annotated[float, Field(gt=0)] = 20.0
    vm_list_period_s: Annotated[float, Field(gt=0)] = 1.0
    planner_period_s: Annotated[float, Field(gt=0)] = 1.0
    planning_lease_s: Annotated[float, Field(ge=1)] = DEFAULT_LEASE_S
    maintenance_interval_s: Annotated[float, Field(gt=0)] = DEFAULT_INTERVAL_S
    drain_timeout_s: Annotated[float, Field(gt=0)] = DEFAULT_DRAIN_TIMEOUT_S
    reboot_timeout_s: Annotated[float, Field(gt=0)] = DEFAULT_REBOOT_TIMEOUT_S
    stop_grace_s: Annotated[float, Field(gt=0)] = 5.0
    accept_wait_s: Annotated[float, Field(ge=0)] = 15.0
    peer_addresses: tuple[Address, ...] = ()


class EntrySettings(Settings):
    """Settings of ``toucandoor-entry``.

    Attributes:
        caller_address: Address that callers connect to.
        entries_total: Number of entries, which share the pools' slots.
        threads: Maximum number of concurrent callers, including waiting ones.
        body_bytes_max: Maximum size of a request body, in bytes.
        body_timeout_s: Time within which a caller must send its complete request.
        claims_address: Address for other entries' claims on idempotency keys; None for a single
            entry.
        claims_peers: The other entries' claims addresses, each as ``ENTRY=IP:port``.
        stop_grace_s: Time that open requests get to finish after SIGTERM.
    """

    program: ClassVar[str] = "entry"
    entry_id: Annotated[EntryId, StringConstraints(pattern=ID_PATTERN)]
    data_centre: Annotated[DataCentreId, StringConstraints(pattern=ID_PATTERN)]
    caller_address: Address
    ops_address: Address
    controller_address: Address
    peer_secret: Secret
    entries_total: Annotated[int, Field(ge=1)] = 1
    claims_address: Address | None = None
    claims_peers: list[ClaimsPeer] = []
    threads: Annotated[int, Field(ge=2, le=2000)] = 128
    body_bytes_max: Annotated[int, Field(ge=1)] = 8 * 1024 * 1024
    body_timeout_s: Annotated[int, Field(gt=0)] = 10
    connect_timeout_s: Annotated[float, Field(gt=0)] = 1.0
    stop_grace_s: Annotated[float, Field(gt=0)] = 10.0


class OperatorSettings(Settings):
    """Settings of the operators' command line."""

    program: ClassVar[str] = "toucandoor"
    controller_address: Address
    operator_secret: Secret
    operator: _Id = "operator"


def _is_list(cls: type[Settings], name: str) -> bool:
    return str(cls.model_fields[name].annotation).startswith(("list", "tuple"))


def _read_toml(file: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(file.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as err:
        raise SettingsError(str(err), step="settings.read", peer=str(file)) from err


def _fault(error: Any) -> str:
    key = ".".join(str(part) for part in error["loc"])
    return f"{key}: {error['msg']}"


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an ``IP:port`` address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
