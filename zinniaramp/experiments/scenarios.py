"""Load plans with their engine faults, and the settings that are compared."""

from dataclasses import dataclass

__all__ = ["SCENARIOS", "VARIANTS", "EngineFault", "Scenario"]


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineFault:
    """Change of the first engine at a given time of a run.

    Parameters
    ----------
    at_s : float
        Seconds from the start of the load.
    slow : float
        Factor by which its steps take longer from then on.
    is_down : bool
        Whether its process is killed.  The next fault without this flag restarts it.
    """

    at_s: float
    slow: float = 1.0
    is_down: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class Scenario:
    """One load plan and the state of the fleet that it runs against.

    Parameters
    ----------
    example, plan : str
        Name of the directory in ``examples``, and of the plan in its ``plans``.
    urgent : str
        Class whose attainment is reported separately.
    slow : tuple of float
        Factor by which the steps of each engine take longer.
    faults : tuple of EngineFault
        Faults of the first engine, in order of time.
    counted_from_s : float
        Seconds from the start of the run; requests planned earlier do not count in
        attainment.
    """

    example: str
    plan: str
    urgent: str
    slow: tuple[float, ...] = ()
    faults: tuple[EngineFault, ...] = ()
    counted_from_s: float = 0.0


def _make_kilometerwerk(plan: str, **options) -> Scenario:
    return Scenario(example="kilometerwerk", plan=plan, urgent="question", **options)


def _make_tsurugaya(plan: str, **options) -> Scenario:
    return Scenario(example="tsurugaya", plan=plan, urgent="frame-query", **options)


SCENARIOS = {
    "ordinary": _make_kilometerwerk("ordinary"),
    "month-end": _make_kilometerwerk("month-end"),
    "overload-1.5": _make_kilometerwerk("overload-1.5"),
    "overload-2": _make_kilometerwerk("overload-2"),
    "class-swamp": _make_kilometerwerk("log-entry-swamp"),
    "workspace-swamp": _make_kilometerwerk("workspace-swamp"),
    "heavy-tail": _make_kilometerwerk("heavy-tail"),
    "unlike-engines": _make_kilometerwerk("ordinary", slow=(2.0, 1.0, 0.7)),
    "engine-slows": _make_kilometerwerk(
        "ordinary", faults=(EngineFault(at_s=5, slow=5.0), EngineFault(at_s=10))
    ),
    "engine-crashes": _make_kilometerwerk(
        "ordinary", faults=(EngineFault(at_s=5, is_down=True), EngineFault(at_s=9))
    ),
    "collapse": _make_kilometerwerk("collapse", counted_from_s=18),
    "films-ordinary": _make_tsurugaya("ordinary"),
    "films-batch": _make_tsurugaya("batch"),
    "films-overload-2": _make_tsurugaya("overload-2"),
    "films-sessions": _make_tsurugaya("bench-sessions"),
}
"""Scenarios by name."""

VARIANTS: dict[str, dict[str, dict[str, str]]] = {
    "policy": {},
    "first come": {"scheduling": {"order": "first_come_first_served"}},
    "strict priority": {"scheduling": {"order": "strict_priority_without_preemption"}},
    "random": {"routing": {"policy": "random"}},
    "round robin": {"routing": {"policy": "round_robin"}},
    "least reported": {"routing": {"policy": "least_reported"}},
    "no early refusal": {"scheduling": {"admission": "places"}},
    "first come by places": {
        "scheduling": {"order": "first_come_first_served", "admission": "places"}
    },
}
"""Settings by section that differ from the defaults, by name of the variant."""
