"""Settings file that the platform writes for each process."""

from __future__ import annotations

import os
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from toucandoor.core.mechanisms import Mechanism, parse_switched_off
from toucandoor.core.records import DEFAULT_VALUE_BYTES_MAX
from toucandoor.exceptions import SettingsError
from toucandoor.ids import DataCentreId, EntryId

SETTINGS_FILE_VARIABLE: Final = "TOUCANDOOR_NODE_FILE"
SWITCHED_OFF_VARIABLE: Final = "TOUCANDOOR_SWITCHED_OFF"
"""Development setting: names of mechanisms to switch off, separated by commas."""
_ADDRESS = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of a process, and addresses and time limits of the platform.

    Attributes:
        entry_id: Id of the entry VM.
        data_centre: Its data centre.
        ip: Its IP address.
        caller_address: ``IP:port`` to listen on for callers.
        ready_address: ``IP:port`` to listen on for the balancer's readiness checks.
        peer_port_first: First port that is free for the program's own use.
        peer_port_last: Last such port.
        seed_addresses: Control addresses of up to three entry VMs; may be stale.
        store_address: Address of the platform's store.
        store_value_bytes_max: Largest value that it accepts.
        vm_list_address: Address of the platform's VM list; empty if there is none.
        advice_address: Address of the adviser of queues; empty if there is none.
        processor_cores: Processor of the VM that the process may use, in cores of standard speed.
        link_mbps: Bandwidth of the VM's network link.
        memory_bytes_max: Memory beyond which the process is killed.
        heartbeat_s: Interval at which a backend server writes its entry in the store.
        grace_s: Time from the stop signal until the process is killed.
        lease_s_max: Longest lease of a backend server.
        kill_timeout_s: Longest time that stopping a run takes.
        gang_timeout_s: How long a task of a gang waits for the others.
        visible_within_s: Time within which all entry VMs must know an accepted job.
        status_retention_s: Time for which the state of an ended job is retained.
        start_early_s_max: Most that an occurrence may start before its due time.
        holder_lease_s: Time within which two owners must not order the same VM in turn.
        unavailable_notice_s: Time after which a task that is not running counts as unavailable.
        vm_maintenance_s: Time that a VM's maintenance takes.
        vm_move_s: Time that a VM's move takes.
        tail_excess_s: Time for which other tasks may keep the tail of a task's response times above
            its target.
        speed_limit_delay_s: Time until a new speed limit takes effect.
        vm_orders_per_s: Most orders on VMs per second, from all entry VMs together.
        evacuate_s: Time from the confirmation of a request to evacuate a data centre after which no
            task may be started there; None if such requests are not supported.
        switched_off: Mechanisms that are switched off, for experiments.
    """

    entry_id: EntryId
    data_centre: DataCentreId
    ip: str
    caller_address: str
    ready_address: str
    peer_port_first: int
    peer_port_last: int
    seed_addresses: tuple[str, ...]
    store_address: str
    vm_list_address: str
    advice_address: str
    processor_cores: float
    link_mbps: float
    memory_bytes_max: int
    heartbeat_s: float
    grace_s: float
    lease_s_max: float
    kill_timeout_s: float
    gang_timeout_s: float
    visible_within_s: float
    status_retention_s: float
    start_early_s_max: float
    holder_lease_s: float
    unavailable_notice_s: float
    vm_maintenance_s: float
    vm_move_s: float
    tail_excess_s: float
    speed_limit_delay_s: float
    vm_orders_per_s: float
    store_value_bytes_max: int = DEFAULT_VALUE_BYTES_MAX
    evacuate_s: float | None = None
    switched_off: frozenset[Mechanism] = frozenset()


class _Table(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class _Addresses(_Table):
    frontend: str = Field(pattern=_ADDRESS)
    ready: str = Field(pattern=_ADDRESS)


class _Limits(_Table):
    memory_mb: float = Field(gt=0)
    # Share of the time in which the processor runs for the process.
    cpu_quota: float = Field(default=1, gt=0)
    # Speed of the processor against one core, not a number of cores.
    cpu_cores: float = Field(default=1, gt=0)
    bandwidth_mbps: float = Field(default=1000, gt=0)


class _Bounds(_Table):
    grace_s: float = Field(default=6, gt=0)
    hold_max_ms: float = Field(default=6000, gt=0)
    kill_timeout_ms: float = 200
    gang_timeout_ms: float = 3000
    visible_ms: float = 3000
    status_s: float = 120
    early_ms: float = 250
    lease_ms: float = 3000
    notice_ms: float = 4500
    maintenance_s: float = 2
    migrate_s: float = 1.5
    impact_ms: float = 4000
    rate_window_ms: float = 100
    evacuate_ms: float | None = Field(default=None, gt=0)


class _Store(_Table):
    address: str = Field(pattern=_ADDRESS)
    max_value_bytes: int = Field(default=DEFAULT_VALUE_BYTES_MAX, gt=0)


class _CloudApi(_Table):
    address: str = ""
    duty_per_s: float = 1


class _File(_Table):
    node_name: str = Field(min_length=1)
    zone: str = Field(min_length=1)
    ip: str
    port_range: tuple[int, int]
    seed_nodes: list[str] = []
    heartbeat_ms: float = 1500
    recommendation: str = ""
    bind_addresses: _Addresses
    limits: _Limits
    bounds: _Bounds = _Bounds()
    platform: _Store
    cloud_api: _CloudApi = _CloudApi()


def load_node_settings(path: Path | None = None) -> NodeSettings:
    """Read and check the settings file.

    Args:
        path: The file; None for the one that `SETTINGS_FILE_VARIABLE` names.

    Raises:
        SettingsError: The file cannot be read, or values are invalid; names each of them.
    """
    if path is None:
        named = os.environ.get(SETTINGS_FILE_VARIABLE, "")
        if not named:
            reason = f"{SETTINGS_FILE_VARIABLE} names no file"
            raise SettingsError(reason, step="settings.read")
        path = Path(named)
    try:
        values = tomllib.loads(path.read_text())
    except (OSError, ValueError) as err:
        raise SettingsError(str(err), step="settings.read", peer=str(path)) from err
    try:
        return _node_settings(_File.model_validate(values))
    except ValidationError as err:
        faults = "; ".join(_fault(dict(error)) for error in err.errors())
        raise SettingsError(faults, step="settings.check", peer=str(path)) from err


def _fault(error: dict[str, Any]) -> str:
    key = ".".join(str(part) for part in error["loc"])
    return f"{key}: {error['msg']}"


def _node_settings(file: _File) -> NodeSettings:
    bounds = file.bounds
    return NodeSettings(
        entry_id=EntryId(file.node_name),
        data_centre=DataCentreId(file.zone),
        ip=file.ip,
        caller_address=file.bind_addresses.frontend,
        ready_address=file.bind_addresses.ready,
        peer_port_first=file.port_range[0],
        peer_port_last=file.port_range[1],
        seed_addresses=tuple(file.seed_nodes),
        store_address=file.platform.address,
        store_value_bytes_max=file.platform.max_value_bytes,
        vm_list_address=file.cloud_api.address,
        advice_address=file.recommendation,
        processor_cores=file.limits.cpu_quota * file.limits.cpu_cores,
        link_mbps=file.limits.bandwidth_mbps,
        memory_bytes_max=int(file.limits.memory_mb * 1_000_000),
        heartbeat_s=file.heartbeat_ms / 1000,
        grace_s=bounds.grace_s,
        lease_s_max=bounds.hold_max_ms / 1000,
        kill_timeout_s=bounds.kill_timeout_ms / 1000,
        gang_timeout_s=bounds.gang_timeout_ms / 1000,
        visible_within_s=bounds.visible_ms / 1000,
        status_retention_s=bounds.status_s,
        start_early_s_max=bounds.early_ms / 1000,
        holder_lease_s=bounds.lease_ms / 1000,
        unavailable_notice_s=bounds.notice_ms / 1000,
        vm_maintenance_s=bounds.maintenance_s,
        vm_move_s=bounds.migrate_s,
        tail_excess_s=bounds.impact_ms / 1000,
        speed_limit_delay_s=bounds.rate_window_ms / 1000,
        vm_orders_per_s=file.cloud_api.duty_per_s,
        switched_off=parse_switched_off(
            os.environ.get(SWITCHED_OFF_VARIABLE, "").replace(",", " ").split()
        ),
        evacuate_s=None if bounds.evacuate_ms is None else bounds.evacuate_ms / 1000,
    )
