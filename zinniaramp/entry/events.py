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
    meaning="A request ended and its outcome was sent to the caller.",
    fields=("request", "class", "outcome", "reason", "status", "attempts", "revision"),
)
PEER_UNREACHABLE = declare_event(
    number=1302,
    name="peer-unreachable",
    level="WARNING",
    meaning="Connecting to an endpoint process failed; the connection is retried.",
    fields=("peer", "error"),
)
ATTEMPT_ENDED = declare_event(
    number=1303,
    name="attempt-ended-early",
    level="INFO",
    meaning="An attempt ended without a complete answer.",
    fields=("attempt", "result", "reason", "delivered"),
)
CALLER_GONE = declare_event(
    number=1304,
    name="caller-gone",
    level="INFO",
    meaning="A caller closed its connection before its answer was complete.",
    fields=("request", "attempts"),
)
CALLER_REFUSED = declare_event(
    number=1305,
    name="caller-refused",
    level="INFO",
    meaning="An invalid request was rejected without contacting an endpoint.",
    fields=("path", "status", "code"),
)
PEER_SILENT = declare_event(
    number=1306,
    name="peer-silent",
    level="WARNING",
    meaning="A stream received nothing within the timeout; a new one is opened.",
    fields=("peer", "silent_s"),
)
PEER_LOST = declare_event(
    number=1307,
    name="peer-lost",
    level="WARNING",
    meaning="An endpoint process was lost or restarted; its attempts ended.",
    fields=("peer", "reason", "attempts"),
)
PEER_LEAVING = declare_event(
    number=1308,
    name="peer-leaving",
    level="INFO",
    meaning="An endpoint is leaving; it is offered no more attempts.",
    fields=("peer", "source"),
)
PROCESS_WAS_PAUSED = declare_event(
    number=1309,
    name="process-was-paused",
    level="WARNING",
    meaning="This process was paused; it reopens all streams.",
    fields=("gap_s",),
)
SUBSET_CHANGED = declare_event(
    number=1310,
    name="subset-changed",
    level="INFO",
    meaning="The set of endpoints to which this process keeps streams changed.",
    fields=("opened", "retired", "size"),
)
ANSWER_ASKED_AGAIN = declare_event(
    number=1311,
    name="answer-asked-again",
    level="INFO",
    meaning="A resend of part of an answer was requested.",
    fields=("attempt", "from_sequence", "cause"),
)
DRAIN_STARTED = declare_event(
    number=1312,
    name="drain-started",
    level="INFO",
    meaning="The process stopped accepting requests and finishes those in flight.",
    fields=("in_flight",),
)
DRAIN_ENDED = declare_event(
    number=1313,
    name="drain-ended",
    level="INFO",
    meaning="All requests in flight were finished, or the drain limit was reached.",
    fields=("left",),
)
REQUEST_RESUMED = declare_event(
    number=1314,
    name="request-resumed",
    level="INFO",
    meaning="A caller requested the rest of a retained answer.",
    fields=("attempt", "from_sequence"),
)
