"""Log events of the registry, 1900 to 1999."""

from ..observability import declare_event

__all__ = [
    "CHANGES_AHEAD",
    "CONFIGURATION_IN_FORCE",
    "CONFIGURATION_OLD",
    "ENDPOINT_GONE",
    "ENDPOINT_HELD",
    "ENDPOINT_LEAVING",
    "ENDPOINT_LISTED",
    "ENDPOINT_MISSING",
    "EVACUATION_HELD",
    "EVACUATION_IN_FORCE",
    "EVACUATION_REVOKED",
    "HISTORY_READ",
    "ITEM_REFUSED",
    "LARGE_ANSWER_BEGAN",
    "LARGE_ANSWER_ENDED",
    "PEER_UNUSABLE",
    "STORE_ANSWER_OLD",
    "STORE_LOST",
    "STORE_REGAINED",
    "WATCH_OVERDUE",
    "WATCH_RENEWED",
    "STORE_RESTORED",
]

CONFIGURATION_IN_FORCE = declare_event(
    number=1900,
    name="configuration-in-force",
    level="INFO",
    meaning="A version of the configuration was activated.  The event loop stood still "
    "for `decode_ms` to decode its document, unless that was done in parts before.",
    fields=("version", "decode_ms"),
)
CONFIGURATION_OLD = declare_event(
    number=1901,
    name="configuration-old",
    level="WARNING",
    meaning="A version that is not newer than the active one was ignored.",
    fields=("version", "in_force"),
)
ENDPOINT_LISTED = declare_event(
    number=1902,
    name="endpoint-listed",
    level="INFO",
    meaning="An endpoint was registered in the store, or its entry changed.",
    fields=("endpoint", "service", "version", "address", "state"),
)
ENDPOINT_MISSING = declare_event(
    number=1903,
    name="endpoint-missing",
    level="WARNING",
    meaning="An endpoint's entry is gone after an outage of the store; the endpoint "
    "stays in use until the time for registering again is over.",
    fields=("endpoint",),
)
ENDPOINT_GONE = declare_event(
    number=1904,
    name="endpoint-gone",
    level="INFO",
    meaning="The endpoint is no longer registered and receives no requests.",
    fields=("endpoint",),
)
ITEM_REFUSED = declare_event(
    number=1905,
    name="item-refused",
    level="ERROR",
    meaning="An item of the store can't be decoded; the active configuration stays "
    "in use, and an endpoint with such an entry receives no requests.",
    fields=("key", "revision", "problem"),
)
STORE_LOST = declare_event(
    number=1906,
    name="store-lost",
    level="WARNING",
    meaning="A call to the store failed; the process continues with its last known "
    "state and requests changes from its peers.  The store was last known to have no "
    "later revision `confirmed_ms` ago.",
    fields=("era", "revision", "confirmed_ms", "problem"),
)
STORE_REGAINED = declare_event(
    number=1907,
    name="store-regained",
    level="INFO",
    meaning="A call to the store succeeded again.",
    fields=("era", "revision", "away_s"),
)
PEER_UNUSABLE = declare_event(
    number=1908,
    name="peer-unusable",
    level="DEBUG",
    meaning="A peer sent no usable response.",
    fields=("peer", "problem"),
)
STORE_RESTORED = declare_event(
    number=1909,
    name="store-restored",
    level="WARNING",
    meaning="The store was restored from an older copy: its era has risen and its "
    "revisions have gone back.  Neither the configuration nor a departure reverts, and "
    "endpoints that the copy lacks stay in use until the time for registering again is "
    "over.",
    fields=("era", "before", "revision", "revision_before"),
)
STORE_ANSWER_OLD = declare_event(
    number=1910,
    name="store-answer-old",
    level="WARNING",
    meaning="An answer of an era before the last restore arrived late; it was dropped.",
    fields=("era", "known"),
)
ENDPOINT_HELD = declare_event(
    number=1911,
    name="endpoint-held",
    level="WARNING",
    meaning="A copy of the store brought back the entry of an endpoint that had "
    "departed; it is not used unless its entry is written again or lasts for "
    "`seconds`.",
    fields=("endpoint", "seconds"),
)
ENDPOINT_LEAVING = declare_event(
    number=1912,
    name="endpoint-leaving",
    level="INFO",
    meaning="An endpoint reported in an answer that it is leaving; it gets no more "
    "requests.",
    fields=("endpoint",),
)
WATCH_OVERDUE = declare_event(
    number=1913,
    name="watch-overdue",
    level="WARNING",
    meaning="The store has a later revision than the watch that was sent `waited_ms` "
    "ago has delivered; the watch is ended.  Another one follows, after a read of all "
    "items unless a peer has sent those that were missing.  Nothing of its answer had "
    "arrived.",
    fields=("era", "revision", "store_era", "store_revision", "waited_ms"),
)
HISTORY_READ = declare_event(
    number=1914,
    name="history-read",
    level="INFO",
    meaning="The process has read the store's history, to learn which software "
    "versions served before it started; `is_known` is whether these are all.",
    fields=("changes", "is_known", "problem"),
)
WATCH_RENEWED = declare_event(
    number=1918,
    name="watch-renewed",
    level="INFO",
    meaning="The store answers again after an outage that may have taken the watch "
    "that was sent `waited_ms` ago; another one is sent.",
    fields=("era", "revision", "waited_ms"),
)
EVACUATION_IN_FORCE = declare_event(
    number=1915,
    name="evacuation-in-force",
    level="WARNING",
    meaning="A data centre is evacuated: nothing new is sent to its endpoints, and "
    "running requests are completed.",
    fields=("data_center",),
)
EVACUATION_REVOKED = declare_event(
    number=1916,
    name="evacuation-revoked",
    level="INFO",
    meaning="The evacuation of a data centre has ended; its endpoints are cold at "
    "first.",
    fields=("data_center",),
)
EVACUATION_HELD = declare_event(
    number=1917,
    name="evacuation-held",
    level="WARNING",
    meaning="The copy from which the store was restored lacks the evacuation of a data "
    "centre; it stays in force for `seconds` unless it is published again and removed.",
    fields=("data_center", "seconds"),
)
LARGE_ANSWER_BEGAN = declare_event(
    number=1919,
    name="large-answer-began",
    level="INFO",
    meaning="The headers of an answer of the store with `bytes` bytes have arrived; it "
    "may take long on a narrow link.  It answers the watch after `revision`, or a read "
    "of all items if that is 0.  If `is_held`, it waits for a peer's smaller copy.",
    fields=("era", "revision", "bytes", "is_held"),
)
LARGE_ANSWER_ENDED = declare_event(
    number=1920,
    name="large-answer-ended",
    level="INFO",
    meaning="An answer that was announced by 1919 is complete, `took_ms` after its "
    "headers; or it was ended because of a `problem`, with `received` of its bytes.",
    fields=("bytes", "received", "took_ms", "problem"),
)
CHANGES_AHEAD = declare_event(
    number=1921,
    name="changes-ahead",
    level="INFO",
    meaning="Changes of endpoints up to revision `ahead` have arrived while a large "
    "answer with the changes after `revision` is on its way.",
    fields=("era", "revision", "ahead", "items"),
)
