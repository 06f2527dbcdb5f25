"""Schema of an operator's configuration.

The same models check the folder at the edge and are the trusted types inside.
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
    """Base of all sections: frozen, and unknown keys are faults."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class DataCentreConfig(_Section):
    """A data centre: a failure domain with its own entry VMs and backend servers."""

    region: _Id


class PoolConfig(_Section):
    """A pool of VMs.

    Attributes:
        unavailable_max: Availability budget: VMs of the pool that may be out at once, for
            whatever cause, before planned work must wait.
        spare: Whether the pool lends VMs' slots to the others.
    """

    unavailable_max: Annotated[int, Field(ge=1)]
    spare: bool = False


class KeyConfig(_Section):
    """A team's key, by reference: the digest of its secret, never the secret."""

    sha256: Annotated[str, StringConstraints(pattern=SHA256_PATTERN)]


class TeamConfig(_Section):
    """A team that submits work.

    Attributes:
        share_weight: Weight of the team's share when the fleet is full.
        ceiling_running: Most requests of the team that may run at once across the fleet.
        keys: Keys that let a caller act for the team.
    """

    share_weight: Annotated[float, Field(gt=0)] = DEFAULT_SHARE_WEIGHT
    ceiling_running: Annotated[int, Field(ge=0)]
    keys: dict[KeyId, KeyConfig] = {}


class QueueConfig(_Section):
    """A queue that callers send requests to.

    Attributes:
        pool: Pool that serves the queue.
        open_to_all: Whether requests without a key are taken.
        waiting_max: Requests that may wait at one entry before more are refused.
    """

    pool: PoolId
    open_to_all: bool = False
    waiting_max: Annotated[int, Field(ge=1)] = DEFAULT_WAITING_MAX


class VmConfig(_Section):
    """A backend server's VM.

    Attributes:
        pool: Pool the VM belongs to when it is first seen; later moves are kept elsewhere.
        address: ``IP:port`` of the backend server.
        slots: Tasks it runs at once.
        connections: Connections it accepts at once, from all entries together.
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
        urgent_reserve_ratio: Part of a pool's slots kept for urgent requests.
        cut_off_grace_s: How long a data centre that is cut off goes on serving keyed work.
        entry_lease_s: How long an entry that has lost its data centre goes on serving keyed work.
        task_lease_s: How long a backend server runs a task that nobody renews.
        urgent_start_target_s: Time within which an urgent request should start.
        service_meter: What the teams' service is counted in: ``run_time`` or ``completed_job``.
    """

    urgent_reserve_ratio: Annotated[float, Field(ge=0, le=1)] = DEFAULT_URGENT_RESERVE_RATIO
    cut_off_grace_s: Annotated[float, Field(gt=0)] = DEFAULT_CUT_OFF_GRACE_S
    entry_lease_s: Annotated[float, Field(gt=0)] = DEFAULT_ENTRY_LEASE_S
    task_lease_s: Annotated[float, Field(gt=0)] = DEFAULT_TASK_LEASE_S
    urgent_start_target_s: Annotated[float, Field(gt=0)] = DEFAULT_URGENT_START_TARGET_S
    service_meter: ServiceMeter = ServiceMeter.RUN_TIME


class Configuration(_Section):
    """Everything operators decide, merged from their folder.

    Attributes:
        withdrawn_keys: Keys that were withdrawn; neither their ids nor their secrets ever work
            again, whatever a folder says.
    """

    data_centres: dict[DataCentreId, DataCentreConfig] = {}
    pools: dict[PoolId, PoolConfig] = {}
    teams: dict[TeamId, TeamConfig] = {}
    queues: dict[QueueId, QueueConfig] = {}
    vms: dict[VmId, VmConfig] = {}
    policy: PolicyConfig = PolicyConfig()
    withdrawn_keys: dict[KeyId, KeyConfig] = {}
