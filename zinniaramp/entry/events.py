"""Log events of the entry process, 1300 to 1399."""

from ..observability import declare_event

__all__ = ["ATTEMPT_ROUTED", "PEER_UNREACHABLE", "REQUEST_ENDED"]

ATTEMPT_ROUTED = declare_event(
    number=1300,
    name="attempt-routed",
    level="INFO",
    meaning="An endpoint was chosen for an attempt.",
    fields=("attempt", "target", "class", "workspace", "chosen", "weighed"),
)
REQUEST_ENDED = declare_event(
    number=1301,
    name="request-ended",
    level="INFO",
    meaning="A caller was given the final outcome of its request.",
    fields=("request", "outcome", "status", "attempts"),
)
PEER_UNREACHABLE = declare_event(
    number=1302,
    name="peer-unreachable",
    level="WARNING",
    meaning="An endpoint process could not be reached; it is tried again.",
    fields=("peer", "error"),
)
