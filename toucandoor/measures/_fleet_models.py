"""Settings and figures of simulated maintenance of a fleet."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RunSettings:
    """Load and faults of a simulation.

    Attributes:
        tick_s: Step of virtual time.
        list_lag_s: Age of the platform's VM list when planners read it.
        task_max_s: Longest duration of a task.
        lost_answer_ratio: Fraction of writes to the store whose answer is lost: the write takes
            effect at once, later or never. Also the probability in each step that delayed writes
            are applied.
        store_outages_s: Start and end of each period in which the store is unavailable.
        freeze_ratio: Probability that a planning run is followed by a freeze of its controller, for
            1 s to 120 s, before its decisions are carried out.
        kill_ratio: Probability, for each controller in each step, that it is killed and replaced.
        failures_per_day: Mean number of VMs that crash each day and stay down for 4 hours.
        restarts_per_day: Mean number of VMs that crash each day and are back after 90 s.
        rack_lost_s: Time at which all VMs of one rack crash for 30 minutes; None for never.
        faulty_vm_ratio: Fraction of VMs with a fault that shows when they are drained or rebooted.
        bad_signals_s: Start and end of the period in which half of the urgent requests start late.
        controllers: Number of controllers in each data centre.
        late_command_ratio: Fraction of commands to VMs that are sent even if the sender's lease has
            expired.
        end_s: Time at which the simulation ends at the latest.
    """

    tick_s: float = 1.0
    list_lag_s: float = 20.0
    task_max_s: float = 120.0
    lost_answer_ratio: float = 0.0
    store_outages_s: tuple[tuple[float, float], ...] = ()
    freeze_ratio: float = 0.0
    kill_ratio: float = 0.0
    failures_per_day: float = 0.0
    restarts_per_day: float = 0.0
    rack_lost_s: float | None = None
    faulty_vm_ratio: float = 0.0
    bad_signals_s: tuple[float, float] = (0.0, 0.0)
    controllers: int = 2
    late_command_ratio: float = 0.3
    end_s: float = 6 * 3_600.0


@dataclass(slots=True)
class RunFigures:
    """Figures of a simulation.

    Violations of a guarantee are counted by ``budget_breaches``, ``over_held``,
    ``starts_while_away``, ``starts_while_signals_bad``, ``tasks_cut``, ``double_reboots`` and
    ``unplaced_stops``.

    Attributes:
        planned_starts: Planned stops started.
        budget_breaches: Times a planned stop started in a pool with more VMs out of service, for
            any cause, than its budget allows.
        over_held: Times a planned stop started in a pool with more VMs in planned stops than its
            budget allows.
        starts_while_away: Times planned stops started while the store was unavailable.
        starts_while_signals_bad: Times planned stops started while the service signals were bad.
        tasks_cut: Tasks that were still running when their VM was rebooted on command.
        double_reboots: VMs rebooted more than once within one planned stop.
        unplaced_stops: Drains and reboots that took effect on a VM that is not in a planned stop
            according to its record.
        maintained: VMs maintained.
        failed: VMs still in a planned stop at the end.
        stuck: VMs still in a planned stop at the end that are up and have no fault.
        refused_acts: Commands that a VM refused for their boot or fencing token.
        faults: Faults injected.
        takeovers: Writes of an assignment map under another fencing token than the write before.
        store_calls: Calls to the store.
        rollout_s: Time at which all VMs were maintained that can be; None if that was not reached.
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
