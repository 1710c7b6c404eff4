"""Log events of the host list, 1800 to 1899."""

from ..observability import declare_event

__all__ = [
    "HOSTS_LOWER",
    "HOSTS_REPLACED",
    "HOSTS_UNREACHABLE",
    "HOST_DUPLICATE",
    "HOST_MALFORMED",
]

HOSTS_REPLACED = declare_event(
    number=1800,
    name="hosts-replaced",
    level="INFO",
    meaning="A new list of hosts is in use.",
    fields=("index", "live", "leaving"),
)
HOSTS_UNREACHABLE = declare_event(
    number=1801,
    name="hosts-unreachable",
    level="WARNING",
    meaning="The host list service returned no usable answer; the last list stays "
    "in use.",
    fields=("error", "wait_s"),
)
HOSTS_LOWER = declare_event(
    number=1802,
    name="hosts-lower",
    level="WARNING",
    meaning="The host list has a lower index than before; it is ignored.",
    fields=("index", "in_use"),
)
HOST_DUPLICATE = declare_event(
    number=1803,
    name="host-duplicate",
    level="WARNING",
    meaning="The list has several entries for one host; the last live entry is used.",
    fields=("index", "host", "addresses"),
)
HOST_MALFORMED = declare_event(
    number=1804,
    name="host-malformed",
    level="WARNING",
    meaning="An entry of the list failed validation; it is ignored.",
    fields=("index", "entry", "error"),
)
