"""Log events of admission in the gateway, 2600 to 2699."""

from ..observability import declare_event

__all__ = ["ENDPOINT_GONE_WAITED", "HOLD_ENDED", "PROMPT_HELD", "PROMPT_REFUSED"]

PROMPT_HELD = declare_event(
    number=2600,
    name="prompt-held",
    level="INFO",
    meaning="A prompt waits in the gateway, because the engine with the lowest cost, "
    "`endpoint`, lacks `lacks`: `slots`, `prefill` or `memory`, or others wait "
    "for it (`queue`).  `in_flight` is the number of requests of all gateways there, "
    "`slots` what it has, `held` how many wait in this gateway for the service, "
    "`needed_ms` the predicted time from the send to the end, and `left_ms` the time "
    "to the deadline.",
    fields=(
        "request",
        "service",
        "workspace",
        "urgency",
        "endpoint",
        "lacks",
        "in_flight",
        "slots",
        "held",
        "needed_ms",
        "left_ms",
    ),
)
HOLD_ENDED = declare_event(
    number=2601,
    name="hold-ended",
    level="INFO",
    meaning="A prompt waits no longer: it is `sent` to `endpoint`, `refused`, or "
    "`left` if its caller left or its deadline passed; `passed` is the number of "
    "requests of its class that were sent before it.",
    fields=(
        "request",
        "service",
        "workspace",
        "urgency",
        "outcome",
        "endpoint",
        "held_ms",
        "passed",
        "held",
    ),
)
PROMPT_REFUSED = declare_event(
    number=2602,
    name="prompt-refused",
    level="INFO",
    meaning="A prompt is refused without having been sent: its deadline can't be met "
    "(`deadline`), too many wait (`queue-full`), or the process stops (`stopping`).  "
    "`wait_ms` and `needed_ms` are the predicted times until the send and from "
    "there to the end, and `left_ms` is the time to the deadline.",
    fields=(
        "request",
        "service",
        "workspace",
        "urgency",
        "reason",
        "wait_ms",
        "needed_ms",
        "left_ms",
        "held",
        "retry_after",
    ),
)
ENDPOINT_GONE_WAITED = declare_event(
    number=2603,
    name="endpoint-gone-waited",
    level="WARNING",
    meaning="`sends` requests that waited for the first part of an answer were ended, "
    "because connections to the endpoint fail and its entry was removed "
    "(`is_removed`), or, if they may be repeated, connections are refused or another "
    "process has taken its place.",
    fields=("endpoint", "sends", "is_removed"),
)
