"""Settings of the programs: a TOML file, then environment variables, all checked at the start."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Annotated, Any, ClassVar, Self

from pydantic import BaseModel, ConfigDict, Field, SecretStr, StringConstraints, ValidationError

from toucandoor.core.configuration.const import ADDRESS_PATTERN, ID_PATTERN
from toucandoor.exceptions import SettingsError
from toucandoor.ids import DataCentreId, EntryId

ENV_PREFIX = "TOUCANDOOR_"
CLAIMS_PEER_PATTERN = f"{ID_PATTERN.removesuffix('$')}={ADDRESS_PATTERN.removeprefix('^')}"

Address = Annotated[str, StringConstraints(pattern=ADDRESS_PATTERN)]
ClaimsPeer = Annotated[str, StringConstraints(pattern=CLAIMS_PEER_PATTERN)]
_Id = Annotated[str, StringConstraints(pattern=ID_PATTERN)]
Secret = Annotated[SecretStr, Field(min_length=16)]


class Settings(BaseModel):
    """Base of each program's settings."""

    model_config = ConfigDict(frozen=True, extra="forbid")
    program: ClassVar[str]

    log_level: Annotated[str, StringConstraints(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"

    @classmethod
    def load(cls, file: Path | None) -> Self:
        """Read, merge and check the settings.

        Args:
            file: TOML file; None when all comes from the environment.

        Raises:
            SettingsError: The file cannot be read or values are wrong; names each of them.
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
        link_address: Where entries, peers and operators connect.
        ops_address: Where health, readiness and metrics are served.
        store_address: The platform's key-value service.
        vm_list_address: The platform's list of live and leaving VMs.
        accept_wait_s: Time that a command waits for a change to be in force everywhere before it
            answers what is pending.
        peer_addresses: Controllers to take the configuration from while the store is away and
            nothing is known yet.
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
    stop_grace_s: Annotated[float, Field(gt=0)] = 5.0
    accept_wait_s: Annotated[float, Field(ge=0)] = 15.0
    peer_addresses: tuple[Address, ...] = ()


class EntrySettings(Settings):
    """Settings of ``toucandoor-entry``.

    Attributes:
        caller_address: Where callers connect.
        threads: Callers served at once, waiting ones included.
        body_bytes_max: Largest request body taken.
        body_timeout_s: Time within which a caller must have sent its whole request.
        claims_address: Where other entries claim idempotency keys; None for a single entry.
        claims_peers: The other entries' claims addresses, each as ``ENTRY=IP:port``.
        stop_grace_s: Time that requests under way get to finish after SIGTERM.
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
