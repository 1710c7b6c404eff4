"""Events of cold endpoints."""

from ..observability import declare_event

ENDPOINT_COLD = declare_event(
    number=2700,
    name="endpoint-cold",
    level="INFO",
    meaning="An endpoint is cold for `seconds` and gets few requests in that time; "
    "`cause` is what shows it: its entry, its answer, its listing during traffic, or "
    "the end of an evacuation.",
    fields=("endpoint", "seconds", "cause"),
)
