"""Log events of the gateway, 2000 to 2099."""

from ..observability import declare_event

__all__ = [
    "ANSWERED",
    "CALLER_LEFT",
    "CONFIGURATION_AWAITED",
    "ENDPOINT_CHOSEN",
    "ENDPOINT_COOLDOWN",
    "ENDPOINT_LEFT_OUT",
    "ENDPOINT_LIMITED",
    "HOLDINGS_READ",
    "HOLDINGS_UNKNOWN",
    "LISTENER_LATE",
    "REQUEST_FAILED",
    "REQUEST_REFUSED",
    "SEND_ENDED",
    "GATEWAY_STARTED",
    "GATEWAY_STOPPED",
    "GATEWAY_STOPPING",
    "SETTINGS_RELOADED",
    "SETTINGS_REFUSED",
    "STREAM_RESUMED",
]

ENDPOINT_CHOSEN = declare_event(
    number=2000,
    name="endpoint-chosen",
    level="INFO",
    meaning="An endpoint was selected for a send; `software` is the version of its "
    "software, `after_event` the id of the event after which the stream goes on, and "
    "`resumes` the caller's request that began the stream; `wait_ms` (time to first "
    "token) and `to_read` (prompt tokens to prefill) are predictions for an engine, "
    "`version` is the configuration's version, `era` and `revision` are the store's, "
    "`confirmed_ms` is the time since the store was last known to have no later one, "
    "`ready` is the number of endpoints that could be selected, `segments` are the "
    "names of the prompt segments that other requests may share, and `fingerprint` is "
    "the same for each repetition of a request.",
    fields=(
        "request",
        "route",
        "endpoint",
        "software",
        "send",
        "after_event",
        "resumes",
        "version",
        "era",
        "revision",
        "confirmed_ms",
        "ready",
        "waited_ms",
        "left_ms",
        "wait_ms",
        "to_read",
        "segments",
        "fingerprint",
    ),
)
SEND_ENDED = declare_event(
    number=2001,
    name="send-ended",
    level="INFO",
    meaning="A send ended; `fate` is whether the endpoint has run the request, and "
    "`events` counts the reads that completed events of its stream.",
    fields=(
        "request",
        "endpoint",
        "send",
        "fate",
        "status",
        "after_ms",
        "events",
        "problem",
    ),
)
ANSWERED = declare_event(
    number=2002,
    name="answered",
    level="INFO",
    meaning="An endpoint's answer was forwarded; `whole` is false if it was cut short, "
    "`problem` is why, and `gap_ms` is the longest time between events of a stream.",
    fields=(
        "request",
        "route",
        "status",
        "whole",
        "problem",
        "sends",
        "after_ms",
        "first_ms",
        "gap_ms",
    ),
)
REQUEST_REFUSED = declare_event(
    number=2003,
    name="request-refused",
    level="INFO",
    meaning="The gateway answered the request itself, with an error.",
    fields=("request", "route", "status", "reason", "sends", "after_ms", "retry_after"),
)
CALLER_LEFT = declare_event(
    number=2004,
    name="caller-left",
    level="INFO",
    meaning="The caller closed its connection before the answer was complete; a "
    "send in progress was cancelled.",
    fields=("request", "route", "sends", "after_ms"),
)
GATEWAY_STARTED = declare_event(
    number=2005,
    name="gateway-started",
    level="INFO",
    meaning="The process listens; it is ready once a configuration is known.",
    fields=("host", "data_center", "callers"),
)
GATEWAY_STOPPING = declare_event(
    number=2006,
    name="gateway-stopping",
    level="INFO",
    meaning="The process received the stop signal and reports that it is not ready.",
    fields=("in_flight",),
)
GATEWAY_STOPPED = declare_event(
    number=2007,
    name="gateway-stopped",
    level="INFO",
    meaning="The process exits; `left` is the number of requests still in flight.",
    fields=("left", "after_s"),
)
SETTINGS_RELOADED = declare_event(
    number=2008,
    name="settings-reloaded",
    level="INFO",
    meaning="The settings file was reloaded and is in force.",
    fields=("changed",),
)
SETTINGS_REFUSED = declare_event(
    number=2009,
    name="settings-refused",
    level="ERROR",
    meaning="The settings file is invalid; the previous settings stay in force.",
    fields=("problem",),
)
HOLDINGS_READ = declare_event(
    number=2010,
    name="holdings-read",
    level="INFO",
    meaning="An engine that started before this process reported the prompt "
    "segments in its KV cache.",
    fields=("endpoint", "parts"),
)
HOLDINGS_UNKNOWN = declare_event(
    number=2011,
    name="holdings-unknown",
    level="WARNING",
    meaning="An engine did not report the prompt segments in its KV cache; the cache "
    "is assumed to be empty.",
    fields=("endpoint", "problem"),
)
ENDPOINT_LEFT_OUT = declare_event(
    number=2012,
    name="endpoint-left-out",
    level="WARNING",
    meaning="Sends to the endpoint failed; it is ejected for `seconds`.",
    fields=("endpoint", "seconds", "problem"),
)
LISTENER_LATE = declare_event(
    number=2013,
    name="listener-late",
    level="WARNING",
    meaning="The callers' listener could not be opened before the libraries were "
    "imported; it is opened now.",
    fields=("problem",),
)
CONFIGURATION_AWAITED = declare_event(
    number=2014,
    name="configuration-awaited",
    level="WARNING",
    meaning="No configuration was received in time after the start; requests are "
    "answered with 503 until there is one.",
    fields=(),
)
ENDPOINT_COOLDOWN = declare_event(
    number=2015,
    name="endpoint-cooldown",
    level="INFO",
    meaning="An endpoint that sheds load asked to be left alone; it gets no requests "
    "for `seconds`.",
    fields=("endpoint", "seconds"),
)
ENDPOINT_LIMITED = declare_event(
    number=2016,
    name="endpoint-limited",
    level="INFO",
    meaning="An endpoint takes only `per_s` requests per second from all gateways "
    "together, or, if that is null, has no limit any more; `peer` is the gateway that "
    "reported it, if it was another one.",
    fields=("endpoint", "per_s", "peer"),
)
STREAM_RESUMED = declare_event(
    number=2017,
    name="stream-resumed",
    level="INFO",
    meaning="A caller resumes, after `after_event`, a stream that its request "
    "`resumes` began at the software version `software`; `known_by` is how this is "
    "known, `age_ms` the age of the record, and `waited_ms` the time that it took to "
    "find out.  The stream goes on only if an endpoint of that version is ready.",
    fields=(
        "request",
        "resumes",
        "after_event",
        "service",
        "software",
        "known_by",
        "age_ms",
        "waited_ms",
    ),
)
REQUEST_FAILED = declare_event(
    number=2018,
    name="request-failed",
    level="ERROR",
    meaning="An unexpected exception ended the handling of a request; `where` is the "
    "line of the code.  Event 2002 or 2003 says what the caller got.",
    fields=("request", "route", "sends", "after_ms", "error", "where"),
)
