"""Log events of the entries' exchange, 2100 to 2199."""

from ..observability import declare_event

__all__ = ["ITEMS_FROM_PEER", "PEER_FOUND", "PEER_GONE", "PEER_SPOKE_WRONG"]

PEER_FOUND = declare_event(
    number=2100,
    name="peer-found",
    level="INFO",
    meaning="Another entry was reached and is told what this one sends.",
    fields=("peer",),
)
PEER_GONE = declare_event(
    number=2101,
    name="peer-gone",
    level="INFO",
    meaning="The connection to another entry ended; what it had sent is forgotten.",
    fields=("peer", "problem"),
)
PEER_SPOKE_WRONG = declare_event(
    number=2102,
    name="peer-spoke-wrong",
    level="WARNING",
    meaning="Another process sent bytes that are not a message; its connection is "
    "closed.",
    fields=("peer", "problem"),
)
ITEMS_FROM_PEER = declare_event(
    number=2103,
    name="items-from-peer",
    level="INFO",
    meaning="Another entry knew the store further than this one and gave what was "
    "missing.",
    fields=("peer", "before", "revision", "items"),
)
