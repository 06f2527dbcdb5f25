"""Decodes the records that operators write to the platform's store, and encodes a wave's status."""

from __future__ import annotations

import logging
import math
from typing import Any, Final

import msgspec

from toucandoor.core.evacuation.requests import EvacuationEvent
from toucandoor.core.jobs.configuration import (
    DEFAULT_BODY_BYTES_MAX,
    AdviserTimes,
    JobConfiguration,
    JobPool,
    JobQueue,
    JobTeam,
)
from toucandoor.core.maintenance.job_wave_models import VmWaveOrder
from toucandoor.ids import ConfigVersion, DataCentreId, PoolId, QueueId, TeamId, VmId
from toucandoor.platform.wire import WireResources

_LOGGER = logging.getLogger(__name__)

OPERATOR_PREFIX: Final = "op/"
CONFIGURATION_KEY: Final = "op/config"
WAVE_PREFIX: Final = "op/wave/"
EVACUATION_PREFIX: Final = "op/evacuate/"
DATA_CENTRE_CHARS_MAX: Final = 256
"""Longest plausible name of a data centre."""
WAVE_STATUS_PREFIX: Final = "status/wave/"
WORKER_PREFIX: Final = "servers/"


class _Advice(msgspec.Struct, frozen=True):
    decision_ms: float = 0
    # Time that the adviser takes for each backend server in a request, not an interval.
    period_ms: float = 0
    validity_ms: float = 0


class _Route(msgspec.Struct, frozen=True):
    name: str
    service: str
    host: str = ""
    prefix: str = "/"
    public: bool = False
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    target_duration_ms: float = 0
    recommendation: _Advice | None = None


class _Service(msgspec.Struct, frozen=True):
    name: str
    # Whether its backend servers refuse tasks that do not fit; unrelated to our own admission.
    admission_check: bool = True
    standby: bool = False


class _Limits(msgspec.Struct, frozen=True):
    max_body_bytes: int = DEFAULT_BODY_BYTES_MAX


class _Tenant(msgspec.Struct, frozen=True):
    name: str
    api_keys: list[str] = []
    # Jobs per second to which the team is entitled. Of any type, so that an invalid weight of one
    # team does not make the whole configuration invalid.
    weight: Any = None
    upper_bound: WireResources = WireResources()


class _Config(msgspec.Struct, frozen=True):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = _Limits()


class _Wave(msgspec.Struct, frozen=True):
    rollout_wave: int
    machines: list[str]
    deadline_s: float
    # Most VMs of the wave that may be down at once.
    upper_bound: int


class _WaveStatus(msgspec.Struct, frozen=True):
    state: str


def decode_configuration(value: bytes) -> JobConfiguration | None:
    """Decode the operators' configuration; None if it is invalid."""
    try:
        config = msgspec.json.decode(value, type=_Config)
    except (msgspec.MsgspecError, UnicodeDecodeError) as err:
        _LOGGER.error("configuration: record cannot be decoded: %s", err)
        return None
    return JobConfiguration(
        version=ConfigVersion(config.version),
        queues={QueueId(route.name): _queue(route) for route in config.routes},
        pools={
            PoolId(service.name): JobPool(
                PoolId(service.name), service.admission_check, service.standby
            )
            for service in config.services
        },
        teams={TeamId(tenant.name): _team(tenant) for tenant in config.tenants},
        body_bytes_max=config.limits.max_body_bytes,
        source=value,
    )


def decode_wave(value: bytes, seen_at_s: float) -> VmWaveOrder | None:
    """Decode a maintenance wave; None if it is invalid.

    Args:
        value: The record's bytes.
        seen_at_s: When it was read, on the monotonic clock.
    """
    try:
        wave = msgspec.json.decode(value, type=_Wave)
    except (msgspec.MsgspecError, UnicodeDecodeError) as err:
        _LOGGER.error("maintenance: record of a wave cannot be decoded: %s", err)
        return None
    return VmWaveOrder(
        number=wave.rollout_wave,
        vms=tuple(VmId(machine) for machine in wave.machines),
        within_s=wave.deadline_s,
        down_max=wave.upper_bound,
        seen_at_s=seen_at_s,
    )


def decode_evacuation(key: str, value: bytes, revision: int) -> EvacuationEvent:
    """Decode a request to evacuate a data centre; the result says whether it is invalid."""
    name = DataCentreId(key.removeprefix(EVACUATION_PREFIX))
    invalid = not 0 < len(name) <= DATA_CENTRE_CHARS_MAX
    if invalid:
        _LOGGER.error("evacuation: record %s names no data centre", key[:DATA_CENTRE_CHARS_MAX])
    try:
        msgspec.json.decode(value, type=dict)
    except (msgspec.MsgspecError, UnicodeDecodeError) as err:
        _LOGGER.error("evacuation: record %s cannot be decoded: %s", key, err)
        invalid = True
    return EvacuationEvent(name, revision, invalid=invalid)


def decode_evacuation_end(key: str, revision: int) -> EvacuationEvent:
    """Return the end of a request, from the deletion of its record."""
    return EvacuationEvent(DataCentreId(key.removeprefix(EVACUATION_PREFIX)), revision, ended=True)


def encode_wave_status(*, completed: bool) -> bytes:
    """Encode the status record of a wave."""
    return msgspec.json.encode(_WaveStatus("completed" if completed else "in_progress"))


def wave_is_completed(value: bytes) -> bool:
    """Return whether a wave's status record says that it is completed; False if it is invalid."""
    try:
        return msgspec.json.decode(value, type=_WaveStatus).state == "completed"
    except (msgspec.MsgspecError, UnicodeDecodeError) as err:
        _LOGGER.warning("maintenance: status record of a wave cannot be decoded: %s", err)
        return False


def _queue(route: _Route) -> JobQueue:
    advice = route.recommendation
    return JobQueue(
        name=QueueId(route.name),
        host=route.host,
        path_prefix=route.prefix,
        pool=PoolId(route.service),
        public=route.public,
        priority=route.priority,
        attempts_max=route.max_attempts,
        slack_ratio=route.slack_factor,
        target_duration_s=route.target_duration_ms / 1000,
        adviser=(
            None
            if advice is None
            else AdviserTimes(
                advice.decision_ms / 1000, advice.period_ms / 1000, advice.validity_ms / 1000
            )
        ),
    )


def _team(tenant: _Tenant) -> JobTeam:
    return JobTeam(
        name=TeamId(tenant.name),
        keys=frozenset(tenant.api_keys),
        jobs_per_s=_jobs_per_s(tenant.weight),
        ceiling=tenant.upper_bound.resources,
    )


def _jobs_per_s(weight: Any) -> float:
    """Return a team's weight; 0 if it is missing, and not a number (NaN) if it is none."""
    if weight is None:
        return 0.0
    if isinstance(weight, bool) or not isinstance(weight, int | float):
        return math.nan
    try:
        return float(weight)
    except OverflowError:
        return math.inf
