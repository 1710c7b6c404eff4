"""Metrics of streams; control and data apart, so that budgets can be read off."""

from prometheus_client import Counter, Gauge

__all__ = [
    "CONTROL_RECEIVED",
    "CONTROL_SENT",
    "DATA_RECEIVED",
    "DATA_SENT",
    "OPEN_STREAMS",
]

STREAM_BYTES = Counter(
    "zinniaramp_stream_bytes_total",
    "Bytes on streams between processes, before TCP.",
    ["direction", "kind"],
)

CONTROL_SENT = STREAM_BYTES.labels(direction="sent", kind="control")
"""Heartbeats, handshakes, revisions and words of leaving, sent."""

CONTROL_RECEIVED = STREAM_BYTES.labels(direction="received", kind="control")
"""The same, received."""

DATA_SENT = STREAM_BYTES.labels(direction="sent", kind="data")
"""Messages that serve callers' requests, sent."""

DATA_RECEIVED = STREAM_BYTES.labels(direction="received", kind="data")
"""The same, received."""

OPEN_STREAMS = Gauge("zinniaramp_streams", "Streams open in this process.")
