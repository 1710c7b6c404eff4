"""Log events of the endpoint process, 1400 to 1499."""

from ..observability import declare_event

__all__ = ["ATTEMPT_ENDED", "ATTEMPT_PLACED"]

ATTEMPT_PLACED = declare_event(
    number=1400,
    name="attempt-placed",
    level="INFO",
    meaning="An offered attempt was accepted or refused at the endpoint.",
    fields=("attempt", "decision", "class", "workspace", "running", "width", "queued"),
)
ATTEMPT_ENDED = declare_event(
    number=1401,
    name="attempt-ended",
    level="INFO",
    meaning="An attempt that was accepted ended.",
    fields=("attempt", "outcome", "tokens", "detail"),
)
