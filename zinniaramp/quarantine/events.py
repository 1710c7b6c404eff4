"""Log events of the quarantine, 2300 to 2399."""

from ..observability import declare_event

__all__ = [
    "CRASH_WITHDRAWN",
    "ENGINE_CRASHED",
    "SEGMENT_QUARANTINED",
    "SEGMENT_RELEASED",
]

ENGINE_CRASHED = declare_event(
    number=2300,
    name="engine-crashed",
    level="WARNING",
    meaning="An endpoint closed its connections and refuses new ones; `segments` are "
    "the names of the prompt segments that it may have begun to answer just before, "
    "and the fingerprints of the requests of this gateway.",
    fields=("endpoint", "sends", "segments"),
)
CRASH_WITHDRAWN = declare_event(
    number=2301,
    name="crash-withdrawn",
    level="INFO",
    meaning="An endpoint that was taken for crashed has answered a later request.",
    fields=("endpoint",),
)
SEGMENT_QUARANTINED = declare_event(
    number=2302,
    name="segment-quarantined",
    level="ERROR",
    meaning="Endpoints crash when they begin to run requests with the segment, or the "
    "request with the fingerprint; these are refused for `seconds`.  `crashes` are the "
    "endpoints, and `peer` is the gateway that reported it, if it was another one.",
    fields=("segment", "seconds", "relapses", "crashes", "peer"),
)
SEGMENT_RELEASED = declare_event(
    number=2303,
    name="segment-released",
    level="INFO",
    meaning="An endpoint has answered a request with a quarantined segment or "
    "fingerprint without a crash, or another one explains the crashes; requests with "
    "it are sent again.",
    fields=("segment",),
)
