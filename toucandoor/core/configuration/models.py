"""Schema of an operator's configuration.

The models validate the operator's folder and represent the configuration in all programs.
"""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints

from toucandoor.core.configuration.const import (
    ADDRESS_PATTERN,
    DEFAULT_CONNECTIONS,
    DEFAULT_CUT_OFF_GRACE_S,
    DEFAULT_ENTRY_LEASE_S,
    DEFAULT_SHARE_WEIGHT,
    DEFAULT_SLOTS,
    DEFAULT_TASK_LEASE_S,
    DEFAULT_URGENT_RESERVE_RATIO,
    DEFAULT_URGENT_START_TARGET_S,
    DEFAULT_WAITING_MAX,
    ID_PATTERN,
    SHA256_PATTERN,
)
from toucandoor.core.shares.models import ServiceMeter
from toucandoor.ids import DataCentreId, KeyId, PoolId, QueueId, RackId, TeamId, VmId

_Id = Annotated[str, StringConstraints(pattern=ID_PATTERN)]


class _Section(BaseModel):
    """Base of all sections: immutable, and unknown keys are rejected."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class DataCentreConfig(_Section):
    """Data centre: a failure domain with its own entry VMs and backend servers."""

    region: _Id


class PoolConfig(_Section):
    """Pool of VMs.

    Attributes:
        unavailable_max: Availability budget: how many VMs of the pool may be unavailable at once,
            whatever the cause, before planned maintenance must wait.
        spare: Whether the pool lends slots of its VMs to other pools.
    """

    unavailable_max: Annotated[int, Field(ge=1)]
    spare: bool = False


class KeyConfig(_Section):
    """Key of a team, stored as the digest of its secret, never as the secret."""

    sha256: Annotated[str, StringConstraints(pattern=SHA256_PATTERN)]


class TeamConfig(_Section):
    """Team that submits work.

    Attributes:
        share_weight: Weight of the team's share when the fleet is full.
        ceiling_running: How many requests of the team may run at once across the fleet.
        keys: Keys that let a caller act for the team.
    """

    share_weight: Annotated[float, Field(gt=0)] = DEFAULT_SHARE_WEIGHT
    ceiling_running: Annotated[int, Field(ge=0)]
    keys: dict[KeyId, KeyConfig] = {}


class QueueConfig(_Section):
    """Queue to which callers send requests.

    Attributes:
        pool: Pool that serves the queue.
        open_to_all: Whether requests without a key are accepted.
        waiting_max: How many requests may wait at one entry before further ones are refused.
    """

    pool: PoolId
    open_to_all: bool = False
    waiting_max: Annotated[int, Field(ge=1)] = DEFAULT_WAITING_MAX


class VmConfig(_Section):
    """VM of a backend server.

    Attributes:
        pool: Pool of the VM when it is first seen; later moves are recorded in the store, not here.
        address: ``IP:port`` of the backend server.
        slots: How many tasks the backend server runs at once.
        connections: How many connections it accepts at once, from all entries together.
    """

    pool: PoolId
    data_centre: DataCentreId
    rack: RackId
    address: Annotated[str, StringConstraints(pattern=ADDRESS_PATTERN)]
    slots: Annotated[int, Field(ge=1)] = DEFAULT_SLOTS
    connections: Annotated[int, Field(ge=1)] = DEFAULT_CONNECTIONS


class PolicyConfig(_Section):
    """Durations and ratios that hold for the whole fleet.

    Attributes:
        urgent_reserve_ratio: Ratio of a pool's slots that is reserved for urgent requests.
        cut_off_grace_s: How long a data centre that is cut off by a network partition continues to
            serve keyed work.
        entry_lease_s: How long an entry that has lost contact with its data centre continues to
            serve keyed work.
        task_lease_s: How long a backend server runs a task whose lease is not renewed.
        urgent_start_target_s: Time within which an urgent request should start.
        service_meter: How the teams' service is counted: ``run_time`` or ``completed_job``.
    """

    urgent_reserve_ratio: Annotated[float, Field(ge=0, le=1)] = DEFAULT_URGENT_RESERVE_RATIO
    cut_off_grace_s: Annotated[float, Field(gt=0)] = DEFAULT_CUT_OFF_GRACE_S
    entry_lease_s: Annotated[float, Field(gt=0)] = DEFAULT_ENTRY_LEASE_S
    task_lease_s: Annotated[float, Field(gt=0)] = DEFAULT_TASK_LEASE_S
    urgent_start_target_s: Annotated[float, Field(gt=0)] = DEFAULT_URGENT_START_TARGET_S
    service_meter: ServiceMeter = ServiceMeter.RUN_TIME


class Configuration(_Section):
    """Whole configuration, merged from the operators' folder.

    Attributes:
        withdrawn_keys: Keys that were withdrawn; neither their ids nor their secrets are accepted
            again, even if a folder lists them.
    """

    data_centres: dict[DataCentreId, DataCentreConfig] = {}
    pools: dict[PoolId, PoolConfig] = {}
    teams: dict[TeamId, TeamConfig] = {}
    queues: dict[QueueId, QueueConfig] = {}
    vms: dict[VmId, VmConfig] = {}
    policy: PolicyConfig = PolicyConfig()
    withdrawn_keys: dict[KeyId, KeyConfig] = {}
