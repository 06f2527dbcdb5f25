"""Orders, decisions and records of maintenance waves that the owner of the schedule carries out."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import msgspec

from toucandoor.ids import VmId

if TYPE_CHECKING:
    from toucandoor.core.scheduling.worker_view import WorkerView

WAVE_PROGRESS_PREFIX: Final = "waves/"


@dataclass(frozen=True, slots=True)
class VmWaveOrder:
    """An operators' order to maintain certain VMs.

    Attributes:
        number: Number of the wave.
        vms: VMs to maintain.
        within_s: Time from the order within which the maintenance of all VMs must have begun.
        down_max: Largest number of these VMs that may be down at once.
        seen_at_s: When this process saw the order, on the monotonic clock.
    """

    number: int
    vms: tuple[VmId, ...]
    within_s: float
    down_max: int
    seen_at_s: float


class WaveRecord(msgspec.Struct, frozen=True):
    """Progress of a wave.

    Attributes:
        begun: VMs whose maintenance has begun.
        due_unix_ms: When the maintenance of all VMs must have begun; 0 in records of older builds.
    """

    begun: tuple[VmId, ...]
    due_unix_ms: int = 0


@dataclass(frozen=True, slots=True)
class MaintainVm:
    """Decision: order the platform to begin a VM's maintenance."""

    vm_id: VmId
    wave: int


@dataclass(frozen=True, slots=True)
class SaveWaveProgress:
    """Decision: write a wave's progress, and the status of it that operators see."""

    wave: int
    record: WaveRecord
    completed: bool


WaveAction = MaintainVm | SaveWaveProgress


def encode_wave_record(record: WaveRecord) -> bytes:
    """Encode a record."""
    return msgspec.json.encode(record)


def decode_wave_record(value: bytes) -> WaveRecord:
    """Decode a record.

    Raises:
        msgspec.MsgspecError: The bytes are not such a record.
    """
    return msgspec.json.decode(value, type=WaveRecord)


@dataclass(slots=True)
class WaveState:
    """A wave under way.

    Attributes:
        order: What operators ordered.
        ordered: Whether the operators' order is known, not only what a former owner has written.
        vms_checked: Whether the VMs have been looked up in the VM list.
        due_s: When the maintenance of all VMs must have begun, on the monotonic clock.
        begun: VMs whose maintenance has begun.
        down_since_s: VMs that are or may be down for maintenance, and since when.
        vacating_since_s: VMs that get no new runs because they are maintained next, and since when.
        cordoned: Backend servers that this wave keeps out of use.
        in_flight: VMs whose order has no answer yet.
        retry_at_s: Earliest time of a VM's next order.
        saved: State in the store: number of VMs begun, and whether the wave is completed.
        save_in_flight: Whether a write has no answer yet.
        save_after_s: Earliest time of the next write.
    """

    order: VmWaveOrder
    due_s: float
    ordered: bool = True
    vms_checked: bool = False
    begun: set[VmId] = field(default_factory=set)
    down_since_s: dict[VmId, float] = field(default_factory=dict)
    vacating_since_s: dict[VmId, float] = field(default_factory=dict)
    cordoned: set[WorkerView] = field(default_factory=set)
    in_flight: set[VmId] = field(default_factory=set)
    retry_at_s: dict[VmId, float] = field(default_factory=dict)
    saved: tuple[int, bool] | None = None
    save_in_flight: bool = False
    save_after_s: float = 0.0
