"""Plans of load with the faults that go with them, and the settings compared."""

from dataclasses import dataclass

__all__ = ["SCENARIOS", "VARIANTS", "EngineFault", "Scenario"]


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineFault:
    """What is done to the first engine at some time of a run.

    Parameters
    ----------
    at_s : float
        Seconds from the start of the load.
    slow : float
        Factor on the time of its steps from then on.
    is_down : bool
        Whether its process is killed; a later fault that does not say so starts
        it again.
    """

    at_s: float
    slow: float = 1.0
    is_down: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class Scenario:
    """One plan and what happens to its fleet.

    Parameters
    ----------
    example, plan : str
        Directory below ``examples`` and plan in its ``plans``.
    urgent : str
        Class whose attainment weighs most.
    slow : tuple of float
        Factor on the step time of each engine.
    faults : tuple of EngineFault
        What happens to the first engine.
    judged_from_s : float
        Requests planned earlier do not count in attainment.
    """

    example: str
    plan: str
    urgent: str
    slow: tuple[float, ...] = ()
    faults: tuple[EngineFault, ...] = ()
    judged_from_s: float = 0.0


def _trades(plan: str, **options) -> Scenario:
    return Scenario(example="kilometerwerk", plan=plan, urgent="question", **options)


def _films(plan: str, **options) -> Scenario:
    return Scenario(example="tsurugaya", plan=plan, urgent="frame-query", **options)


SCENARIOS = {
    "ordinary": _trades("ordinary"),
    "month-end": _trades("month-end"),
    "overload-1.5": _trades("overload-1.5"),
    "overload-2": _trades("overload-2"),
    "class-swamp": _trades("log-entry-swamp"),
    "workspace-swamp": _trades("workspace-swamp"),
    "heavy-tail": _trades("heavy-tail"),
    "unlike-engines": _trades("ordinary", slow=(2.0, 1.0, 0.7)),
    "engine-slows": _trades(
        "ordinary", faults=(EngineFault(at_s=5, slow=5.0), EngineFault(at_s=10))
    ),
    "engine-crashes": _trades(
        "ordinary", faults=(EngineFault(at_s=5, is_down=True), EngineFault(at_s=9))
    ),
    "collapse": _trades("collapse", judged_from_s=18),
    "films-ordinary": _films("ordinary"),
    "films-batch": _films("batch"),
    "films-overload-2": _films("overload-2"),
    "films-sessions": _films("bench-sessions"),
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
"""Settings by section that differ from the usual ones, by name."""
