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
    meaning="An engine closed its connections and refuses new ones; `segments` are the "
    "names of the prompt segments that it may have begun to answer just before.",
    fields=("endpoint", "sends", "segments"),
)
CRASH_WITHDRAWN = declare_event(
    number=2301,
    name="crash-withdrawn",
    level="INFO",
    meaning="An engine that was taken for crashed has answered a later request.",
    fields=("endpoint",),
)
SEGMENT_QUARANTINED = declare_event(
    number=2302,
    name="segment-quarantined",
    level="ERROR",
    meaning="Engines crash when they begin to answer prompts with the segment; "
    "requests with it are refused for `seconds`.  `crashes` are the engines, and "
    "`peer` is the gateway that reported it, if it was another one.",
    fields=("segment", "seconds", "relapses", "crashes", "peer"),
)
SEGMENT_RELEASED = declare_event(
    number=2303,
    name="segment-released",
    level="INFO",
    meaning="An engine has answered a prompt with a quarantined segment without a "
    "crash, or another segment explains the crashes; requests with it are sent again.",
    fields=("segment",),
)
