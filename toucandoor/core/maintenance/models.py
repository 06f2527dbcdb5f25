"""Events, decisions and settings of the maintenance domain."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from toucandoor.core.maintenance import const

if TYPE_CHECKING:
    from toucandoor.core.configuration.models import Configuration
    from toucandoor.ids import DataCentreId, VmId


@dataclass(frozen=True, slots=True)
class MaintenanceSettings:
    """Durations and bounds of planned stops.

    Attributes:
        lease_s: How long the planning lease lasts after a renewal was sent.
        lease_margin_s: What a challenger waits beyond that, for clocks that drift.
        interval_s: Time within which every VM is maintained once.
        cordon_settle_s: Time for entries to see a cordon before the VM is told to drain.
        drain_timeout_s: Time after which a drain that does not end is called off.
        probes_needed: Good answers in a row before a VM serves again.
        retry_after_s: Time before a stop that was called off or failed is tried again.
        report_age_max_s: Age up to which a VM's own word counts.
        list_age_max_s: Age of the platform's list beyond which nothing new is stopped.
        ask_every_s: Time between questions to a VM in a planned stop.
        ask_failed_every_s: Time between questions to a VM that is out otherwise.
        ask_idle_every_s: Time between questions to a VM in service.
        act_again_after_s: Time after which an act without effect is sent again.
        fleet_read_every_s: Time after which the fleet's records are read again.
        unseen_after_s: Time without a renewal of its planning lease after which a data centre's
            VMs count as out.
        replan_after_s: Time after which a plan that changed nothing is made again unasked.
        idle_return_s: Time after which places handed out but never taken up are given back.
        urgent_late_max_ratio: Part of urgent starts that may be late before waves pause.
        share_error_max_ratio: Distance from a team's share at which waves pause.
        resume_after_s: How long signals must be good before waves resume.
        failed_max_ratio: Part of the data centre's VMs that may be FAILED before waves pause.
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
    ask_every_s: float = const.DEFAULT_ASK_EVERY_S
    ask_failed_every_s: float = const.DEFAULT_ASK_FAILED_EVERY_S
    ask_idle_every_s: float = const.DEFAULT_ASK_IDLE_EVERY_S
    act_again_after_s: float = const.DEFAULT_ACT_AGAIN_AFTER_S
    fleet_read_every_s: float = const.DEFAULT_FLEET_READ_EVERY_S
    unseen_after_s: float = const.DEFAULT_UNSEEN_AFTER_S
    replan_after_s: float = const.DEFAULT_REPLAN_AFTER_S
    idle_return_s: float = const.DEFAULT_IDLE_RETURN_S
    urgent_late_max_ratio: float = const.DEFAULT_URGENT_LATE_MAX_RATIO
    share_error_max_ratio: float = const.DEFAULT_SHARE_ERROR_MAX_RATIO
    resume_after_s: float = const.DEFAULT_RESUME_AFTER_S
    failed_max_ratio: float = const.DEFAULT_FAILED_MAX_RATIO


@dataclass(frozen=True, slots=True)
class ListSeen:
    """Event: the platform's list of VMs.

    Attributes:
        live: Data centre of each VM listed as live.
        leaving: VMs listed as leaving.
        age_s: How far the list lags, as far as it says.
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
    """Event: a VM's own word.

    Attributes:
        boot: Changes with each boot of the VM.
        fence: Highest fencing number of an act the VM has taken in this boot.
        healthy: Whether its health check passed.
        drain_fence: Fencing number of the order that drains it; 0 when it drains by its own word.
    """

    vm: VmId
    boot: str
    healthy: bool = True
    draining: bool = False
    running: tuple[RunningTask, ...] = ()
    fence: int = 0
    drain_fence: int = 0


@dataclass(frozen=True, slots=True)
class VmSilent:
    """Event: a VM did not answer."""

    vm: VmId


@dataclass(frozen=True, slots=True)
class ServiceSignals:
    """Event: how well the entries serve.

    Attributes:
        urgent_late_ratio: Part of urgent requests that started later than their target.
        share_error_ratio: Largest distance of a team from its share while the fleet is full.
    """

    urgent_late_ratio: float
    share_error_ratio: float


@dataclass(frozen=True, slots=True)
class ConfigurationSeen:
    """Event: the configuration in force."""

    version: int
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class Tick:
    """Event: time has passed."""


@dataclass(frozen=True, slots=True)
class AskVm:
    """Decision: ask a VM for its status and health."""

    vm: VmId


@dataclass(frozen=True, slots=True)
class DrainVm:
    """Decision: tell a VM to take no new tasks.

    ``boot`` and ``fence`` let the VM refuse an act meant for an earlier boot, or sent under a
    lease that another controller has taken over since.
    """

    vm: VmId
    boot: str
    fence: int


@dataclass(frozen=True, slots=True)
class CheckpointTask:
    """Decision: tell a VM to checkpoint a task and stop it, to run elsewhere."""

    vm: VmId
    task_id: str
    boot: str
    fence: int


@dataclass(frozen=True, slots=True)
class RebootVm:
    """Decision: tell a drained VM to reboot."""

    vm: VmId
    boot: str
    fence: int


@dataclass(frozen=True, slots=True)
class UndrainVm:
    """Decision: tell a VM to take tasks again."""

    vm: VmId
    boot: str
    fence: int


VmAct = AskVm | DrainVm | CheckpointTask | RebootVm | UndrainVm
