"""Metrics of streams, with separate counts of control and data traffic.

The counts of control traffic can be compared with its budget.
"""

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
"""Sent bytes of `zinniaramp.contracts.CONTROL_TYPES`, such as heartbeats."""

CONTROL_RECEIVED = STREAM_BYTES.labels(direction="received", kind="control")
"""Received bytes of the same messages."""

DATA_SENT = STREAM_BYTES.labels(direction="sent", kind="data")
"""Sent bytes of all other messages, which are for callers' requests."""

DATA_RECEIVED = STREAM_BYTES.labels(direction="received", kind="data")
"""Received bytes of the same messages, and of incomplete or invalid frames."""

OPEN_STREAMS = Gauge("zinniaramp_streams", "Streams open in this process.")
