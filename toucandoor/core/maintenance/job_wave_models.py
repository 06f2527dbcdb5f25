"""Orders, decisions and records of maintenance waves that the owner of the schedule carries out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import msgspec

from toucandoor.ids import VmId

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
