"""Settings and figures of a virtual fleet's maintenance."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RunSettings:
    """What a run does to the fleet.

    Attributes:
        tick_s: Step of virtual time.
        list_lag_s: How far the platform's list lags.
        task_s: Longest run time of a task.
        lost_ratio: Part of the store's answers that are lost.
        outages_s: Spans in which the store is away, as start and end.
        freeze_ratio: Chance of each controller and tick to be frozen for a while.
        kill_ratio: Chance of each controller and tick to be killed and replaced.
        fails_a_day: VMs that fail on an ordinary day.
        restarts_a_day: VMs that restart on an ordinary day.
        rack_lost_s: When a rack is lost; None for never.
        bad_ratio: Part of the VMs with a fault that maintenance brings out.
        bad_signals_s: Span in which urgent requests start late.
        controllers: Controllers in each data centre.
        late_act_ratio: Part of the acts that are sent although the sender's lease ran out.
        end_s: When the run ends at the latest.
    """

    tick_s: float = 1.0
    list_lag_s: float = 20.0
    task_s: float = 120.0
    lost_ratio: float = 0.0
    outages_s: tuple[tuple[float, float], ...] = ()
    freeze_ratio: float = 0.0
    kill_ratio: float = 0.0
    fails_a_day: float = 0.0
    restarts_a_day: float = 0.0
    rack_lost_s: float | None = None
    bad_ratio: float = 0.0
    bad_signals_s: tuple[float, float] = (0.0, 0.0)
    controllers: int = 2
    late_act_ratio: float = 0.3
    end_s: float = 6 * 3_600.0


@dataclass(slots=True)
class RunFigures:
    """What a run showed.

    Attributes:
        planned_starts: Planned stops begun.
        budget_breaches: Planned stops begun while the pool's budget had no room in truth or in
            the records of anyone.
        over_held: Times the planned stops and lent VMs of a pool exceeded its budget.
        starts_while_away: Planned stops begun while the store was away.
        tasks_cut: Tasks that a planned reboot cut off.
        double_reboots: VMs rebooted more than once within one planned stop.
        unplaced_stops: Drains and reboots that took effect on a VM whose record is in service.
        maintained: VMs maintained.
        stuck: VMs still in a planned stop at the end that are up and have no fault.
    """

    planned_starts: int = 0
    budget_breaches: int = 0
    over_held: int = 0
    starts_while_away: int = 0
    starts_while_signals_bad: int = 0
    tasks_cut: int = 0
    double_reboots: int = 0
    unplaced_stops: int = 0
    maintained: int = 0
    failed: int = 0
    stuck: int = 0
    refused_acts: int = 0
    faults: int = 0
    takeovers: int = 0
    store_calls: int = 0
    rollout_s: float | None = None
