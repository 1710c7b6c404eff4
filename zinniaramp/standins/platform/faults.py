"""Answers of a faulty server."""

from typing import TYPE_CHECKING

from tornado.iostream import IOStream, StreamClosedError

from .behaviour import ServerBehaviour

if TYPE_CHECKING:
    from .server import ServerStandin

__all__ = [
    "ENDLESS",
    "ENDLESS_CHUNK_BYTES",
    "ERRORS",
    "EVENT_LIKE",
    "MANY_FIELD_BYTES",
    "REPEATED_REFUSALS",
    "UNFRAMED_TEARS",
    "make_short_fields",
    "write_endlessly",
]

ENDLESS_CHUNK_BYTES = 64 * 1024
"""Bytes that an answer without an end is extended by at a time."""

MANY_FIELD_BYTES = 60_000
"""Size of a header block with many fields, in bytes; readers accept 64 KiB."""

REPEATED_REFUSALS = (ServerBehaviour.SHED_AGAIN, ServerBehaviour.SHED_AGAIN_NAMELESS)
"""Behaviours of a server that refuses once and writes it twice."""


EVENT_LIKE = b"id: 50\ndata: error\n\n"
"""Body of an error that looks like an event of a stream."""

ERROR_ANSWER = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nerror\n"
"""Answer that a faulty server writes in the middle of a stream."""

ERRORS = {
    ServerBehaviour.FAIL: (500, b""),
    ServerBehaviour.UNAVAILABLE: (503, b""),
    ServerBehaviour.FAIL_IN_EVENTS: (500, EVENT_LIKE),
    ServerBehaviour.SUCCESS_WITH_ERROR: (200, b'{"error": "failed"}\n\n'),
    ServerBehaviour.REDIRECT: (302, EVENT_LIKE),
    ServerBehaviour.NO_CONTENT: (204, b""),
}
"""Status and body of signed answers that are not the request's result."""

UNFRAMED_TEARS = {
    ServerBehaviour.UNFRAMED_TEAR: (-4, b""),
    ServerBehaviour.UNFRAMED_ERROR: (-4, ERROR_ANSWER),
    ServerBehaviour.UNFRAMED_LATE_ERROR: (None, ERROR_ANSWER),
}
"""Where a stream without a length ends in its first two events, and what follows."""

ENDLESS = (
    ServerBehaviour.ENDLESS_HEAD,
    ServerBehaviour.ENDLESS_FIELDS,
    ServerBehaviour.ENDLESS_BODY,
    ServerBehaviour.MANY_FIELDS,
)
"""Behaviours of a server that sends bytes until the caller closes."""


def make_short_fields(size: int) -> bytes:
    """Return about `size` bytes of header fields with distinct short names."""
    lines, total, number = [], 0, 0
    while total < size:
        lines.append(b"%x:\r\n" % number)
        total += len(lines[-1])
        number += 1
    return b"".join(lines)


async def write_endlessly(
    standin: "ServerStandin", stream: IOStream, head: bytes, piece: bytes = b"x"
):
    """Send bytes that never end until the caller closes the connection.

    Parameters
    ----------
    standin : ServerStandin
        Server that counts the bytes.
    stream : IOStream
        Connection of the caller.
    head : bytes
        Status line and headers; empty if the bytes are no answer from the start.
    piece : bytes
        Bytes that are repeated.
    """
    chunk = piece * max(1, ENDLESS_CHUNK_BYTES // len(piece))
    try:
        await stream.write(head)
        while True:
            await stream.write(chunk)
            standin.endless_bytes += len(chunk)
    except StreamClosedError:
        standin.endless_answers += 1
