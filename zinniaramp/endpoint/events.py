"""Log events of the endpoint process, 1400 to 1499."""

from ..observability import declare_event

__all__ = [
    "ATTEMPT_ENDED",
    "ATTEMPT_PLACED",
    "ATTEMPT_RESUMED",
    "ATTEMPT_SCHEDULED",
    "DRAIN_ENDED",
    "ENGINE_ORDER_FAILED",
    "ENGINE_SILENT",
    "HOST_LEAVING",
    "PAUSE_DETECTED",
    "STREAM_SILENT",
    "TICKET_DECIDED",
]

ATTEMPT_PLACED = declare_event(
    number=1400,
    name="attempt-placed",
    level="INFO",
    meaning="The endpoint accepted or refused an offered attempt.",
    fields=(
        "attempt",
        "decision",
        "reason",
        "class",
        "tier",
        "pausable",
        "workspace",
        "wait_s",
        "deadline_s",
        "running",
        "width",
        "queued",
        "queue_s",
    ),
)
ATTEMPT_ENDED = declare_event(
    number=1401,
    name="attempt-ended",
    level="INFO",
    meaning="An accepted attempt ended.",
    fields=("attempt", "outcome", "tokens", "wasted", "detail"),
)
ATTEMPT_SCHEDULED = declare_event(
    number=1402,
    name="attempt-scheduled",
    level="INFO",
    meaning="The scheduler started, paused, resumed, expired or shed an attempt.",
    fields=(
        "attempt",
        "decision",
        "class",
        "workspace",
        "tokens",
        "waited_s",
        "slack_s",
        "floor_s",
        "running",
        "width",
        "queued",
    ),
)
ENGINE_ORDER_FAILED = declare_event(
    number=1403,
    name="engine-order-failed",
    level="WARNING",
    meaning="The engine failed to execute an order about a request.",
    fields=("attempt", "order", "error"),
)
ENGINE_SILENT = declare_event(
    number=1404,
    name="engine-silent",
    level="WARNING",
    meaning="The engine sent nothing within the timeout for its token intervals.",
    fields=("attempt", "bound_s", "tokens"),
)
PAUSE_DETECTED = declare_event(
    number=1405,
    name="pause-detected",
    level="WARNING",
    meaning="This process was paused; it closes its streams and holds attempts.",
    fields=("gap_s", "bound_s", "held"),
)
HOST_LEAVING = declare_event(
    number=1406,
    name="host-leaving",
    level="INFO",
    meaning="This endpoint stops accepting offers.",
    fields=("in_flight", "streams"),
)
STREAM_SILENT = declare_event(
    number=1407,
    name="stream-silent",
    level="WARNING",
    meaning="A stream is closed because nothing was received within the timeout.",
    fields=("peer", "bound_s"),
)
ATTEMPT_RESUMED = declare_event(
    number=1408,
    name="attempt-resumed",
    level="INFO",
    meaning="An entry process resumed the answer of an attempt on a stream.",
    fields=("attempt", "peer", "from_sequence"),
)
DRAIN_ENDED = declare_event(
    number=1409,
    name="drain-ended",
    level="INFO",
    meaning="A drain ended: all attempts are finished, or the limit was reached.",
    fields=("unfinished",),
)
TICKET_DECIDED = declare_event(
    number=1410,
    name="ticket-decided",
    level="INFO",
    meaning="A ticket was issued or refused.",
    fields=("request", "decision", "reason", "class", "workspace"),
)
