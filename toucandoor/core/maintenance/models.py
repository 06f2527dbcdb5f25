"""Events that the planner handles, decisions that it returns, and its settings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from toucandoor.core.maintenance import const

if TYPE_CHECKING:
    from toucandoor.core.configuration.models import Configuration
    from toucandoor.ids import DataCentreId, VmId


@dataclass(frozen=True, slots=True)
class MaintenanceSettings:
    """Durations and limits of planned stops.

    Attributes:
        lease_s: Duration of the planning lease, counted from when its renewal was sent.
        renew_every_s: Time between renewals of the planning lease.
        lease_margin_s: Time that another controller waits beyond ``lease_s`` before it takes the
            lease over; covers clock drift.
        interval_s: Time within which every VM is maintained once.
        cordon_settle_s: Time for entries to see a cordon before the VM is drained.
        drain_timeout_s: Time after which a drain that has not ended is cancelled.
        reboot_timeout_s: Time after which a VM that has not come back from its reboot is FAILED.
        probe_timeout_s: Time after which a rebooted VM whose probes do not pass is FAILED.
        probes_needed: Consecutive healthy status reports before a VM returns to service.
        retry_after_s: Time before a stop that was cancelled or failed is tried again; doubles with
            each failure, up to 24 times.
        report_age_max_s: Age up to which a VM's status report is used.
        list_age_max_s: Age of the platform's VM list beyond which no new stop starts.
        signals_age_max_s: Age of the entries' service signals beyond which no new stop starts.
        poll_stopping_every_s: Time between status polls of a VM in a planned stop.
        poll_out_every_s: Time between status polls of a VM that is out for another cause.
        poll_in_service_every_s: Time between status polls of a VM in service.
        command_resend_after_s: Time after which a command that had no effect yet is sent again.
        fleet_read_every_s: Age at which the fleet's records are read again; with a short lease
            they are read earlier, see ``FLEET_READ_LEASE_RATIO``.
        unmonitored_after_s: Time without a renewal of its planning lease after which a data
            centre's VMs count as out.
        replan_after_s: Time after which planning runs again without an event, when the last run
            changed nothing.
        idle_return_s: Time after which budget places that were granted but not used are returned.
        urgent_late_max_ratio: Fraction of urgent starts that may be late before waves pause.
        share_error_max_ratio: Deviation from a team's share beyond which waves pause.
        resume_after_s: Time for which signals must stay good before waves resume.
        failed_max_ratio: Fraction of the data centre's VMs that may be FAILED before waves pause;
            waves never pause for fewer than ``DEFAULT_FAILED_MIN`` VMs.
    """

    lease_s: float = const.DEFAULT_LEASE_S
    renew_every_s: float = const.DEFAULT_RENEW_EVERY_S
    lease_margin_s: float = const.DEFAULT_LEASE_MARGIN_S
    interval_s: float = const.DEFAULT_INTERVAL_S
    cordon_settle_s: float = const.DEFAULT_CORDON_SETTLE_S
    drain_timeout_s: float = const.DEFAULT_DRAIN_TIMEOUT_S
    reboot_timeout_s: float = const.DEFAULT_REBOOT_TIMEOUT_S
    probe_timeout_s: float = const.DEFAULT_PROBE_TIMEOUT_S
    probes_needed: int = const.DEFAULT_PROBES_NEEDED
    retry_after_s: float = const.DEFAULT_RETRY_AFTER_S
    report_age_max_s: float = const.DEFAULT_REPORT_AGE_MAX_S
    list_age_max_s: float = const.DEFAULT_LIST_AGE_MAX_S
    signals_age_max_s: float = const.DEFAULT_SIGNALS_AGE_MAX_S
    poll_stopping_every_s: float = const.DEFAULT_POLL_STOPPING_EVERY_S
    poll_out_every_s: float = const.DEFAULT_POLL_OUT_EVERY_S
    poll_in_service_every_s: float = const.DEFAULT_POLL_IN_SERVICE_EVERY_S
    command_resend_after_s: float = const.DEFAULT_COMMAND_RESEND_AFTER_S
    fleet_read_every_s: float = const.DEFAULT_FLEET_READ_EVERY_S
    unmonitored_after_s: float = const.DEFAULT_UNMONITORED_AFTER_S
    replan_after_s: float = const.DEFAULT_REPLAN_AFTER_S
    idle_return_s: float = const.DEFAULT_IDLE_RETURN_S
    urgent_late_max_ratio: float = const.DEFAULT_URGENT_LATE_MAX_RATIO
    share_error_max_ratio: float = const.DEFAULT_SHARE_ERROR_MAX_RATIO
    resume_after_s: float = const.DEFAULT_RESUME_AFTER_S
    failed_max_ratio: float = const.DEFAULT_FAILED_MAX_RATIO


@dataclass(frozen=True, slots=True)
class VmListRead:
    """Event: the platform's VM list was read.

    Attributes:
        live: Data centre of each VM listed as live.
        leaving: VMs listed as leaving.
        age_s: Age of the list when it was read, as stated by the platform.
    """

    live: dict[VmId, DataCentreId]
    leaving: frozenset[VmId]
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task that a VM reports as running."""

    task_id: str
    can_checkpoint: bool = False


@dataclass(frozen=True, slots=True)
class VmReport:
    """Event: status report of a VM.

    Attributes:
        boot: Id of the VM's present boot.
        fence: Highest fencing token of a command that the VM has accepted in this boot.
        healthy: Whether its health check passed.
        drain_fence: Fencing token of the command that drains it; 0 when the drain was not
            commanded by a planner.
    """

    vm: VmId
    boot: str
    healthy: bool = True
    draining: bool = False
    running: tuple[RunningTask, ...] = ()
    fence: int = 0
    drain_fence: int = 0


@dataclass(frozen=True, slots=True)
class VmUnreachable:
    """Event: a VM did not answer a poll or a command."""

    vm: VmId


@dataclass(frozen=True, slots=True)
class ServiceSignals:
    """Event: quality of service as the entries measured it.

    Attributes:
        urgent_late_ratio: Fraction of urgent requests that started later than their target.
        share_error_ratio: Largest deviation of a team from its share while the fleet is full.
    """

    urgent_late_ratio: float
    share_error_ratio: float


@dataclass(frozen=True, slots=True)
class ConfigurationInForce:
    """Event: the configuration in force."""

    version: int
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class Tick:
    """Event: periodic call, to do what is due by time."""


@dataclass(frozen=True, slots=True)
class PollVm:
    """Decision: poll a VM for its status and health."""

    vm: VmId


@dataclass(frozen=True, slots=True)
class DrainVm:
    """Decision: command a VM to accept no new tasks.

    ``boot`` and ``fence`` let the VM refuse a command that was meant for an earlier boot, or sent
    under a lease that another controller has taken over since.
    """

    vm: VmId
    boot: str
    fence: int


@dataclass(frozen=True, slots=True)
class CheckpointTask:
    """Decision: command a VM to checkpoint and stop a task, so that it continues elsewhere."""

    vm: VmId
    task_id: str
    boot: str
    fence: int


@dataclass(frozen=True, slots=True)
class RebootVm:
    """Decision: command a drained VM to reboot."""

    vm: VmId
    boot: str
    fence: int


@dataclass(frozen=True, slots=True)
class UndrainVm:
    """Decision: command a VM to accept tasks again."""

    vm: VmId
    boot: str
    fence: int


VmCommand = PollVm | DrainVm | CheckpointTask | RebootVm | UndrainVm
