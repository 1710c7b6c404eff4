"""Log events of the entry process, 1300 to 1399."""

from ..observability import declare_event

__all__ = [
    "ANSWER_ASKED_AGAIN",
    "ATTEMPT_ENDED",
    "ATTEMPT_ROUTED",
    "CALLER_GONE",
    "CALLER_REFUSED",
    "DRAIN_ENDED",
    "DRAIN_STARTED",
    "PEER_LEAVING",
    "PEER_LOST",
    "PEER_SILENT",
    "PEER_UNREACHABLE",
    "PROCESS_WAS_PAUSED",
    "REQUEST_ENDED",
    "REQUEST_RESUMED",
    "SUBSET_CHANGED",
]

ATTEMPT_ROUTED = declare_event(
    number=1300,
    name="attempt-routed",
    level="INFO",
    meaning="An endpoint was chosen for an attempt.",
    fields=("attempt", "target", "class", "workspace", "chosen", "policy", "weighed"),
)
REQUEST_ENDED = declare_event(
    number=1301,
    name="request-ended",
    level="INFO",
    meaning="A caller was given the final outcome of its request.",
    fields=("request", "class", "outcome", "reason", "status", "attempts", "revision"),
)
PEER_UNREACHABLE = declare_event(
    number=1302,
    name="peer-unreachable",
    level="WARNING",
    meaning="An endpoint process could not be reached; it is tried again.",
    fields=("peer", "error"),
)
ATTEMPT_ENDED = declare_event(
    number=1303,
    name="attempt-ended-early",
    level="INFO",
    meaning="An attempt did not bring the whole answer.",
    fields=("attempt", "result", "reason", "delivered"),
)
CALLER_GONE = declare_event(
    number=1304,
    name="caller-gone",
    level="INFO",
    meaning="A caller closed its connection before its answer was whole.",
    fields=("request", "attempts"),
)
CALLER_REFUSED = declare_event(
    number=1305,
    name="caller-refused",
    level="INFO",
    meaning="A request was wrong and was answered without touching an endpoint.",
    fields=("path", "status", "code"),
)
PEER_SILENT = declare_event(
    number=1306,
    name="peer-silent",
    level="WARNING",
    meaning="Nothing arrived on a stream for too long; a new one is dialled.",
    fields=("peer", "silent_s"),
)
PEER_LOST = declare_event(
    number=1307,
    name="peer-lost",
    level="WARNING",
    meaning="An endpoint process is gone or was restarted; its attempts ended.",
    fields=("peer", "reason", "attempts"),
)
PEER_LEAVING = declare_event(
    number=1308,
    name="peer-leaving",
    level="INFO",
    meaning="An endpoint is leaving; it is offered nothing more.",
    fields=("peer", "source"),
)
PROCESS_WAS_PAUSED = declare_event(
    number=1309,
    name="process-was-paused",
    level="WARNING",
    meaning="This process did not run for a while; it opens all streams anew.",
    fields=("gap_s",),
)
SUBSET_CHANGED = declare_event(
    number=1310,
    name="subset-changed",
    level="INFO",
    meaning="The endpoints that this process keeps streams to have changed.",
    fields=("opened", "retired", "size"),
)
ANSWER_ASKED_AGAIN = declare_event(
    number=1311,
    name="answer-asked-again",
    level="INFO",
    meaning="Part of an answer was asked for again.",
    fields=("attempt", "from_sequence", "cause"),
)
DRAIN_STARTED = declare_event(
    number=1312,
    name="drain-started",
    level="INFO",
    meaning="The process finishes the answers of its callers and takes no others.",
    fields=("in_flight",),
)
DRAIN_ENDED = declare_event(
    number=1313,
    name="drain-ended",
    level="INFO",
    meaning="The process has finished its callers' answers, or waited long enough.",
    fields=("left",),
)
REQUEST_RESUMED = declare_event(
    number=1314,
    name="request-resumed",
    level="INFO",
    meaning="A caller asked for a retained answer.",
    fields=("attempt", "from_sequence"),
)
