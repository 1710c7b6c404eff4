"""Log events of the daemon, 1000 to 1099."""

from ..observability import declare_event

__all__ = [
    "FORCED_EXIT",
    "LIBRARY_MESSAGE",
    "PROCESS_SETTLED",
    "PROCESS_STARTED",
    "SHUTDOWN_ENDED",
    "SHUTDOWN_STARTED",
    "TASK_FAILED",
]

PROCESS_STARTED = declare_event(
    number=1000,
    name="process-started",
    level="INFO",
    meaning="The process has read its settings and opened its listeners.",
    fields=("role", "incarnation"),
)
PROCESS_SETTLED = declare_event(
    number=1001,
    name="process-settled",
    level="INFO",
    meaning="The initial lookup of the newest revision has ended; the process may "
    "become ready.",
    fields=("index", "digest"),
)
SHUTDOWN_STARTED = declare_event(
    number=1002,
    name="shutdown-started",
    level="INFO",
    meaning="A shutdown was requested; the process drains.",
    fields=("cause",),
)
SHUTDOWN_ENDED = declare_event(
    number=1003,
    name="shutdown-ended",
    level="INFO",
    meaning="The process exits; `left` is the number of requests still in flight "
    "after `[fleet] drain_limit`, null if it is unknown.",
    fields=("seconds", "left"),
)
FORCED_EXIT = declare_event(
    number=1004,
    name="forced-exit",
    level="WARNING",
    meaning="A second signal arrived; the process exits at once.",
    fields=("signal",),
)
TASK_FAILED = declare_event(
    number=1005,
    name="task-failed",
    level="ERROR",
    meaning="A task raised an exception that was not handled.",
    fields=("task", "error", "where", "restart_s"),
)
LIBRARY_MESSAGE = declare_event(
    number=1006,
    name="library-message",
    level="WARNING",
    meaning="A library logged a warning or an error.",
    fields=("logger", "text", "error"),
)
