"""Log events of streams, 1200 to 1299."""

from ..observability import declare_event

__all__ = [
    "BAD_FRAME",
    "PEER_REFUSED",
    "STREAM_CLOSED",
    "STREAM_OPENED",
    "WRITE_BUFFER_FULL",
]

STREAM_OPENED = declare_event(
    number=1200,
    name="stream-opened",
    level="INFO",
    meaning="A stream to or from a peer is open; its handshake is complete.",
    fields=("peer", "incarnation"),
)
STREAM_CLOSED = declare_event(
    number=1201,
    name="stream-closed",
    level="INFO",
    meaning="A stream was closed, also one whose handshake failed.",
    fields=("peer", "reason"),
)
BAD_FRAME = declare_event(
    number=1202,
    name="bad-frame",
    level="WARNING",
    meaning="A peer sent bytes that are not a valid message; its stream is closed.",
    fields=("peer", "error"),
)
PEER_REFUSED = declare_event(
    number=1203,
    name="peer-refused",
    level="WARNING",
    meaning="A peer did not complete the handshake, or does not have the fleet's key.",
    fields=("peer", "error"),
)
WRITE_BUFFER_FULL = declare_event(
    number=1204,
    name="write-buffer-full",
    level="WARNING",
    meaning="A peer does not read its stream; the stream is closed to limit memory.",
    fields=("peer",),
)
