"""Log events of the traffic between data centres, 2800 to 2899."""

from ..observability import declare_event

__all__ = ["SPILL_BEGAN", "SPILL_ENDED"]

SPILL_BEGAN = declare_event(
    number=2800,
    name="spill-began",
    level="INFO",
    meaning="Requests for a service begin to leave the data centre, because waiting "
    "there threatens their targets or it has no endpoint; `pressure` is the share of "
    "requests that may leave.",
    fields=("service", "data_center", "pressure"),
)
SPILL_ENDED = declare_event(
    number=2801,
    name="spill-ended",
    level="INFO",
    meaning="Requests for a service no longer leave the data centre; `requests` and "
    "`sent_bytes` are how many left in `seconds` and the size of their bodies.",
    fields=("service", "data_center", "seconds", "requests", "sent_bytes"),
)
