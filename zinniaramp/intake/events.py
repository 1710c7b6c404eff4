"""Log events of the account, 2900 to 2999."""

from ..observability import declare_event

__all__ = ["INTAKE_EVICTED", "INTAKE_LIMITS"]

INTAKE_LIMITS = declare_event(
    number=2900,
    name="intake-limits",
    level="INFO",
    meaning="What connections of callers and peers may hold: `budget_mb` of memory "
    "beyond the `resident_mb` of the idle process, and `sockets` descriptors together "
    "with the callers' sends; null is no limit.",
    fields=("budget_mb", "resident_mb", "sockets"),
)
INTAKE_EVICTED = declare_event(
    number=2901,
    name="intake-evicted",
    level="WARNING",
    meaning="Memory or descriptors ran short, and connections were closed: `evicted` "
    "counts them by listener, phase and cause since the last such event, at most one a "
    "second; `held_mb` and `connections` are what is left.",
    fields=("evicted", "held_mb", "budget_mb", "connections"),
)
