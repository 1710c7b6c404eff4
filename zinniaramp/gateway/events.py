"""Log events of the gateway, 2000 to 2099."""

from ..observability import declare_event

__all__ = [
    "ANSWERED",
    "CALLER_LEFT",
    "CONFIGURATION_AWAITED",
    "ENDPOINT_CHOSEN",
    "ENDPOINT_LEFT_OUT",
    "HOLDINGS_READ",
    "HOLDINGS_UNKNOWN",
    "LISTENER_LATE",
    "REQUEST_REFUSED",
    "SEND_ENDED",
    "GATEWAY_STARTED",
    "GATEWAY_STOPPED",
    "GATEWAY_STOPPING",
    "SETTINGS_RELOADED",
    "SETTINGS_REFUSED",
]

ENDPOINT_CHOSEN = declare_event(
    number=2000,
    name="endpoint-chosen",
    level="INFO",
    meaning="A request is about to be sent to an endpoint; `wait_ms` and `to_read` "
    "are the model's predictions for a prompt, `version` the configuration, "
    "`revision` that of the endpoints, `ready` how many could be chosen from.",
    fields=(
        "request",
        "route",
        "endpoint",
        "send",
        "version",
        "revision",
        "ready",
        "waited_ms",
        "left_ms",
        "wait_ms",
        "to_read",
    ),
)
SEND_ENDED = declare_event(
    number=2001,
    name="send-ended",
    level="INFO",
    meaning="One send of a request ended; `fate` says whether it has run.",
    fields=("request", "endpoint", "send", "fate", "status", "after_ms", "problem"),
)
ANSWERED = declare_event(
    number=2002,
    name="answered",
    level="INFO",
    meaning="An endpoint's answer was passed on; `whole` is false if it broke off, and "
    "`gap_ms` is the longest pause between events of a stream.",
    fields=(
        "request",
        "route",
        "status",
        "whole",
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
    meaning="The request got an answer of our own.",
    fields=("request", "route", "status", "reason", "sends", "after_ms", "retry_after"),
)
CALLER_LEFT = declare_event(
    number=2004,
    name="caller-left",
    level="INFO",
    meaning="The caller closed its connection before the answer was complete; what "
    "was under way at an endpoint has been ended.",
    fields=("request", "route", "sends", "after_ms"),
)
GATEWAY_STARTED = declare_event(
    number=2005,
    name="gateway-started",
    level="INFO",
    meaning="The process listens; it is ready once it knows a configuration.",
    fields=("host", "data_center", "callers"),
)
GATEWAY_STOPPING = declare_event(
    number=2006,
    name="gateway-stopping",
    level="INFO",
    meaning="The process was told to stop and says that it isn't ready.",
    fields=("in_flight",),
)
GATEWAY_STOPPED = declare_event(
    number=2007,
    name="gateway-stopped",
    level="INFO",
    meaning="The process exits; `left` requests were still in flight.",
    fields=("left", "after_s"),
)
SETTINGS_RELOADED = declare_event(
    number=2008,
    name="settings-reloaded",
    level="INFO",
    meaning="The settings file was read again and is in force.",
    fields=("changed",),
)
SETTINGS_REFUSED = declare_event(
    number=2009,
    name="settings-refused",
    level="ERROR",
    meaning="The settings file can't be used; the settings in force stay.",
    fields=("problem",),
)
HOLDINGS_READ = declare_event(
    number=2010,
    name="holdings-read",
    level="INFO",
    meaning="An engine that was there before this process said what it holds.",
    fields=("endpoint", "parts"),
)
HOLDINGS_UNKNOWN = declare_event(
    number=2011,
    name="holdings-unknown",
    level="WARNING",
    meaning="An engine did not say what it holds; it is taken to hold nothing.",
    fields=("endpoint", "problem"),
)
ENDPOINT_LEFT_OUT = declare_event(
    number=2012,
    name="endpoint-left-out",
    level="WARNING",
    meaning="Sends to the endpoint failed, so that it is not chosen for a while.",
    fields=("endpoint", "seconds", "problem"),
)
LISTENER_LATE = declare_event(
    number=2013,
    name="listener-late",
    level="WARNING",
    meaning="The callers' listener could not be opened before the libraries were "
    "loaded; it is opened now.",
    fields=("problem",),
)
CONFIGURATION_AWAITED = declare_event(
    number=2014,
    name="configuration-awaited",
    level="WARNING",
    meaning="No configuration is known some time after the start; callers are answered "
    "503 from now on, until there is one.",
    fields=(),
)
