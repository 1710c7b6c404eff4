"""Log events of the connections between gateway processes, numbers 2100 to 2199."""

from ..observability import declare_event

__all__ = [
    "ITEMS_RECEIVED_FROM_PEER",
    "ITEMS_SENT_TO_PEER",
    "PEER_CONNECTED",
    "PEER_DISCONNECTED",
    "PEER_SENT_INVALID_DATA",
]

PEER_CONNECTED = declare_event(
    number=2100,
    name="peer-found",
    level="INFO",
    meaning="Connected to another gateway process; load events are sent to it.",
    fields=("peer",),
)
PEER_DISCONNECTED = declare_event(
    number=2101,
    name="peer-gone",
    level="INFO",
    meaning="A connection to or from another gateway process closed. The load events "
    "received on an accepted connection are discarded.",
    fields=("peer", "problem"),
)
PEER_SENT_INVALID_DATA = declare_event(
    number=2102,
    name="peer-spoke-wrong",
    level="WARNING",
    meaning="Another process sent bytes that are not a valid message; its connection "
    "is closed.",
    fields=("peer", "problem"),
)
ITEMS_RECEIVED_FROM_PEER = declare_event(
    number=2103,
    name="items-from-peer",
    level="INFO",
    meaning="Another gateway process had a newer revision of the store and sent the "
    "missing items, in a message of `bytes` bytes.",
    fields=("peer", "era", "before", "revision", "items", "bytes"),
)
ITEMS_SENT_TO_PEER = declare_event(
    number=2104,
    name="items-to-peer",
    level="INFO",
    meaning="Another gateway process has asked for the items that changed after "
    "revision `after`; they are sent in `bytes` bytes.",
    fields=("peer", "after", "revision", "bytes"),
)
