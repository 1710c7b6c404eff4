"""Log events of the daemon, 1000 to 1099."""

from ..observability import declare_event

__all__ = ["PROCESS_STARTED"]

PROCESS_STARTED = declare_event(
    number=1000,
    name="process-started",
    level="INFO",
    meaning="The process has read its settings and listens.",
    fields=("role", "incarnation"),
)
